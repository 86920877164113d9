"""Incremental parser of the requests on a caller connection, based on httptools."""

import re
from typing import Final, NamedTuple, Protocol

import httptools

from .messages import FramingError, Header, RequestHead

MAX_HEADER_COUNT: Final = 100
MAX_SEPARATOR_BYTES: Final = 1024
"""Bytes of a head that do not count toward its limit: the method, the version and the
separators of ``MAX_HEADER_COUNT`` headers."""
SUPPORTED_VERSIONS: Final = ("1.0", "1.1")
STATUS_BY_PARSER_ERROR: Final = {
    "Invalid method for HTTP/x.x request": 501,
    "Invalid HTTP version": 505,
    "Pause on PRI/Upgrade": 505,
}
"""Errors of httptools about requests that may be valid but are not supported."""
HEAD_TOO_LARGE: Final = "the head of the request is too large"
TRAILERS_TOO_LARGE: Final = "the trailers or chunk extensions are too large"
METHOD: Final = re.compile(rb"[\r\n]*[!#$%&'*+.^_`|~0-9A-Za-z-]+( |$)")
"""Begin of bytes that may be a request with a method."""
AUTHORITY: Final = re.compile(rb"[^/?#]*")
"""Host and port of an absolute URL, after the scheme."""


class RequestLimits(NamedTuple):
    """Maximum sizes of a request's head and body in bytes.

    ``head_bytes`` also limits all trailers of a chunked body, and the line with the
    size and the extensions of each chunk.
    ``header_count`` is the maximum number of headers. ``is_known`` says whether a
    request beyond the limits is wrong. If not, they only limit what is taken in.
    """

    head_bytes: int
    body_bytes: int
    is_known: bool = True
    header_count: int = MAX_HEADER_COUNT


class RequestOwner(Protocol):
    """Receiver of the parsed requests."""

    def on_head(self, head: RequestHead) -> None:
        """Handle the head of the next request."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the current request's body."""

    def on_complete(self) -> None:
        """Handle the end of the current request."""


class RequestReader:
    """Parser of the byte stream of one caller connection, pipelining included.

    Parameters
    ----------
    owner : RequestOwner
        Receives the parsed requests.
    limits : RequestLimits
        Limits in force at the start.
    """

    def __init__(self, owner: RequestOwner, limits: RequestLimits) -> None:
        self._owner = owner
        self._limits_in_force = limits
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._error: FramingError | None = None
        # Bytes of an incomplete line before a chunk, or of an incomplete trailer.
        self._partial_line_bytes = 0
        self._trailer_bytes = 0
        self._has_line_ended = False
        # Head behind which the rest of a message that offers an upgrade is parsed.
        self._body_head = b""
        self._is_in_body_head = False
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Whether no part of an incomplete request has been received."""
        return not self._is_in_message

    @property
    def held_bytes(self) -> int:
        """Number of bytes of an incomplete head, or of an incomplete trailer."""
        if not self._is_in_message:
            return 0
        return self._head_bytes + self._partial_head_bytes + self._partial_line_bytes

    def replace_limits(self, limits: RequestLimits) -> None:
        """Apply other limits from now on.

        A request that has begun may use what either the previous or the new limits
        permit: its caller may know of the change earlier or later than this VM.
        """
        self._limits_in_force = limits
        if self._is_in_message:
            self._limits = RequestLimits(
                max(self._limits.head_bytes, limits.head_bytes),
                max(self._limits.body_bytes, limits.body_bytes),
                limits.is_known,
                max(self._limits.header_count, limits.header_count),
            )

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        FramingError
            When the bytes are not an acceptable request. The connection must not
            be used for further requests.
        """
        self._began_in_feed = False
        self._has_line_ended = False
        was_between_requests = not self._is_in_message
        try:
            self._feed_parser(data)
        except httptools.HttpParserCallbackError as error:
            if self._error is None:
                # httptools wraps an exception of a callback; raise the original.
                raise error.__context__ or error from None
            raise self._error from None
        except httptools.HttpParserInvalidMethodError as error:
            is_wrong = was_between_requests and not METHOD.match(data)
            raise FramingError(400 if is_wrong else 501, str(error)) from None
        except httptools.HttpParserError as error:
            text = str(error)
            raise FramingError(STATUS_BY_PARSER_ERROR.get(text, 400), text) from None
        self._limit_incomplete_parts(len(data))

    def _limit_incomplete_parts(self, fed_bytes: int) -> None:
        """Refuse a head, trailer or chunk extension that grows without an end.

        httptools reports them only when they are complete, and joins their parts in
        memory until then.
        """
        is_in_head = self._is_in_message and not self._is_head_complete
        if is_in_head and not self._began_in_feed:
            self._partial_head_bytes += fed_bytes
        if self._is_in_message and self._is_head_complete:
            # Bytes behind the last complete part count from the next call on.
            has_ended = self._has_line_ended
            self._partial_line_bytes = (
                0 if has_ended else self._partial_line_bytes + fed_bytes
            )
        limit = self._limits.head_bytes + MAX_SEPARATOR_BYTES
        if self._partial_head_bytes > limit:
            raise self._size_error(431, HEAD_TOO_LARGE)
        if self._partial_line_bytes + self._trailer_bytes > limit:
            raise self._size_error(431, TRAILERS_TOO_LARGE)

    def _feed_parser(self, data: bytes) -> None:
        """Feed the parser, and a new one after each head that offers an upgrade.

        httptools takes such a head for the end of the message. The offer is ignored,
        so the rest of the message is parsed behind a head without it.
        """
        rest = data
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as upgrade:
                rest = rest[upgrade.args[0] :]
            body_head = self._body_head
            self._parser = httptools.HttpRequestParser(self)
            self._is_in_body_head = True
            self._parser.feed_data(body_head)
            if not rest:
                return

    def on_message_begin(self) -> None:
        """Reset the state for the next request (called by httptools)."""
        if self._is_in_body_head:
            return
        self._reset()
        self._limits = self._limits_in_force
        self._is_in_message = True
        self._began_in_feed = True

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target (called by httptools)."""
        if self._is_in_body_head:
            return
        self._target += part
        self._add_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped (called by httptools)."""
        if self._is_in_body_head:
            return
        if self._is_head_complete:
            self._add_trailer_bytes(len(name) + len(value))
            return
        if len(self._headers) >= self._limits.header_count:
            self._refuse_size(431, "too many headers")
        # httptools leaves the whitespace after a value.
        self._headers.append((name.lower(), value.rstrip(b" \t")))
        self._add_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Validate the head and pass it to the owner (called by httptools)."""
        if self._is_in_body_head:
            self._is_in_body_head = False
            return
        if self._parser.get_method() == b"CONNECT":
            self._refuse(501, "CONNECT is not supported")
        self._is_head_complete = True
        self._has_line_ended = True
        self._partial_head_bytes = 0
        head = self._build_head()
        if head.length is not None and head.length > self._limits.body_bytes:
            self._refuse_size(413, "the body is too large")
        if self._parser.should_upgrade():
            self._body_head = _encode_body_head(head)
        self._owner.on_head(head)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the owner (called by httptools)."""
        self._has_line_ended = True
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse_size(413, "the body is too large")
        self._owner.on_body(data)

    def on_chunk_header(self) -> None:
        """Note that the line before a chunk has ended (called by httptools)."""
        self._has_line_ended = True

    def on_chunk_complete(self) -> None:
        """Note that a chunk has ended (called by httptools)."""
        self._has_line_ended = True

    def on_message_complete(self) -> None:
        """Report the end of the request to the owner (called by httptools)."""
        if self._body_head and self._parser.should_upgrade():
            # The body follows; see ``_feed_parser``.
            return
        self._reset()
        self._owner.on_complete()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._is_head_complete = False
        self._is_in_message = False
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self._partial_line_bytes = 0
        self._trailer_bytes = 0
        self._body_bytes = 0
        self._began_in_feed = False
        self._has_line_ended = False
        self._body_head = b""

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            self._refuse_size(431, HEAD_TOO_LARGE)

    def _add_trailer_bytes(self, size: int) -> None:
        self._has_line_ended = True
        self._trailer_bytes += size
        if self._trailer_bytes > self._limits.head_bytes:
            self._refuse_size(431, TRAILERS_TOO_LARGE)

    def _refuse(self, status: int, text: str) -> None:
        self._error = FramingError(status, text)
        raise self._error

    def _refuse_size(self, status: int, text: str) -> None:
        self._error = self._size_error(status, text)
        raise self._error

    def _size_error(self, status: int, text: str) -> FramingError:
        if self._limits.is_known:
            return FramingError(status, text)
        return FramingError(503, f"the limits are not known yet: {text}")

    def _build_head(self) -> RequestHead:
        version = self._parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            self._refuse(505, f"HTTP/{version} is not supported")
        headers = tuple(self._headers)
        length = self._body_length(headers, version)
        if version == "1.1":
            hosts = sum(1 for name, _ in headers if name == b"host")
            if hosts != 1:
                self._refuse(400, "exactly one Host header is needed")
        return RequestHead(
            method=self._parser.get_method(),
            target=self._origin_form(),
            version=version,
            headers=headers,
            length=length,
            is_persistent=self._parser.should_keep_alive(),
            expects_continue=self._expects_continue(headers),
        )

    def _body_length(self, headers: tuple[Header, ...], version: str) -> int | None:
        length = 0
        for name, value in headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                if version == "1.0":
                    self._refuse(400, "Transfer-Encoding needs HTTP/1.1")
                if value.strip().lower() != b"chunked":
                    self._refuse(501, "only the transfer coding chunked is supported")
                return None
        return length

    def _origin_form(self) -> bytes:
        target = self._target
        if target.startswith(b"/") or target == b"*":
            return target
        scheme, colon, rest = target.partition(b"://")
        if not colon or scheme.lower() not in (b"http", b"https"):
            self._refuse(400, "the target is neither a path nor an absolute URL")
        path = AUTHORITY.sub(b"", rest, count=1)
        return path if path.startswith(b"/") else b"/" + path

    def _expects_continue(self, headers: tuple[Header, ...]) -> bool:
        is_expected = False
        for name, value in headers:
            if name == b"expect":
                members = {member.strip().lower() for member in value.split(b",")}
                if members - {b"", b"100-continue"}:
                    self._refuse(417, "only Expect: 100-continue is supported")
                is_expected |= b"100-continue" in members
        return is_expected


def _encode_body_head(head: RequestHead) -> bytes:
    """Return a head with the framing and the persistence of a request."""
    length = head.length
    framing = (
        b"Transfer-Encoding: chunked"
        if length is None
        else b"Content-Length: %d" % length
    )
    connection = b"keep-alive" if head.is_persistent else b"close"
    return b"POST / HTTP/%b\r\n%b\r\nConnection: %b\r\n\r\n" % (
        head.version.encode(),
        framing,
        connection,
    )
