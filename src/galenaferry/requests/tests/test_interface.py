"""Checks of response headers, buffered answers and half-closed connections."""

import pytest

from galenaferry.attempts.messages import Relayed, RelayFailed, RelayRefused
from galenaferry.framing.messages import ResponseHead
from galenaferry.requests.interface import (
    HeaderNames,
    RequestSettings,
    classify_response,
    find_response_error,
    is_certified_not_run,
    is_stale_response,
)
from galenaferry.requests.tests.builders import Bench, faulty, healthy

NAMES = HeaderNames(
    request_id=b"id",
    not_run=(b"not-run", b""),
    signature=b"signature",
    expected_instance=b"expected",
)
SETTINGS = RequestSettings(names=NAMES, certifying_statuses=None)
BUFFERING = RequestSettings(buffer_limit_bytes=1 << 20)


def head(status, **headers):
    pairs = tuple(
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    )
    return ResponseHead(status, b"", pairs, 0)


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (head(200, id=b"one", signature=b"s"), ""),
        (head(200, signature=b"s"), ""),
        (head(500, id=b"one"), ""),
        (head(200, id=b"one"), "a success without a signature"),
        (
            head(200, id=b"one", signature=b"s", content_encoding=b"gzip"),
            "an encoding that nobody asked for",
        ),
    ],
)
def test_a_response_that_cannot_come_from_an_instance_is_detected(response, error):
    assert find_response_error(SETTINGS, response, False) == error


@pytest.mark.parametrize("status", [200, 500, 503])
def test_an_unidentified_response_on_a_reused_connection_is_not_accepted(status):
    # It may be a second copy of the response to an earlier request.
    settings = SETTINGS._replace(is_request_id_echoed=True)
    unidentified = head(status, signature=b"s")
    assert find_response_error(settings, unidentified, True)
    assert not find_response_error(settings, unidentified, False)
    assert not find_response_error(
        settings, head(status, id=b"1", signature=b"s"), True
    )


@pytest.mark.parametrize(
    ("response", "is_certified"),
    [
        (head(503, not_run=b"1"), True),
        (head(429, not_run=b"1"), True),
        (head(421), True),
        (head(503), False),
        (head(504), False),
    ],
)
def test_only_an_instance_certifies_not_run(response, is_certified):
    assert is_certified_not_run(SETTINGS, response) is is_certified


OF_A_VM = {"galenaferry_ran": b"not-run"}
OF_AN_INSTANCE = {"galenaferry_relayed_instance": b"0" * 16, "signature": b"s"}


@pytest.mark.parametrize("status", [400, 403, 404, 413, 421, 429, 431, 500, 503])
def test_what_another_vm_itself_refuses_is_no_answer_to_the_caller(status):
    response = head(status, **OF_A_VM)
    assert classify_response(SETTINGS, response, True) == RelayRefused(status)


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (head(404, **OF_AN_INSTANCE), Relayed(404, True)),
        (head(404, **OF_A_VM, **OF_AN_INSTANCE), Relayed(404, True)),
        (head(404, signature=b"s"), Relayed(404, True)),
        (head(503, **OF_A_VM, **OF_AN_INSTANCE), RelayRefused(503)),
        (head(413, galenaferry_ran=b"unknown"), RelayFailed(413)),
        (head(502, galenaferry_ran=b"unknown"), Relayed(502, False)),
    ],
)
def test_answers_of_instances_by_way_of_another_vm_are_passed_on(response, outcome):
    assert classify_response(SETTINGS, response, True) == outcome


@pytest.mark.parametrize(
    ("response", "is_relay", "is_stale"),
    [
        (head(413, id=b"made-up", **OF_A_VM), True, False),
        (head(413, id=b"made-up", **OF_A_VM), False, True),
        (head(200, id=b"earlier", **OF_AN_INSTANCE), True, True),
        (head(200, id=b"own", **OF_AN_INSTANCE), True, False),
    ],
)
def test_a_refusal_of_another_vm_under_a_made_up_id_is_not_taken_for_a_late_response(
    response, is_relay, is_stale
):
    assert is_stale_response(SETTINGS, response, b"own", is_relay) is is_stale


def test_a_truncated_buffered_answer_is_retried_elsewhere():
    text = "[defaults]\nretry_budget_percent = 100\nmax_attempts = 2\n"
    bench = Bench(text, [faulty(truncate_part=1.0), healthy()], settings=BUFFERING)
    for _ in range(4):
        status, _, body = bench.caller().get("/bookings/x").answers()[0]
        assert (status, body) == (200, b"GET /bookings/x 0\n")


def test_a_truncated_answer_to_a_booking_is_reported_as_unknown():
    bench = Bench(modes=[faulty(truncate_part=1.0)], settings=BUFFERING)
    status, headers, _ = bench.caller().post("/bookings/x").answers()[0]
    assert (status, headers["galenaferry-ran"]) == (502, "unknown")


def test_an_answer_above_the_buffer_limit_is_streamed():
    bench = Bench(modes=[healthy()], settings=RequestSettings(buffer_limit_bytes=1000))
    caller = bench.caller().get("/bookings/size/200000")
    bench.run(lambda: len(caller.received) > 200_000, caller)
    assert caller.received.startswith(b"HTTP/1.1 200")


def test_a_half_close_can_count_as_a_disconnect():
    settings = RequestSettings(is_half_close_disconnect=True)
    bench = Bench(modes=[faulty(slow_factor=100.0)], settings=settings)
    caller = bench.caller().get("/bookings/x")
    bench.run_for(50.0, caller)
    caller._sock.shutdown(1)
    bench.run(lambda: bench.component.in_flight == 0, caller)
    assert bench.context.counters.callers_left == 1
    assert sum(p.open_count for p in bench.directory.pool_by_address.values()) == 0


@pytest.mark.parametrize("status", [403, 404, 413, 503])
def test_a_relay_vm_that_sent_a_request_to_no_instance_does_not_reject_it(status):
    refusal = head(status, galenaferry_ran=b"not-run")
    assert classify_response(SETTINGS, refusal, is_relay=True) == RelayRefused(status)


def test_an_instance_rejects_a_request_by_way_of_a_relay_vm():
    answer = head(
        404, signature=b"s", galenaferry_relayed_instance=b"%016x" % 1, not_run=b"1"
    )
    assert classify_response(SETTINGS, answer, is_relay=True) == Relayed(404, True)
    claimed = answer._replace(
        headers=(*answer.headers, (b"galenaferry-ran", b"not-run"))
    )
    assert classify_response(SETTINGS, claimed, is_relay=True) == Relayed(404, True)
