"""Bytes that callers send behind their last request."""

import pytest

from galenaferry.framing.limits import CallerLimits
from galenaferry.requests.lingering import DISCARDED_BYTES
from galenaferry.requests.tests.builders import Bench, healthy

ANSWER_BYTES = 8_000_000
"""More than the kernel takes."""
PIECE = bytes(65_536)
KERNEL_BYTES = 8 << 20
"""Upper bound of what the kernels take of the bytes that nobody reads."""
ENDLESS_TRAILER = (
    b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\nName: "
)


def send_on(bench, caller, most):
    """Send until the kernel takes no more for a while; return the number of bytes."""
    sent = quiet = 0
    while sent < most and quiet < 20:
        try:
            sent += caller._sock.send(PIECE)
            quiet = 0
        except BlockingIOError:
            quiet += 1
        except OSError:
            break
        bench.run_for(1.0)
    return sent


@pytest.mark.parametrize("has_unread_answer", [True, False])
def test_little_is_read_behind_malformed_bytes(has_unread_answer):
    """Guards against callers for whom the VM drops bytes for as long as they send."""
    bench = Bench(modes=[healthy()], zones=["north"])
    caller = bench.caller()
    if has_unread_answer:
        caller.get(f"/bookings/size/{ANSWER_BYTES}")
    caller.send(ENDLESS_TRAILER)
    limit = CallerLimits().head_bytes + DISCARDED_BYTES + len(PIECE) + KERNEL_BYTES
    assert send_on(bench, caller, 4 * limit) <= limit


def test_a_caller_whose_body_is_refused_sends_all_of_it_and_gets_the_answer():
    """Guards against a limit on bodies that are inside the limits."""
    bench = Bench(modes=[], zones=[])
    caller = bench.caller()
    size = 3 * KERNEL_BYTES
    head = f"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    caller.send(head.encode())
    bench.run_for(100.0, caller)
    assert send_on(bench, caller, size - len(PIECE)) >= size - len(PIECE)
    assert [status for status, _, _ in caller.answers()] == [404]
