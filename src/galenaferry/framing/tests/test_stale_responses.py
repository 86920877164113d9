"""Late responses to earlier requests on the same connection are skipped."""

import pytest

from galenaferry.framing.messages import FramingError
from galenaferry.framing.responses import ResponseReader

STALE = b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold"
STALE_CHUNKED = b"HTTP/1.1 200 OK\r\nid: old\r\ntransfer-encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
STALE_CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\nid: old\r\n\r\nold"
OWN = b"HTTP/1.1 201 Created\r\nid: own\r\ncontent-length: 3\r\n\r\nown"


class Owner:
    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False

    def on_response_head(self, head):
        self.status = head.status

    def on_response_body(self, data):
        self.body += data

    def on_response_complete(self):
        self.is_complete = True


def read(data, step):
    owner = Owner()
    reader = ResponseReader(owner, False, lambda head: head.header(b"id") != b"own")
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
    return owner, reader


@pytest.mark.parametrize("stale", [STALE, STALE_CHUNKED, STALE + STALE])
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_a_stale_response_is_skipped(stale, step):
    owner, reader = read(stale + OWN, step)
    assert (owner.status, owner.body, owner.is_complete) == (201, b"own", True)
    assert not reader.has_excess_data


@pytest.mark.parametrize("step", [1, 1000])
def test_a_stale_response_alone_is_not_delivered(step):
    owner, reader = read(STALE, step)
    assert (owner.status, owner.body, owner.is_complete) == (0, b"", False)
    with pytest.raises(FramingError):
        reader.feed_eof()


def test_a_close_delimited_stale_response_is_not_delivered():
    owner, reader = read(STALE_CLOSE_DELIMITED + OWN, 1000)
    with pytest.raises(FramingError):
        reader.feed_eof()
    assert (owner.status, owner.is_complete) == (0, False)


def test_a_stale_response_after_the_own_response_is_excess_data():
    owner, reader = read(OWN + STALE, 1000)
    assert owner.body == b"own"
    assert reader.has_excess_data
