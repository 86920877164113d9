"""The real daemon in front of clients that read nothing, at each of its listeners.

Crowds and bounds are fixed: the bounds are the limits in the settings, whatever the
daemon needs. Each test checks only that the process lives, stays below its limits and
answers readiness checks and ordinary requests meanwhile and afterwards.
"""

import pytest

from galenaferry.callers.tests.daemon import request, usual_headers
from galenaferry.callers.tests.unread_clients import AMPLE_MEMORY_MB, PART, Crowd, flood

SENT = pytest.mark.parametrize(
    ("connections", "pieces", "requests_in_piece"),
    [
        pytest.param(60, 1, 20_000, id="in one piece"),
        pytest.param(60, 8_000, 1, id="one by one"),
    ],
)
HEADERS = pytest.mark.parametrize("has_usual_headers", [True, False])
LISTENERS = pytest.mark.parametrize("listener", ["readiness", "peers", "relay"])


@SENT
@HEADERS
def test_unread_answers_to_readiness_checks_stay_within_the_memory(
    tmp_path, connections, pieces, requests_in_piece, has_usual_headers
):
    """Guards against answers of the VM itself that pile up before a client."""
    headers = usual_headers("r") if has_usual_headers else ""
    piece = request("/ready", headers=headers) * requests_in_piece
    flood(tmp_path, "readiness", Crowd(connections, piece, pieces))


@SENT
@HEADERS
@pytest.mark.parametrize("path", ["/ready", "/unknown/path"])
def test_unread_answers_at_the_callers_address_stay_within_the_memory(
    tmp_path, path, connections, pieces, requests_in_piece, has_usual_headers
):
    """Guards against answers that cost no instance and slow no sender."""
    headers = usual_headers("r") if has_usual_headers else ""
    piece = request(path, headers=headers) * requests_in_piece
    flood(tmp_path, "callers", Crowd(connections, piece, pieces))


@pytest.mark.parametrize(
    ("listener", "path"),
    [("readiness", "/v1/state"), ("readiness", "/metrics"), ("peers", "/tables/op")],
)
def test_unread_large_answers_stay_within_the_memory(tmp_path, listener, path):
    """Guards against answers that are larger than the requests for them."""
    flood(tmp_path, listener, Crowd(60, request(path), 8_000))


@LISTENERS
def test_endless_bodies_stay_within_the_memory(tmp_path, listener):
    """Guards against bodies that nobody asked for and that are held whole."""
    first = (
        b"POST /ready HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4000000000\r\n\r\n"
    )
    flood(tmp_path, listener, Crowd(24, PART, 128, first))


@LISTENERS
def test_endless_heads_stay_within_the_memory(tmp_path, listener):
    """Guards against a header that never ends."""
    first = b"GET /ready HTTP/1.1\r\nHost: a.example\r\nFiller: "
    flood(tmp_path, listener, Crowd(24, PART, 64, first))


@LISTENERS
@pytest.mark.parametrize("first", [b"", b"GET /ready HTTP/1.1\r\n"])
def test_silent_connections_leave_descriptors_to_others(tmp_path, listener, first):
    """Guards against clients that take all descriptors of the process."""
    flood(tmp_path, listener, Crowd(600, first))


@HEADERS
@pytest.mark.parametrize("path", ["/large", "/small", "/unknown/path"])
def test_unread_answers_on_all_connections_leave_room_for_ordinary_callers(
    tmp_path, path, has_usual_headers
):
    """Guards against clients that take all connections and read nothing."""
    headers = usual_headers("r") if has_usual_headers else ""
    crowd = Crowd(150, request(path, headers=headers) * 20, 400, settled_s=4.0)
    flood(tmp_path, "callers", crowd, AMPLE_MEMORY_MB)
