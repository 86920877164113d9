"""Bytes without end are given up on after a bounded amount."""

import pytest

from galenaferry.framing.messages import FramingError
from galenaferry.framing.responses import MAX_RESPONSE_HEAD_BYTES, ResponseReader
from galenaferry.framing.tests.test_stale_responses import Owner

PIECE_BYTES = 4_096
CHUNKED = b"HTTP/1.1 200 OK\r\nid: own\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
STALE_CHUNKED = CHUNKED.replace(b"own", b"old")


def filled(text):
    return text * (PIECE_BYTES // len(text))


def fed_bytes(start, piece, most):
    """Return how many bytes a reader takes before it gives up, at most ``most``."""
    reader = ResponseReader(Owner(), False, lambda head: head.header(b"id") != b"own")
    fed = 0
    try:
        reader.feed(start)
        while fed < most:
            reader.feed(piece)
            fed += len(piece)
    except FramingError:
        pass
    return fed


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", filled(b"x")),
        (b"HTTP/1.1 200 ", filled(b"x")),
        (b"HTTP/1.1 200 OK\r\n", filled(b"x")),
        (b"HTTP/1.1 200 OK\r\nname: ", filled(b"x")),
        (b"HTTP/1.1 200 OK\r\n", filled(b"name: value\r\n")),
        (b"", filled(b"HTTP/1.1 100 Continue\r\n\r\n")),
        (CHUNKED + b"1;", filled(b"x")),
        (CHUNKED + b"0\r\nname: ", filled(b"x")),
        (CHUNKED + b"0\r\n", filled(b"name: value\r\n")),
        (STALE_CHUNKED + b"0\r\n", filled(b"name: value\r\n")),
    ],
)
def test_a_reader_gives_up_on_bytes_that_are_not_a_body(start, piece):
    most = 4 * MAX_RESPONSE_HEAD_BYTES
    assert fed_bytes(start, piece, most) <= MAX_RESPONSE_HEAD_BYTES


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nid: old\r\n\r\n", filled(b"x")),
        (STALE_CHUNKED, filled(b"1\r\nx\r\n")),
        (b"", filled(b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 0\r\n\r\n")),
    ],
)
def test_a_reader_gives_up_on_an_endless_response_to_an_earlier_request(start, piece):
    assert fed_bytes(start, piece, 8 << 20) <= 2 << 20
