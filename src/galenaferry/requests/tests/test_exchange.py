"""Requests through one VM: framing, streaming, limits, queueing, disconnects.

A booking is a POST request, which is not idempotent; a query is a GET request.
"""

import pytest

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.directory import ServiceHealth
from galenaferry.claims.component import ClaimsComponent
from galenaferry.claims.tests.builders import FakePlatform
from galenaferry.requests.tests.builders import (
    Bench,
    apply_limits,
    faulty,
    healthy,
    make_unconfigured_bench,
)


def test_pipelined_requests_get_their_own_answers_in_order():
    caller = Bench(modes=[healthy()]).caller()
    caller.post("/bookings/one", b"abc").get("/bookings/two").post(
        "/bookings/three", b""
    )
    bodies = [body for _, _, body in caller.answers(3)]
    assert bodies == [
        b"POST /bookings/one 3\n",
        b"GET /bookings/two 0\n",
        b"POST /bookings/three 0\n",
    ]


def test_a_chunked_body_reaches_the_instance_complete():
    caller = Bench(modes=[healthy()]).caller()
    caller.send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"
    )
    caller.send(b"2\r\nef\r\n0\r\n\r\n")
    assert caller.answers()[0][2] == b"POST /bookings/x 6\n"


def test_a_caller_that_expects_100_continue_gets_it():
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    caller.send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    )
    bench.run(
        lambda: caller.received.startswith(b"HTTP/1.1 100 Continue\r\n\r\n"), caller
    )
    caller.send(b"abc")
    assert caller.answers(2)[1][2] == b"POST /bookings/x 3\n"


def test_head_and_get_share_a_connection():
    caller = Bench(modes=[healthy()]).caller()
    caller.send(b"HEAD /bookings/x HTTP/1.1\r\nHost: a\r\n\r\n").get("/bookings/y")
    caller._bench.run(lambda: b"GET /bookings/y 0\n" in caller.received, caller)
    assert caller.received.count(b"HTTP/1.1 200 OK") == 2


def test_a_malformed_chunk_is_refused_and_closes_the_connection():
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    caller.send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
    )
    status, headers, _ = caller.answers()[0]
    assert (status, headers["connection"]) == (400, "close")
    assert headers["galenaferry-ran"] in ("not-run", "unknown")
    bench.run_for(100.0, caller)
    assert bench.executions() == 0


def test_a_truncated_response_is_truncated_for_the_caller():
    bench = Bench(modes=[faulty(truncate_part=1.0)])
    caller = bench.caller().get("/bookings/x")
    bench.run(lambda: caller.is_closed, caller)
    assert b"content-length: 28" in caller.received
    assert caller.received.endswith(b"GET /bookings/x 0\n")


def test_a_path_without_a_service_is_refused_as_not_run():
    caller = Bench(modes=[healthy()]).caller().get("/elsewhere/x")
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"]) == (404, "not-run")
    assert caller.get("/bookings/x").answers(2)[1][0] == 200


def test_large_answers_are_streamed_in_bounded_memory():
    bench = Bench(modes=[healthy()])
    caller = bench.caller().get("/bookings/size/20000000")
    bench.run_for(50.0)
    buffered_bytes = [
        connection._stream._write_buffer_bytes
        for connection in bench.component._callers
    ]
    assert 0 < max(buffered_bytes) < 2_000_000
    bench.run(lambda: len(caller.received) > 20_000_000, caller)


def test_a_booking_succeeds_after_the_idle_connection_went_silent():
    bench = Bench(modes=[healthy()])
    caller = bench.caller().post("/bookings/a")
    caller.answers()
    bench.backends[0].stop_reading_open_connections()
    bench.run_for(1500.0, caller)
    assert caller.post("/bookings/b").answers(2)[1][0] == 200


def test_a_late_response_is_not_given_to_another_request():
    bench = Bench(
        "[defaults]\nattempt_timeout_ms = 50\nmax_attempts = 1\n",
        modes=[faulty(slow_factor=100.0)],
    )
    first = bench.caller().get("/bookings/first")
    assert first.answers()[0][0] == 504
    bench.backends[0].state.mode.slow_factor = 1.0
    assert first.get("/bookings/second").answers(2)[1][2] == b"GET /bookings/second 0\n"
    bench.run_for(2000.0, first)
    assert len(first.answers(2)) == 2


def test_requests_wait_for_a_slot_in_a_bounded_queue():
    text = "[defaults]\nqueue_limit = 2\nslots_per_instance = 2\nimportance = 3\n"
    bench = Bench(text, modes=[faulty(slots=2, slow_factor=100.0)])
    callers = [bench.caller().post("/bookings/x") for _ in range(7)]
    bench.run(lambda: all(caller.received for caller in callers), *callers)
    answers = [caller.answers()[0] for caller in callers]
    statuses = sorted(status for status, _, _ in answers)
    assert statuses == [200] * 4 + [503] * 3
    assert all(
        h["galenaferry-ran"] == "not-run" and "retry-after" in h
        for s, h, _ in answers
        if s == 503
    )
    assert bench.executions() == 4


def test_a_caller_that_disconnects_frees_the_backend_connection():
    bench = Bench(modes=[faulty(silent_part=1.0)])
    caller = bench.caller().get("/bookings/x")
    bench.run(lambda: bench.executions() == 1, caller)
    # SO_LINGER with a timeout of 0: closing the socket resets the connection.
    caller._sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    caller.close()
    bench.run(lambda: not bench.component._callers)
    pool = next(iter(bench.directory.pool_by_address.values()))
    assert (pool.in_flight, pool.open_count) == (0, 0)


def test_a_refused_connection_is_evidence_about_the_link():
    bench = Bench(modes=[healthy(), healthy()])
    bench.backends[0].listener.close()
    bench.caller().get("/bookings/x").answers()
    assert [kind for _, kind in bench.observer.evidence] == [
        Evidence.LINK,
        Evidence.SUCCESS,
    ]


def test_the_deadline_of_the_caller_is_enforced():
    bench = Bench(modes=[faulty(silent_part=1.0)])
    started = bench.clock.now()
    caller = bench.caller().get("/bookings/x", "Galenaferry-Time-Left-Ms: 200\r\n")
    assert caller.answers()[0][0] == 504
    assert bench.clock.now() - started < 300.0


def test_retries_add_at_most_ten_percent_load_when_everything_fails():
    bench = Bench(modes=[faulty(error_part=1.0), faulty(error_part=1.0)])
    caller = bench.caller()
    for number in range(200):
        caller.get(f"/bookings/{number}").answers(number + 1)
    assert bench.executions() <= 200 * 1.1 + 2


def post_keyed(bench, key="k1", path="/bookings/slots"):
    return bench.caller().post(path, headers=f"Idempotency-Key: {key}\r\n")


def make_keyed_bench(**parts):
    bench = Bench(modes=[faulty(**parts)])
    platform = FakePlatform(bench.loop)
    bench.context.claims = ClaimsComponent(bench.loop, platform, lambda: 1)
    return bench, platform


def test_a_keyed_booking_runs_once_and_its_repeat_is_replayed():
    bench, _ = make_keyed_bench()
    first = post_keyed(bench).answers()[0]
    bench.run_for(500.0)
    repeat = post_keyed(bench).answers()[0]
    assert (first[0], repeat[0], repeat[2]) == (200, 200, first[2])
    assert repeat[1]["galenaferry-replayed"] == "1"
    assert bench.executions() == 1


def test_a_keyed_booking_is_finished_after_its_caller_left():
    bench, _ = make_keyed_bench(slow_factor=20.0)
    caller = post_keyed(bench)
    bench.run(lambda: bench.executions() == 1, caller)
    # SO_LINGER with a timeout of 0: closing the socket resets the connection.
    caller._sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    caller.close()
    bench.run(lambda: not bench.component._callers)
    assert bench.component.in_flight == 1
    assert post_keyed(bench).answers()[0][0] == 200
    assert (bench.executions(), bench.component.in_flight) == (1, 0)


def test_a_keyed_booking_with_unknown_outcome_stays_unknown():
    bench, _ = make_keyed_bench(reset_part=1.0)
    assert post_keyed(bench).answers()[0][0] == 502
    bench.run_for(500.0)
    status, headers, _ = post_keyed(bench).answers()[0]
    assert (status, headers["galenaferry-ran"], bench.executions()) == (
        409,
        "unknown",
        1,
    )


def test_a_shed_keyed_booking_may_be_sent_again():
    bench, _ = make_keyed_bench(slots=0)
    assert post_keyed(bench).answers()[0][1]["galenaferry-ran"] == "not-run"
    bench.run_for(500.0)
    bench.backends[0].state.mode.slots = 6
    assert post_keyed(bench).answers()[0][0] == 200


def test_a_keyed_booking_is_refused_at_once_while_the_platform_is_down():
    bench, platform = make_keyed_bench()
    platform.is_down = True
    status, headers, _ = post_keyed(bench).answers()[0]
    assert (status, headers["galenaferry-ran"]) == (503, "not-run")
    assert bench.caller().get("/bookings/list").answers()[0][0] == 200
    assert bench.executions() == 1


def test_an_instance_that_is_leaving_finishes_its_requests():
    bench = Bench(modes=[faulty(slow_factor=40.0), healthy()])
    caller = bench.caller().post("/bookings/a")
    bench.run(lambda: bench.executions() == 1, caller)
    leaving, other = bench.instances
    bench.directory.replace_instances([leaving._replace(is_leaving=True), other])
    others = [bench.caller().post("/bookings/b") for _ in range(10)]
    assert all(one.answers()[0][0] == 200 for one in others)
    assert caller.answers()[0][0] == 200
    assert [backend.state.counters.executed for backend in bench.backends] == [1, 10]


def test_an_instance_that_reports_draining_gets_no_new_requests():
    bench = Bench(modes=[faulty(is_draining=True), healthy()], zones=["north", "north"])
    for number in range(30):
        assert bench.caller().post(f"/bookings/{number}").answers()[0][0] == 200
    assert bench.backends[0].state.counters.shed == 1
    bench.run_for(31_000.0)
    bench.backends[0].state.mode.is_draining = False
    for number in range(30):
        bench.caller().post(f"/bookings/{number}").answers()
    assert bench.backends[0].state.counters.executed > 0


def test_an_upload_in_progress_extends_the_deadline():
    bench = Bench("[defaults]\ntotal_timeout_ms = 1000\n", modes=[healthy()])
    caller = bench.caller()
    caller.send(b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
    for _ in range(10):
        bench.run_for(400.0, caller)
        caller.send(b"x")
    assert caller.answers()[0][2] == b"POST /bookings/x 10\n"


def test_a_stalled_upload_ends_at_the_deadline():
    bench = Bench("[defaults]\ntotal_timeout_ms = 1000\n", modes=[healthy()])
    caller = bench.caller()
    caller.send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"
    )
    status, headers, _ = caller.answers()[0]
    assert (status, headers["connection"], bench.executions()) == (504, "close", 0)


def test_a_malformed_chunk_after_a_sent_part_makes_the_outcome_unknown():
    bench = Bench(modes=[healthy()])
    caller = bench.caller()
    caller.send(
        b"POST /bookings/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    bench.run_for(50.0, caller)
    caller.send(b"zz\r\n")
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"]) == (400, "unknown")


def test_a_deadline_before_any_byte_was_sent_is_not_run():
    bench = Bench(
        "[defaults]\nqueue_limit = 9\nslots_per_instance = 1\n",
        modes=[faulty(slow_factor=200.0)],
    )
    first = bench.caller().post("/bookings/a")
    bench.run(lambda: bench.executions() == 1, first)
    second = bench.caller().post(
        "/bookings/b", headers="Galenaferry-Time-Left-Ms: 300\r\n"
    )
    status, headers, _ = second.answers()[0]
    assert (status, headers["galenaferry-ran"], bench.executions()) == (
        503,
        "not-run",
        1,
    )


class FirstOnProbation:
    """Health with the first instance on probation, at half of its weight."""

    def service_health(self, service, instances, policy):
        weights = {i.address: 1.0 for i in instances} | {instances[0].address: 0.5}
        return ServiceHealth(weights, frozenset({instances[0].address}))


def test_an_instance_on_probation_gets_no_bookings_while_there_are_queries():
    bench = Bench(modes=[healthy(), healthy()], zones=["north", "north"])
    bench.directory._health_source = FirstOnProbation()
    counters = bench.backends[0].state.counters
    for _ in range(40):
        bench.caller().get("/bookings/list").answers()
    queries = counters.executed
    assert queries > 0
    for _ in range(40):
        bench.caller().post("/bookings/slot").answers()
    assert counters.executed == queries


def test_an_instance_on_probation_gets_bookings_without_other_work():
    bench = Bench(modes=[healthy(), healthy()], zones=["north", "north"])
    bench.directory._health_source = FirstOnProbation()
    for _ in range(40):
        assert bench.caller().post("/bookings/slot").answers()[0][0] == 200
    assert 0 < bench.backends[0].state.counters.executed < 20


def test_one_silent_connection_closes_the_other_idle_ones():
    bench = Bench(modes=[healthy(), healthy()])
    callers = [bench.caller().get("/bookings/a") for _ in range(4)]
    assert all(caller.answers()[0][0] == 200 for caller in callers)
    bench.backends[0].stop_reading_open_connections()
    waits = []
    for caller in callers:
        started = bench.clock.now()
        assert caller.get("/bookings/b").answers(2)[1][0] == 200
        waits.append(bench.clock.now() - started)
    assert sum(wait > 1000.0 for wait in waits) == 1


def test_work_that_cannot_be_done_in_time_is_not_run():
    bench = Bench(modes=[faulty(slow_factor=100.0)])
    caller = bench.caller().post(
        "/bookings/a", headers="Galenaferry-Time-Left-Ms: 300\r\n"
    )
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"], bench.executions()) == (
        503,
        "not-run",
        0,
    )


def test_an_instance_that_starts_cold_gets_little_work_at_first():
    bench = Bench(
        modes=[healthy(), faulty(cold_executions=5)], zones=["north", "north"]
    )
    old, new = bench.instances
    bench.directory.replace_instances([old])
    bench.directory.replace_instances([old, new])
    for number in range(60):
        assert bench.caller().get(f"/bookings/{number}").answers()[0][0] == 200
    early = bench.backends[1].state.counters.executed
    assert early < 20
    bench.run_for(10_000.0)
    for number in range(60):
        bench.caller().get(f"/bookings/{number}").answers()
    assert bench.backends[1].state.counters.executed - early > 20


def test_a_space_after_the_host_does_not_make_its_route_unknown():
    bench, routes = make_unconfigured_bench()
    apply_limits(routes, 1)
    caller = bench.caller().send(b"GET /bookings/x HTTP/1.1\r\nHost: a \r\n\r\n")
    assert caller.answers()[0][0] == 200


@pytest.mark.parametrize(
    "raw",
    [
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /y HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
    ids=["bytes after the last request", "upgrade", "bytes after the last answer"],
)
def test_a_refused_request_is_not_answered_a_second_time(raw):
    bench, _ = make_unconfigured_bench()
    caller = bench.caller().send(raw)
    bench.run(lambda: caller.is_closed, caller)
    assert [status for status, _, _ in caller.answers()] == [503]
    assert bench.context.counters.by_status == {503: 1}
