"""Bytes of message heads and chunks, and the headers that stay on one hop."""

from http import HTTPStatus
from typing import Final

from .messages import Header, RequestHead, ResponseHead

HOP_BY_HOP: Final = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
LAST_CHUNK: Final = b"0\r\n\r\n"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


def end_to_end_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Return the headers that travel on, without those of this hop only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    named -= {b"host", b"content-length"}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    ]


def encode_request(head: RequestHead, extra: tuple[Header, ...]) -> bytes:
    """Return the head of a forwarded request."""
    parts = [head.method, b" ", head.target, b" HTTP/1.1\r\n"]
    replaced = {name for name, _ in extra}
    for name, value in end_to_end_headers(head.headers):
        if name not in replaced:
            parts += (name, b": ", value, b"\r\n")
    for name, value in extra:
        parts += (name, b": ", value, b"\r\n")
    if head.length is None:
        parts.append(b"transfer-encoding: chunked\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_response(
    head: ResponseHead,
    extra: tuple[Header, ...],
    is_chunked: bool,
    is_connection_closing: bool,
) -> bytes:
    """Return the head of an answer to a caller.

    Parameters
    ----------
    head : ResponseHead
    extra : tuple of Header
        Headers that replace those of the same name.
    is_chunked : bool
        Whether the body follows in chunks.
    is_connection_closing : bool
        Whether the connection is closed after this answer.
    """
    reason = head.reason or reason_phrase(head.status)
    parts = [b"HTTP/1.1 %d " % head.status, reason, b"\r\n"]
    replaced = {name for name, _ in extra}
    for name, value in end_to_end_headers(head.headers):
        if name not in replaced:
            parts += (name, b": ", value, b"\r\n")
    for name, value in extra:
        parts += (name, b": ", value, b"\r\n")
    if is_chunked:
        parts.append(b"transfer-encoding: chunked\r\n")
    if is_connection_closing:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk; no data gives no chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
