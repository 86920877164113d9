"""Callers that send many requests at once, and those beside them."""

import pytest

from galenaferry.requests.tests.builders import Bench, healthy

UNKNOWN = b"GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n"
COUNT = 1_200
CROWD = 8
POLLS = 4


def poll(bench, *callers):
    for _ in range(POLLS):
        bench.loop.poll(0.0)
        for caller in callers:
            caller.read()


@pytest.mark.parametrize("connections", [1, CROWD])
def test_requests_in_one_segment_take_turns_with_those_of_others(connections):
    """Guards against answers of the VM itself that are all made in one turn."""
    bench = Bench(modes=[healthy()], zones=["north"])
    crowd = [bench.caller().send(UNKNOWN * COUNT) for _ in range(connections)]
    poll(bench)
    caller = bench.caller().send(UNKNOWN)
    poll(bench, caller)
    assert caller.received.startswith(b"HTTP/1.1 404")
    assert bench.context.counters.received <= 1 + 2 * POLLS * connections
    for other in crowd:
        assert [status for status, _, _ in other.answers(COUNT)] == [404] * COUNT


def test_answers_of_the_vm_and_of_instances_keep_their_order():
    bench = Bench(modes=[healthy()], zones=["north"])
    caller = bench.caller()
    for number in range(60):
        caller.get("/unknown" if number % 3 else f"/bookings/{number}")
    statuses = [status for status, _, _ in caller.answers(60)]
    assert statuses == [404 if number % 3 else 200 for number in range(60)]
