"""Bodies in small pieces: work and memory grow with the bytes alone."""

import tracemalloc

import pytest

from galenaferry.framing.messages import ResponseHead
from galenaferry.requests.body import REPLAY_LIMIT_BYTES, RequestBody
from galenaferry.requests.buffered_answer import BufferedAnswer

HEAD = ResponseHead(200, b"", (), None)
SIZE = 60_000


class CountingPart(bytes):
    """Part of a body that counts how often it is looked at."""

    looks = 0

    def __len__(self):
        CountingPart.looks += 1
        return super().__len__()


def pieces(size, total=SIZE):
    return [bytes([65 + n % 26]) * size for n in range(total // size)]


def peak_of(build):
    """Return the memory that ``build`` leaves in use."""
    tracemalloc.start()
    try:
        kept = build()
        used, _ = tracemalloc.get_traced_memory()
        assert kept is not None
        return used
    finally:
        tracemalloc.stop()


def fill_request(size):
    body = RequestBody()
    for piece in pieces(size):
        body.append(piece)
    return body


def fill_answer(size):
    answer = BufferedAnswer(HEAD, (), 1 << 20)
    for piece in pieces(size):
        assert answer.append(piece)
    return answer


@pytest.mark.parametrize("fill", [fill_request, fill_answer])
@pytest.mark.parametrize("size", [1, 2, 4, 64])
def test_a_body_in_small_pieces_needs_about_as_much_memory_as_a_whole_one(fill, size):
    assert peak_of(lambda: fill(size)) < 2 * SIZE


def test_the_work_for_a_piece_does_not_grow_with_the_pieces_before():
    CountingPart.looks = 0
    body = RequestBody()
    for _ in range(5_000):
        body.append(CountingPart(b"abcd"))
        assert body.unsent_bytes == body.size
    assert CountingPart.looks <= 5 * 5_000


@pytest.mark.parametrize("taken_every", [1, 3, 1_000_000])
def test_all_bytes_of_a_body_are_sent_once_and_again_after_a_rewind(taken_every):
    body = RequestBody()
    sent = []
    for number, piece in enumerate(pieces(7), 1):
        body.append(piece)
        if number % taken_every == 0:
            sent += body.take_unsent()
    sent += body.take_unsent()
    whole = b"".join(pieces(7))
    assert b"".join(sent) == whole
    assert not body.has_unsent
    assert body.is_replayable
    body.rewind()
    assert body.unsent_bytes == len(whole)
    assert b"".join(body.take_unsent()) == whole


def test_a_body_beyond_the_limit_is_sent_and_not_kept():
    body = RequestBody()
    body.append(b"x" * REPLAY_LIMIT_BYTES)
    first = body.take_unsent()
    assert body.is_replayable
    body.append(b"yz")
    digest = body.digest()
    assert b"".join(first + body.take_unsent()) == b"x" * REPLAY_LIMIT_BYTES + b"yz"
    assert not body.is_replayable
    assert body.digest() == digest
    body.append(b"more")
    assert body.unsent_bytes == 4
    assert body.take_unsent() == [b"more"]


def test_an_answer_in_small_pieces_is_buffered_whole():
    answer = fill_answer(3)
    assert answer.body == b"".join(pieces(3))
