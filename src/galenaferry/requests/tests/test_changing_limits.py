"""Limits on callers before the first configuration and across changes of it."""

import pytest

from galenaferry.framing.limits import CallerLimits
from galenaferry.requests.tests.builders import apply_limits, make_unconfigured_bench

DEFAULT_HEAD_BYTES = CallerLimits().head_bytes


def large_header(size):
    return f"X: {'x' * size}\r\n"


def chunk(size):
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def chunked_head(path):
    return b"POST %b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" % path


def statuses(caller, count):
    return [status for status, _, _ in caller.answers(count)]


def make_limited_bench(**limits):
    bench, routes = make_unconfigured_bench()
    apply_limits(routes, 1, **limits)
    return bench, routes


def test_a_connection_older_than_the_configuration_does_not_keep_the_default_limits():
    bench, routes = make_unconfigured_bench()
    caller = bench.caller()
    bench.run_for(20.0, caller)
    apply_limits(routes, 1, head_bytes=2 * DEFAULT_HEAD_BYTES)
    caller.get("/bookings/x", large_header(DEFAULT_HEAD_BYTES + 1))
    assert statuses(caller, 1) == [200]


def test_a_kept_connection_does_not_keep_a_head_limit_that_was_raised():
    bench, routes = make_limited_bench(head_bytes=2_000)
    caller = bench.caller().get("/bookings/x")
    assert statuses(caller, 1) == [200]
    apply_limits(routes, 2, head_bytes=20_000)
    assert statuses(caller.get("/bookings/y", large_header(9_000)), 2) == [200, 200]


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_kept_connection_does_not_keep_a_body_limit_that_was_raised(is_chunked):
    bench, routes = make_limited_bench(body_bytes=1_000)
    caller = bench.caller().get("/bookings/x")
    assert statuses(caller, 1) == [200]
    apply_limits(routes, 2, body_bytes=100_000)
    if is_chunked:
        caller.send(chunked_head(b"/bookings/y") + chunk(50_000) + b"0\r\n\r\n")
    else:
        caller.post("/bookings/y", b"x" * 50_000)
    assert statuses(caller, 2) == [200, 200]


def test_a_head_that_began_before_the_configuration_is_not_held_to_the_defaults():
    bench, routes = make_unconfigured_bench()
    caller = bench.caller().send(b"GET /bookings/x HTTP/1.1\r\nHost: a\r\n")
    bench.run_for(20.0, caller)
    apply_limits(routes, 1, head_bytes=2 * DEFAULT_HEAD_BYTES)
    caller.send(large_header(DEFAULT_HEAD_BYTES + 1).encode() + b"\r\n")
    assert statuses(caller, 1) == [200]


def test_a_body_that_began_before_its_limit_was_raised_is_not_held_to_the_old_one():
    bench, routes = make_limited_bench(body_bytes=1_000)
    caller = bench.caller().send(chunked_head(b"/bookings/x") + chunk(900))
    bench.run_for(20.0, caller)
    apply_limits(routes, 2, body_bytes=100_000)
    caller.send(chunk(5_000) + chunk(5_000) + b"0\r\n\r\n")
    assert statuses(caller, 1) == [200]


def test_a_request_that_began_before_its_limits_were_lowered_is_not_refused():
    bench, routes = make_limited_bench(head_bytes=20_000, body_bytes=20_000)
    caller = bench.caller()
    caller.send(b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n")
    bench.run_for(20.0, caller)
    apply_limits(routes, 2, head_bytes=1_000, body_bytes=10_000)
    caller.send(large_header(9_000).encode() + b"\r\n" + b"x" * 9_000)
    assert statuses(caller, 1) == [200]


def test_a_kept_connection_does_not_keep_limits_that_were_lowered():
    bench, routes = make_limited_bench(head_bytes=20_000)
    caller = bench.caller().get("/bookings/x", large_header(9_000))
    assert statuses(caller, 1) == [200]
    apply_limits(routes, 2, head_bytes=1_000)
    assert statuses(caller.get("/bookings/y", large_header(9_000)), 2) == [200, 431]


@pytest.mark.parametrize(
    "headers",
    [
        large_header(DEFAULT_HEAD_BYTES + 1) + "\r\n",
        large_header(4 * DEFAULT_HEAD_BYTES).rstrip(),
        "X: y\r\n" * 101 + "\r\n",
    ],
    ids=["large", "unfinished", "many"],
)
def test_a_vm_without_a_configuration_does_not_blame_a_caller_for_a_head(headers):
    bench, _ = make_unconfigured_bench()
    caller = bench.caller().send(b"GET /bookings/x HTTP/1.1\r\nHost: a\r\n")
    caller.send(headers.encode())
    status, answer_headers, _ = caller.answers()[0]
    assert (status, answer_headers["galenaferry-ran"]) == (503, "not-run")
    assert float(answer_headers["retry-after"]) > 0.0
    assert answer_headers["connection"] == "close"
    bench.run(lambda: caller.is_closed, caller)


def test_a_vm_without_a_configuration_does_not_blame_a_caller_for_a_body():
    bench, _ = make_unconfigured_bench()
    length = CallerLimits().body_bytes + 1
    caller = bench.caller().send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length
    )
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"]) == (503, "not-run")
    assert headers["connection"] == "close"


def test_a_caller_is_still_told_that_a_head_exceeds_the_limit_in_force():
    bench, _ = make_limited_bench(head_bytes=1_000)
    caller = bench.caller().get("/bookings/x", large_header(1_001))
    assert statuses(caller, 1) == [431]


def test_a_caller_is_still_told_that_a_body_exceeds_the_limit_in_force():
    bench, _ = make_limited_bench(body_bytes=1_000)
    caller = bench.caller().send(chunked_head(b"/bookings/x") + chunk(900))
    bench.run_for(20.0, caller)
    assert statuses(caller.send(chunk(900)), 1) == [413]


def test_a_vm_without_a_configuration_does_not_hold_more_of_a_head_than_the_default():
    bench, _ = make_unconfigured_bench()
    caller = bench.caller().send(b"GET /bookings/x HTTP/1.1\r\nHost: a\r\nX: ")
    sent = 0
    while not caller.received:
        caller.send(b"x" * 1_000)
        sent += 1_000
        bench.run_for(2.0, caller)
    assert sent <= DEFAULT_HEAD_BYTES + 5_000


@pytest.mark.parametrize("kind", ["head", "length", "chunks"])
def test_a_vm_that_may_lack_raised_limits_does_not_call_a_request_too_large(kind):
    bench, routes = make_unconfigured_bench(is_current=lambda: False)
    apply_limits(routes, 1, head_bytes=2_000, body_bytes=1_000)
    caller = bench.caller()
    if kind == "head":
        caller.get("/bookings/x", large_header(9_000))
    elif kind == "length":
        caller.post("/bookings/x", b"x" * 5_000)
    else:
        caller.send(chunked_head(b"/bookings/x") + chunk(5_000) + b"0\r\n\r\n")
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"]) == (503, "not-run")
    assert "retry-after" in headers
