"""What a planned stop has to wait for at the callers' connections."""

from galenaferry.requests.component import LINGER_TIMEOUT_MS
from galenaferry.requests.tests.builders import Bench, healthy

SIZE = 8_000_000


def bench_with_slow_caller():
    """An answer that is complete here while its caller has read little of it."""
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get(f"/bookings/size/{SIZE}")
    while not bench.context.counters.answered:
        bench.run_for(5.0)
        caller.received += caller._sock.recv(200_000) if is_readable(caller) else b""
    return bench, caller


def is_readable(caller):
    try:
        return bool(caller._sock.recv(1, 2))
    except BlockingIOError:
        return False


def test_an_answer_that_its_caller_still_reads_is_waited_for_and_not_cut():
    bench, caller = bench_with_slow_caller()
    assert len(caller.received) < SIZE
    assert bench.component.in_flight == 0
    assert bench.component.unfinished_count == 1
    bench.component.stop_accepting()
    bench.run(lambda: caller.is_closed, caller)
    assert len(caller.received) > SIZE


def test_nothing_is_waited_for_once_the_caller_has_closed():
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    assert bench.component.unfinished_count == 1
    caller.close()
    bench.run_for(10.0)
    assert bench.component.unfinished_count == 0


def test_a_caller_that_does_not_close_is_waited_for_only_a_while():
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    bench.run_for(LINGER_TIMEOUT_MS + 10.0, caller)
    assert bench.component.unfinished_count == 0


def test_connections_between_requests_are_not_waited_for_and_close():
    bench = Bench(modes=[healthy()])
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    assert bench.component.unfinished_count == 0
    bench.component.stop_accepting()
    bench.run(lambda: caller.is_closed, caller)
