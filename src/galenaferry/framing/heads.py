"""Serialization of message heads and chunks, without hop-by-hop headers."""

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
    """Return the headers to forward, without the hop-by-hop headers.

    Headers that ``Connection`` names are hop-by-hop too, except ``Host`` and
    ``Content-Length``, which a message must not remove by naming them.
    """
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
    """Return the serialized head of a forwarded request.

    Parameters
    ----------
    head : RequestHead
    extra : tuple of Header
        Headers to add; they replace headers of ``head`` with the same name.
    """
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
    """Return the serialized head of a response to a caller.

    Parameters
    ----------
    head : ResponseHead
    extra : tuple of Header
        Headers to add; they replace headers of ``head`` with the same name.
    is_chunked : bool
        Whether the body uses the chunked transfer coding.
    is_connection_closing : bool
        Whether the connection is closed after this response.
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
    """Return ``data`` as one chunk, or no bytes if ``data`` is empty.

    An empty chunk would end the body.
    """
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status, ``Unknown`` if it has none."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
