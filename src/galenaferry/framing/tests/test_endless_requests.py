"""Requests whose parts never end are given up on after a bounded amount."""

import pytest

from galenaferry.framing.messages import FramingError
from galenaferry.framing.requests import (
    MAX_SEPARATOR_BYTES,
    RequestLimits,
    RequestReader,
)
from galenaferry.framing.tests.test_framing import Collector

LIMITS = RequestLimits(head_bytes=4_096, body_bytes=1 << 30)
PIECE_BYTES = 512
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4\r\nbody\r\n"
OFFER = HEAD.replace(b"Host", b"Connection: upgrade\r\nUpgrade: h2c\r\nHost")


def filled(text):
    return text * (PIECE_BYTES // len(text))


@pytest.mark.parametrize("head", [HEAD, OFFER])
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"0\r\nName: ", filled(b"x")),
        (b"0\r\nName", filled(b"x")),
        (b"0\r\n", filled(b"name: x\r\n")),
        (b"4;", filled(b"x")),
        (b"4;name=", filled(b"x")),
        (b"0;name=", filled(b"x")),
    ],
)
def test_a_reader_gives_up_on_trailers_and_extensions_without_an_end(
    head, start, piece
):
    """Guards against memory, and time by its square, for what is no body."""
    reader = RequestReader(Collector(), LIMITS)
    reader.feed(head + CHUNK + start)
    fed = 0
    with pytest.raises(FramingError) as raised:
        while fed < 100 * LIMITS.head_bytes:
            reader.feed(piece)
            fed += len(piece)
            assert reader.held_bytes <= 2 * LIMITS.head_bytes + MAX_SEPARATOR_BYTES
    assert raised.value.status == 431
    assert fed <= 2 * LIMITS.head_bytes + MAX_SEPARATOR_BYTES


@pytest.mark.parametrize("piece_bytes", [1, 7, 512, 100_000])
def test_chunks_with_extensions_and_trailers_inside_the_limit_are_read(piece_bytes):
    """Guards against a limit on all chunks of a body together."""
    filler = b"x" * (LIMITS.head_bytes - 100)
    chunks = (b"4;name=" + filler + b"\r\nbody\r\n") * 10 + b"1\r\nx\r\n" * 5_000
    data = HEAD + chunks + b"0;name=x\r\nName: " + filler + b"\r\n\r\n"
    collector = Collector()
    reader = RequestReader(collector, LIMITS)
    for start in range(0, 2 * len(data), piece_bytes):
        reader.feed((data * 2)[start : start + piece_bytes])
    assert collector.body == (b"body" * 10 + b"x" * 5_000) * 2
    assert collector.completed == 2
