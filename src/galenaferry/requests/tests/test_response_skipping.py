"""Connections stay open after responses that are discarded for a retry."""

from galenaferry.requests.tests.builders import Bench, faulty, healthy

TEXT = "[defaults]\nmax_attempts = 2\nretry_budget_percent = 100\nshed_retry_percent = 100\n"


def open_connections(bench):
    return sum(pool.open_count for pool in bench.directory.pool_by_address.values())


def test_a_retried_error_response_keeps_its_connection():
    bench = Bench(TEXT, [faulty(error_part=1.0), healthy()])
    caller = bench.caller()
    for number in range(1, 7):
        assert caller.get("/bookings/x").answers(number)[-1][0] == 200
        bench.run_for(5.0, caller)
    assert open_connections(bench) == 2
    assert sum(p.in_flight for p in bench.directory.pool_by_address.values()) == 0


def test_the_next_response_on_a_kept_connection_is_the_right_one():
    bench = Bench(TEXT, [faulty(error_part=0.5), faulty(error_part=0.5)])
    caller = bench.caller()
    for number in range(1, 21):
        status, _, body = caller.get(f"/bookings/{number}").answers(number)[-1]
        assert status == 500 or body == f"GET /bookings/{number} 0\n".encode()
