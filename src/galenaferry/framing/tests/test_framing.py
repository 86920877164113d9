"""Framing rules of requests and responses, each with its expected result."""

import itertools

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.framing.heads import encode_request, end_to_end_headers
from galenaferry.framing.messages import FramingError
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.framing.responses import ResponseReader

LIMITS = RequestLimits(head_bytes=1024, body_bytes=10_000)


class Collector:
    def __init__(self):
        self.heads, self.body, self.completed = [], b"", 0

    def on_head(self, head):
        self.heads.append(head)

    on_response_head = on_head

    def on_body(self, data):
        self.body += data

    on_response_body = on_body

    def on_complete(self):
        self.completed += 1

    on_response_complete = on_complete


def read_requests(*parts):
    collector = Collector()
    reader = RequestReader(collector, LIMITS)
    for part in parts:
        reader.feed(part)
    return collector


REJECTED = [
    (
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    (
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        400,
    ),
    (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
    (b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
    (b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (b"GET /a HTTP/1.1\r\n\r\n", 400),
    (b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
    (b"GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 505),
    (b"GET /a HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
    (b"GET /a HTTP/1.1\r\nHost: a\r\nExpect: cake\r\n\r\n", 417),
    (b"CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n", 501),
    (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n", 413),
    (b"GET /" + b"a" * 2000, 431),
    (b"GET /a HTTP/1.1\r\nHost: a\r\n" + b"x: y\r\n" * 101 + b"\r\n", 431),
]


@pytest.mark.parametrize(("raw", "status"), REJECTED)
def test_invalid_requests_are_rejected_with_their_status(raw, status):
    with pytest.raises(FramingError) as caught:
        read_requests(raw)
    assert caught.value.status == status


def test_pipelined_requests_keep_their_own_targets():
    collector = read_requests(
        b"POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /two HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    assert [head.target for head in collector.heads] == [b"/one", b"/two"]
    assert collector.body == b"abc"
    assert collector.completed == 2


def test_a_request_split_into_single_bytes_parses_the_same():
    raw = b"POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    whole = read_requests(raw)
    split = read_requests(*[raw[i : i + 1] for i in range(len(raw))])
    assert split.heads == whole.heads
    assert split.body == b"abc"


def test_hop_by_hop_headers_are_not_forwarded():
    head = read_requests(
        b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Stay: 2\r\n\r\n"
    ).heads[0]
    assert end_to_end_headers(head.headers) == [(b"host", b"a"), (b"x-stay", b"2")]
    assert b"x-stay: 2" in encode_request(head, ())


def read_response(*parts, is_head_request=False, at_eof=False):
    collector = Collector()
    reader = ResponseReader(collector, is_head_request)
    for part in parts:
        reader.feed(part)
    if at_eof:
        reader.feed_eof()
    return collector, reader


def test_informational_responses_are_dropped():
    collector, reader = read_response(
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    )
    assert [head.status for head in collector.heads] == [200]
    assert collector.body == b"ab"
    assert reader.is_persistent


def test_bytes_after_the_response_are_reported_as_excess_data():
    collector, reader = read_response(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz"
    )
    assert collector.body == b"ab"
    assert reader.has_excess_data


def test_a_response_to_a_head_request_has_no_body():
    collector, _ = read_response(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", is_head_request=True
    )
    assert collector.completed == 1


def test_a_truncated_response_is_an_error():
    with pytest.raises(FramingError):
        read_response(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", at_eof=True)


def test_a_close_delimited_response_ends_with_the_connection():
    collector, reader = read_response(b"HTTP/1.1 200 OK\r\n\r\nab", at_eof=True)
    assert (collector.body, collector.completed) == (b"ab", 1)
    assert not reader.is_persistent


@seed(11)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.lists(
        st.binary(max_size=200) | st.sampled_from([raw for raw, _ in REJECTED]),
        max_size=5,
    )
)
def test_arbitrary_bytes_give_requests_or_a_framing_error(parts):
    collector = Collector()
    reader = RequestReader(collector, LIMITS)
    try:
        for part in parts:
            reader.feed(part)
    except FramingError as error:
        assert 400 <= error.status < 600
    assert len(collector.body) <= sum(len(part) for part in parts)


@seed(12)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=300), st.booleans())
def test_arbitrary_bytes_give_a_response_or_a_framing_error(data, has_head):
    prefix = b"HTTP/1.1 200 OK\r\n" if has_head else b""
    collector = Collector()
    reader = ResponseReader(collector, False)
    try:
        reader.feed(prefix + data)
        reader.feed_eof()
    except FramingError as error:
        assert error.status == 502
    assert collector.completed <= 1


def make_request(body, is_chunked, header_size):
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nX: " + b"x" * header_size + b"\r\n"
    if is_chunked:
        chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def split_at(data, positions):
    edges = [0, *sorted({position % len(data) for position in positions}), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(edges) if a < b]


def test_a_large_body_that_ends_in_one_read_is_not_counted_as_head():
    data = make_request(b"b" * 9_000, False, 10)
    collector = read_requests(data[:100], data[100:])
    assert (len(collector.heads), collector.completed) == (1, 1)


@seed(5)
@settings(max_examples=150, database=None, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 9_999), st.booleans(), st.integers(0, 900)),
        min_size=1,
        max_size=4,
    ),
    st.lists(st.integers(0, 50_000), max_size=12),
)
def test_valid_requests_are_the_same_however_they_are_split(requests, positions):
    bodies = [b"b" * size for size, _, _ in requests]
    data = b"".join(
        make_request(body, is_chunked, header_size)
        for body, (_, is_chunked, header_size) in zip(bodies, requests)
    )
    whole, parts = read_requests(data), read_requests(*split_at(data, positions))
    assert parts.heads == whole.heads
    assert parts.body == whole.body == b"".join(bodies)
    assert parts.completed == whole.completed == len(requests)


@pytest.mark.parametrize("step", [1, 7, 100, 5000])
@pytest.mark.parametrize("excess", [0, 1])
def test_the_limit_of_the_head_does_not_depend_on_the_reads(step, excess):
    # "/a", Host, X, Content-Length and its value count toward the limit.
    counted = len(b"/a" + b"Host" + b"a" + b"X" + b"Content-Length" + b"0")
    data = make_request(b"", False, LIMITS.head_bytes - counted + excess)
    parts = [data[start : start + step] for start in range(0, len(data), step)]
    if excess:
        with pytest.raises(FramingError) as caught:
            read_requests(*parts)
        assert caught.value.status == 431
    else:
        assert read_requests(*parts).completed == 1


def test_a_head_without_an_end_is_refused():
    with pytest.raises(FramingError) as caught:
        read_requests(b"GET /a HTTP/1.1\r\nX: ", *[b"x" * 100] * 40)
    assert caught.value.status == 431


@seed(6)
@settings(max_examples=100, database=None, deadline=None)
@given(st.integers(0, 100_000), st.booleans(), st.lists(st.integers(0, 120_000)))
def test_a_valid_response_is_the_same_however_it_is_split(size, is_chunked, positions):
    body = b"b" * size
    data = b"HTTP/1.1 200 OK\r\nX: y\r\n"
    if is_chunked:
        chunks = b"%x\r\n%s\r\n" % (size, body) if size else b""
        data += b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    else:
        data += b"Content-Length: %d\r\n\r\n" % size + body
    collector = Collector()
    reader = ResponseReader(collector, False)
    for part in split_at(data, positions):
        reader.feed(part)
    assert collector.body == body
    assert (len(collector.heads), collector.completed) == (1, 1)
