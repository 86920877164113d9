"""Valid requests that a careless reader would take for wrong ones."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.framing.messages import FramingError
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.framing.tests.builders import (
    MAX_BODY_BYTES,
    MAX_HEADER_VALUE_BYTES,
    split_at,
    valid_requests,
)

LIMITS = RequestLimits(MAX_HEADER_VALUE_BYTES + 200, MAX_BODY_BYTES)
RAISED_LIMITS = RequestLimits(2 * LIMITS.head_bytes, 2 * LIMITS.body_bytes)


class Reader:
    """Reader that collects the requests."""

    def __init__(self, limits=LIMITS):
        self.heads, self.body, self.completed = [], b"", 0
        self.reader = RequestReader(self, limits)

    def on_head(self, head):
        self.heads.append(head)

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        self.completed += 1

    def feed(self, *parts):
        for part in parts:
            self.reader.feed(part)
        return self


@pytest.mark.parametrize("after", [" ", "\t", " \t "])
def test_an_expectation_with_a_space_after_it_is_not_refused(after):
    raw = f"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue{after}\r\n\r\n"
    reader = Reader().feed(raw.encode())
    assert reader.heads[0].expects_continue


@pytest.mark.parametrize(
    ("method", "version", "status"),
    [
        ("BREW", "1.1", 501),
        ("get", "1.1", 501),
        ("VERSION-CONTROL", "1.1", 501),
        ("DESCRIBE", "1.1", 501),
        ("GET", "1.2", 505),
        ("GET", "3.0", 505),
    ],
)
def test_what_is_not_supported_is_no_fault_of_the_caller(method, version, status):
    with pytest.raises(FramingError) as caught:
        Reader().feed(f"{method} /a HTTP/{version}\r\nHost: a\r\n\r\n".encode())
    assert caught.value.status == status


@pytest.mark.parametrize("raw", [b"\x16\x03\x01", b"{}", b"HTTP/1.1 200 OK\r\n", b"\0"])
def test_bytes_that_are_no_request_are_still_called_wrong(raw):
    with pytest.raises(FramingError) as caught:
        Reader().feed(raw)
    assert caught.value.status == 400


def test_a_caller_that_speaks_http_2_at_once_is_told_the_version():
    with pytest.raises(FramingError) as caught:
        Reader().feed(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
    assert caught.value.status == 505


@pytest.mark.parametrize(
    ("target", "path"),
    [
        ("http://a/x?u=/y", "/x?u=/y"),
        ("http://a", "/"),
        ("http://a?b=1", "/?b=1"),
        ("http://a?u=http://b/y", "/?u=http://b/y"),
    ],
)
def test_a_slash_in_a_query_is_not_taken_for_the_path(target, path):
    reader = Reader().feed(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    assert reader.heads[0].target == path.encode()


@pytest.mark.parametrize(
    "value", ["", " ", "100-continue,", "100-continue, 100-Continue"]
)
def test_a_list_of_expectations_without_a_strange_one_is_not_refused(value):
    raw = f"POST /a HTTP/1.1\r\nHost: a\r\nExpect:{value}\r\n\r\n"
    head = Reader().feed(raw.encode()).heads[0]
    assert head.expects_continue == ("100" in value)


@pytest.mark.parametrize("value", ["cake", "100-continue, cake"])
def test_a_list_of_expectations_with_a_strange_one_is_still_refused(value):
    raw = f"POST /a HTTP/1.1\r\nHost: a\r\nExpect: {value}\r\n\r\n"
    with pytest.raises(FramingError) as caught:
        Reader().feed(raw.encode())
    assert caught.value.status == 417


def test_a_space_after_a_value_does_not_belong_to_it():
    head = Reader().feed(b"GET /a HTTP/1.1\r\nHost: \ta \t\r\nX: b c \r\n\r\n").heads[0]
    assert head.headers == ((b"host", b"a"), (b"x", b"b c"))


@seed(34)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.lists(valid_requests(), min_size=1, max_size=5),
    st.lists(st.integers(0, 200_000), max_size=40),
    st.lists(st.sampled_from([LIMITS, RAISED_LIMITS]), min_size=1, max_size=3),
)
def test_no_valid_request_is_refused_however_it_is_split(requests, positions, limits):
    data = b"".join(request.encode(n) for n, request in enumerate(requests))
    reader = Reader()
    for index, part in enumerate(split_at(data, positions)):
        reader.reader.replace_limits(limits[index % len(limits)])
        reader.feed(part)
    ids = [head.header(b"x-request-id") for head in reader.heads]
    assert ids == [b"%d" % number for number in range(len(requests))]
    assert reader.completed == len(requests)
    assert len(reader.body) == sum(request.body_bytes for request in requests)
