"""Requests that a JSON server answers, and those that it refuses."""

import pytest

from galenaferry.network.json_server import ServerLimits
from galenaferry.network.json_server.tests.builders import GET, Bench

POST = b"POST /p?a=1&b= HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
LIMITS = ServerLimits(head_bytes=1_024, body_bytes=1_000)


def test_a_request_is_passed_on_with_its_query_headers_and_body():
    bench = Bench()
    bench.client(
        POST.replace(b"Host: a", b"Host: a\r\nX: 1\r\nx: 2") + b'{"c": 3}\n'
    ).finish()
    (request,) = bench.requests
    assert (request.method, request.path) == ("POST", "/p")
    assert request.query == {"a": "1", "b": ""}
    assert request.headers["x"] == "1, 2"
    assert request.body == {"c": 3}


def test_a_body_that_is_no_json_is_passed_on_as_none():
    bench = Bench()
    bench.client(POST + b"not json!").finish()
    assert (bench.requests[0].body, bench.requests[0].raw_body) == (None, b"not json!")


@pytest.mark.parametrize("is_in_one_piece", [True, False])
def test_requests_sent_ahead_are_answered_in_order(is_in_one_piece):
    bench = Bench()
    data = GET * 20 + POST + b"123456789" + GET.replace(b"/small", b"/broken") + GET
    client = bench.client()
    for part in [data] if is_in_one_piece else [bytes([byte]) for byte in data]:
        client.send(part)
        bench.poll(1)
    bench.poll()
    assert client.finish().statuses == [200] * 21 + [500, 200]
    assert not client.is_closed


@pytest.mark.parametrize(
    "data",
    [
        GET.replace(b"Host", b"Connection: close\r\nHost"),
        b"GET /small HTTP/1.0\r\n\r\n",
        b"HEAD /small HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    ],
)
def test_the_connection_closes_after_the_last_answer(data):
    client = Bench().client(data).finish()
    assert client.is_closed and client.statuses == [200]
    assert client.received.endswith(b"\r\n\r\n" if b"HEAD" in data else b"small")


def test_a_client_that_asks_before_sending_its_body_is_told_to_go_on():
    bench = Bench()
    client = bench.client(POST.replace(b"Host", b"Expect: 100-continue\r\nHost"))
    assert client.finish().statuses == [100]
    assert client.send(b"123456789").finish().statuses == [100, 200]


def test_a_client_that_ends_its_sending_direction_is_answered():
    client = Bench().client(GET * 3)
    client.sock.shutdown(1)
    assert client.finish().statuses == [200] * 3
    assert client.is_closed


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 4_000, 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"3e8\r\n"
            + bytes(1_000)
            + b"\r\n1\r\n"
            + b"x",
            413,
        ),
    ],
)
def test_what_is_malformed_or_too_large_is_refused(data, status):
    """Guards against bodies that are stored before they are refused."""
    bench = Bench(LIMITS)
    client = bench.client(GET + data).finish()
    assert client.statuses == [200, status]
    assert client.is_closed
    assert len(bench.requests) == 1
    assert bench.counters.malformed == 1
