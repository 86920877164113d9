"""Heads of HTTP messages and the errors of their framing."""

from typing import NamedTuple

Header = tuple[bytes, bytes]


class RequestHead(NamedTuple):
    """Head of a request; header names are in lower case.

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
    """Head of a response; header names are in lower case.

    ``length`` is the body's length in bytes, None where it is not known
    before the end.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class FramingError(Exception):
    """A message broke the framing rules.

    ``status`` is the answer owed to a caller, ``text`` says what was wrong.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (in lower case)."""
    for key, value in headers:
        if key == name:
            return value
    return None
