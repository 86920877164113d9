"""Caller connections that a graceful shutdown waits for."""

from galenaferry.requests.component import LINGER_TIMEOUT_MS
from galenaferry.requests.tests.builders import Bench, healthy, parse_answers

SIZE = 8_000_000


def bench_with_slow_caller():
    """Return a bench with a complete answer of which the caller has read little."""
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get(f"/bookings/size/{SIZE}")
    while not bench.context.counters.answered:
        bench.run_for(5.0)
        caller.received += caller._sock.recv(200_000) if is_readable(caller) else b""
    return bench, caller


def is_readable(caller):
    try:
        return bool(caller._sock.recv(1, 2))  # 2 is MSG_PEEK.
    except BlockingIOError:
        return False


def test_a_stop_waits_for_an_answer_that_its_caller_still_reads():
    bench, caller = bench_with_slow_caller()
    assert len(caller.received) < SIZE
    assert bench.component.in_flight == 0
    assert bench.component.unfinished_count == 1
    bench.component.stop_accepting()
    bench.run(lambda: caller.is_closed, caller)
    assert len(caller.received) > SIZE


def test_a_stop_does_not_wait_once_the_caller_has_closed():
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    assert bench.component.unfinished_count == 1
    caller.close()
    bench.run_for(10.0)
    assert bench.component.unfinished_count == 0


def test_a_stop_waits_only_the_linger_timeout_for_a_caller_to_close():
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    bench.run_for(LINGER_TIMEOUT_MS + 10.0, caller)
    assert bench.component.unfinished_count == 0


def test_a_stop_closes_idle_connections_without_waiting():
    bench = Bench(modes=[healthy()])
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    assert bench.component.unfinished_count == 0
    bench.component.stop_accepting()
    bench.run(lambda: caller.is_closed, caller)


def test_requests_in_the_queues_of_the_kernel_are_answered():
    # The callers connected and sent, but the process was not scheduled since.
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    callers = [bench.caller().post(f"/bookings/{n}") for n in range(40)]
    bench.component.stop_accepting()
    for caller in callers:
        assert caller.answers()[0][0] == 200


def test_a_request_unread_on_a_kept_connection_is_answered():
    bench = Bench(modes=[healthy()])
    caller = bench.caller().get("/bookings/one")
    caller.answers()
    caller.post("/bookings/two")
    bench.context.is_stopping = True
    bench.component.stop_accepting()
    answers = caller.answers(2)
    assert [status for status, _, _ in answers] == [200, 200]
    assert answers[1][1]["connection"] == "close"


def test_a_stop_waits_for_the_first_request_of_a_new_connection():
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    bench.component.stop_accepting()
    assert bench.component.unfinished_count == 1
    bench.run_for(50.0, caller)
    bench.context.is_stopping = True
    assert caller.get("/bookings/one").answers()[0][0] == 200


def test_a_stop_waits_for_the_rest_of_a_request():
    bench = Bench(modes=[healthy()])
    bench.context.is_stopping = True
    caller = bench.caller().send(b"GET /bookings/one HT")
    bench.run_for(20.0, caller)
    bench.component.stop_accepting()
    assert bench.component.unfinished_count == 1
    caller.send(b"TP/1.1\r\nHost: a\r\n\r\n")
    assert caller.answers()[0][0] == 200


def test_a_stop_waits_only_the_linger_timeout_for_a_first_request():
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    bench.run_for(LINGER_TIMEOUT_MS + 10.0, caller)
    assert bench.component.unfinished_count == 0


def test_requests_that_were_sent_ahead_are_answered_before_the_connection_closes():
    """Guards against requests that were read and then dropped behind a last answer."""
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    for number in range(8):
        caller.get(f"/bookings/{number}")
    bench.run_for(2.0, caller)
    bench.context.is_stopping = True
    bench.run(lambda: caller.is_closed, caller)
    answers = parse_answers(caller.received)
    assert [status for status, _, _ in answers] == [200] * 8
    assert [headers.get("connection") for _, headers, _ in answers[-2:]] == [
        None,
        "close",
    ]


def test_a_caller_that_goes_on_sending_ahead_is_told_to_close():
    """Guards against a connection that a stop never ends."""
    bench = Bench(modes=[healthy()])
    caller = bench.caller().get("/bookings/first").get("/bookings/second")
    bench.run_for(2.0, caller)
    bench.context.is_stopping = True
    for number in range(400):
        if caller.is_closed:
            break
        if b"connection: close" not in caller.received.lower():
            caller.get(f"/bookings/{number}")
        bench.run_for(3.0, caller)
    assert caller.is_closed
    answers = parse_answers(caller.received)
    assert [status for status, _, _ in answers] == [200] * len(answers)
    assert bench.executions() == len(answers)


def test_the_rest_of_a_body_that_was_refused_does_not_delay_the_stop():
    """Guards against answers to requests behind a body that nobody reads any more."""
    bench = Bench(modes=[])
    caller = bench.caller()
    caller.send(b"POST /bookings/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
    bench.run_for(5.0, caller)
    bench.context.is_stopping = True
    bench.run(lambda: caller.is_closed, caller)
    assert len(parse_answers(caller.received)) == 1
