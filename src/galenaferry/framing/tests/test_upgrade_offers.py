"""Requests that offer an upgrade, which is ignored, and CONNECT, which is refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenaferry.framing.messages import FramingError
from galenaferry.framing.requests import RequestLimits, RequestReader

LIMITS = RequestLimits(head_bytes=4_096, body_bytes=1 << 20)
OFFERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n",
    b"Connection: upgrade\r\nUpgrade: websocket\r\n",
    b"Upgrade: h2c, TLS/1.0\r\nConnection: keep-alive, Upgrade\r\n",
)
BODY = b"the booking of a slot " * 20


class Recorder:
    """Owner that records whole requests."""

    def __init__(self):
        self.heads = []
        self.bodies = []
        self.complete_count = 0

    def on_head(self, head):
        self.heads.append(head)
        self.bodies.append(b"")

    def on_body(self, data):
        self.bodies[-1] += data

    def on_complete(self):
        self.complete_count += 1


def request(offer=b"", body=BODY, framing="length", target=b"/book/1", close=False):
    """Return an encoded request."""
    lines = b"POST %b HTTP/1.1\r\nHost: a\r\n%b" % (target, offer)
    if close:
        lines += b"Connection: close\r\n"
    if framing == "length":
        return lines + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    parts = [body[i : i + 37] for i in range(0, len(body), 37)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return lines + b"Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n" % chunks


def read(data, splits=()):
    """Return what a reader makes of bytes that arrive in parts."""
    recorder = Recorder()
    reader = RequestReader(recorder, LIMITS)
    ends = sorted({split % (len(data) + 1) for split in splits} | {len(data)})
    start = 0
    for end in ends:
        if end > start:
            reader.feed(data[start:end])
        start = end
    assert reader.is_between_requests
    return recorder


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_request_that_offers_an_upgrade_keeps_its_body(offer, framing):
    recorder = read(request(offer, framing=framing))
    assert recorder.bodies == [BODY]
    assert recorder.complete_count == 1
    assert recorder.heads[0].length == (len(BODY) if framing == "length" else None)
    assert recorder.heads[0].is_persistent


@given(
    st.sampled_from(OFFERS),
    st.sampled_from(["length", "chunked"]),
    st.lists(st.integers(0, 3_000), max_size=12),
)
def test_bytes_after_an_offer_are_read_the_same_in_any_parts(offer, framing, splits):
    data = (
        request(offer, framing=framing)
        + request(target=b"/book/2", body=b"plain")
        + request(offer, b"", framing, b"/book/3")
        + request(offer, b"last", "chunked", b"/book/4", close=True)
    )
    recorder = read(data, splits)
    assert recorder.bodies == [BODY, b"plain", b"", b"last"]
    assert [head.target for head in recorder.heads] == [
        b"/book/%d" % number for number in (1, 2, 3, 4)
    ]
    assert [head.is_persistent for head in recorder.heads] == [True] * 3 + [False]
    assert recorder.complete_count == 4


def test_a_request_that_offers_an_upgrade_is_not_complete_before_its_body():
    recorder = Recorder()
    reader = RequestReader(recorder, LIMITS)
    head, _, body = request(OFFERS[0]).partition(b"\r\n\r\n")
    reader.feed(head + b"\r\n\r\n")
    assert recorder.complete_count == 0
    assert not reader.is_between_requests
    reader.feed(body[:-1])
    assert recorder.complete_count == 0
    reader.feed(body[-1:])
    assert recorder.complete_count == 1


def test_the_body_of_a_request_that_offers_an_upgrade_is_limited():
    with pytest.raises(FramingError) as error:
        read(request(OFFERS[0], b"x" * (2 << 20), "chunked"))
    assert error.value.status == 413


@pytest.mark.parametrize("offer", [b"", OFFERS[0]])
def test_connect_is_refused_before_anything_is_passed_on(offer):
    recorder = Recorder()
    reader = RequestReader(recorder, LIMITS)
    with pytest.raises(FramingError) as error:
        reader.feed(b"CONNECT a.example:443 HTTP/1.1\r\nHost: a\r\n%b\r\n" % offer)
    assert error.value.status == 501
    assert recorder.heads == []
