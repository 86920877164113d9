"""Parsed heads of HTTP messages and the framing error."""

from typing import NamedTuple

Header = tuple[bytes, bytes]
"""Name in lower case, and value."""


class RequestHead(NamedTuple):
    """Request line and headers of a request; header names are in lower case.

    ``length`` is the body's length in bytes, None for a chunked body.
    """

    method: bytes
    target: bytes
    version: str
    headers: tuple[Header, ...]
    length: int | None
    is_persistent: bool
    expects_continue: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class ResponseHead(NamedTuple):
    """Status line and headers of a response; header names are in lower case.

    ``length`` is the value of ``Content-Length`` in bytes, None without that
    header: then the body's length is unknown until its end.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class FramingError(Exception):
    """A message violates the framing rules.

    ``status`` is the HTTP status to send to the caller, ``text`` describes the
    violation.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of the header ``name``, given in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None
