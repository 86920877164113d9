"""Builders of valid requests."""

import itertools
from typing import NamedTuple

from hypothesis import strategies as st

MAX_HEADER_VALUE_BYTES = 3_000
MAX_BODY_BYTES = 30_000


class ValidRequest(NamedTuple):
    """A request as a caller may send it.

    ``chunk_bytes`` is the size of its chunks, 0 for a body with a length. ``spaces``
    stand around the values of headers, and ``empty_lines`` before the request.
    """

    method: str = "POST"
    is_absolute: bool = False
    expects_continue: bool = False
    spaces: tuple[str, str] = (" ", "")
    header_bytes: int = 0
    body_bytes: int = 0
    chunk_bytes: int = 0
    chunk_extension: str = ""
    trailers: int = 0
    empty_lines: int = 0
    closing: str = ""

    def encode(self, number):
        """Return the bytes of the request, with ``number`` as its id."""
        path = f"/bookings/{number}"
        target = f"http://a{path}" if self.is_absolute else path
        version = "1.0" if self.closing == "1.0" else "1.1"
        headers = [("Host", "a"), ("X-Request-Id", str(number))]
        headers += [("X", "x" * self.header_bytes)] * bool(self.header_bytes)
        headers += [("Expect", "100-continue")] * self.expects_continue
        headers += [("Connection", "close")] * (self.closing == "close")
        headers += [self._length_header()] * bool(self._has_body())
        before, after = self.spaces
        lines = [f"{self.method} {target} HTTP/{version}"]
        lines += [f"{name}:{before}{value}{after}" for name, value in headers]
        head = "\r\n" * self.empty_lines + "\r\n".join(lines) + "\r\n\r\n"
        return head.encode() + self._encode_body()

    def _has_body(self):
        return self.chunk_bytes or self.body_bytes or self.method == "POST"

    def _length_header(self):
        if self.chunk_bytes:
            return "Transfer-Encoding", "chunked"
        return "Content-Length", str(self.body_bytes)

    def _encode_body(self):
        body = b"b" * self.body_bytes
        if not self.chunk_bytes:
            return body
        parts = b""
        for start in range(0, len(body), self.chunk_bytes):
            chunk = body[start : start + self.chunk_bytes]
            extension = self.chunk_extension.encode()
            parts += b"%04X%b\r\n%b\r\n" % (len(chunk), extension, chunk)
        trailers = b"".join(b"T%d: t\r\n" % number for number in range(self.trailers))
        return parts + b"0\r\n" + trailers + b"\r\n"


def valid_requests(closings=("",)):
    """Return a strategy of valid requests."""
    return st.builds(
        ValidRequest,
        method=st.sampled_from(["POST", "GET", "PUT", "DELETE", "HEAD", "OPTIONS"]),
        is_absolute=st.booleans(),
        expects_continue=st.booleans(),
        spaces=st.tuples(st.sampled_from(["", " ", "\t "]), st.sampled_from(["", " "])),
        header_bytes=st.integers(0, MAX_HEADER_VALUE_BYTES),
        body_bytes=st.sampled_from([0, 1, 400, 5_000, MAX_BODY_BYTES]),
        chunk_bytes=st.sampled_from([0, 1_000, 4_096]),
        chunk_extension=st.sampled_from(["", ";e", ';e="a;b"']),
        trailers=st.integers(0, 2),
        empty_lines=st.integers(0, 1),
        closing=st.sampled_from(closings),
    )


def split_at(data, positions):
    """Return the parts of ``data`` between positions, given modulo its length."""
    edges = sorted({0, len(data), *(position % len(data) for position in positions)})
    return [data[start:end] for start, end in itertools.pairwise(edges)]
