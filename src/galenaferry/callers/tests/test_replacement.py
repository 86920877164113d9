"""Which connection makes room for a new one."""

import pytest

from galenaferry.callers.decisions import (
    ENOUGH_UNREAD,
    UNREAD_MS,
    Idleness,
    choose_replaced,
)

BUSY = Idleness(is_between_requests=False, is_unstarted=False)
IDLE = Idleness(is_between_requests=True, is_unstarted=False)
UNSTARTED = Idleness(is_between_requests=False, is_unstarted=True)
AHEAD = BUSY._replace(has_requests_ahead=True)
READING = BUSY._replace(unread_time=UNREAD_MS - 1.0)
UNREAD = BUSY._replace(unread_time=UNREAD_MS)
LONG_UNREAD = AHEAD._replace(unread_time=3.0 * UNREAD_MS)


@pytest.mark.parametrize(
    ("connections", "position"),
    [
        ([BUSY, READING, AHEAD, UNREAD, LONG_UNREAD, UNSTARTED, IDLE], 6),
        ([BUSY, READING, AHEAD, UNREAD, LONG_UNREAD, UNSTARTED], 5),
        ([BUSY, READING, AHEAD, UNREAD, LONG_UNREAD, UNREAD], 4),
        ([BUSY, READING, AHEAD, UNREAD], 3),
        ([BUSY, READING, AHEAD, AHEAD], 2),
        ([BUSY, READING], None),
        ([UNREAD] * ENOUGH_UNREAD + [LONG_UNREAD, IDLE], 0),
    ],
)
def test_callers_with_one_request_that_read_on_are_never_replaced(
    connections, position
):
    assert choose_replaced(connections) == position
    assert position is None or connections[position].is_replaceable
