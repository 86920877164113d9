"""Incremental parser of one response on a backend server connection."""

from collections.abc import Callable
from typing import Any, Final, Protocol

import httptools

from .messages import FramingError, Header, ResponseHead

MAX_RESPONSE_HEAD_BYTES: Final = 65_536
"""Largest head, and most bytes between two parts of a body or after its last part."""
MAX_PRECEDING_BYTES: Final = 1 << 20
"""Most bytes before the body of the response, those of skipped responses included."""
VALID_STATUSES: Final = range(100, 600)
BODILESS_STATUSES: Final = (204, 304)
"""Final statuses whose responses never have a body."""


class ResponseOwner(Protocol):
    """Receiver of the parsed response."""

    def on_response_head(self, head: ResponseHead) -> None:
        """Handle the head of the final (not informational) response."""

    def on_response_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_response_complete(self) -> None:
        """Handle the end of the response."""


def _is_never_stale(head: ResponseHead) -> bool:
    return False


class ResponseReader:
    """Parser of the single final response to one request.

    Informational responses (1xx) are parsed and dropped. If bytes follow the end of
    the response, the connection must not be reused.

    Parameters
    ----------
    owner : ResponseOwner
        Receives the parsed response.
    is_head_request : bool
        Whether the request's method was HEAD, whose response has no body.
    is_stale_response : callable
        Returns whether the response with this head belongs to an earlier request
        on the connection. Such a response is skipped.

    Attributes
    ----------
    is_head_complete : bool
        Whether the head of the final response has been parsed.
    is_complete : bool
        Whether the whole response has been parsed.
    has_excess_data : bool
        Whether bytes followed the end of the response.
    is_persistent : bool
        Whether the response's framing allows another request on the connection.
    """

    def __init__(
        self,
        owner: ResponseOwner,
        is_head_request: bool,
        is_stale_response: Callable[[ResponseHead], bool] = _is_never_stale,
    ) -> None:
        self._owner = owner
        self._is_stale_response = is_stale_response
        self._is_skipping = False
        self._is_head_request = is_head_request
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason = b""
        self._overhead_bytes = 0
        self._preceding_bytes = 0
        self._is_informational = False
        self._is_close_delimited = False
        self._error: FramingError | None = None
        self.is_head_complete = False
        self.is_complete = False
        self.has_excess_data = False
        self.is_persistent = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        FramingError
            When the bytes are not an acceptable response.
        """
        if self.is_complete:
            self.has_excess_data = True
            return
        self._overhead_bytes += len(data)
        self._preceding_bytes += 0 if self.is_head_complete else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if self._error is None:
                # httptools wraps an exception of a callback; raise the original.
                raise error.__context__ or error from None
            raise self._error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise FramingError(502, f"bad response: {error}") from None
            self.has_excess_data = True
        if not self.is_complete:
            self._check_sizes()

    def _check_sizes(self) -> None:
        """Raise ``FramingError`` after too many bytes that are not the body."""
        if self._overhead_bytes > MAX_RESPONSE_HEAD_BYTES:
            part = "framing of the body" if self.is_head_complete else "head"
            raise FramingError(502, f"the {part} of the response is too large")
        if not self.is_head_complete and self._preceding_bytes > MAX_PRECEDING_BYTES:
            raise FramingError(502, "too many bytes of earlier responses")

    def feed_eof(self) -> None:
        """Handle the end of the byte stream, which ends a close-delimited body.

        Raises
        ------
        FramingError
            When the response is incomplete.
        """
        if self.is_complete:
            return
        if not (self.is_head_complete and self._is_close_delimited):
            raise FramingError(502, "the response was cut off")
        self._complete()

    def release(self) -> None:
        """Drop the parser, which forms a reference cycle with the reader.

        No bytes may be fed afterwards.
        """
        self._parser = None

    def on_message_begin(self) -> None:
        """Prepare for a response; a second one is excess (called by httptools)."""
        if self.is_complete:
            self.has_excess_data = True
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase (called by httptools)."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped (called by httptools)."""
        if not (self.is_head_complete or self._is_skipping):
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head of the final response to the owner (called by httptools)."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            # The parser expects a body after a status below 100, unlike after 1xx.
            self._refuse(f"invalid status {status:03}")
        if status == 101:
            self._refuse("unasked protocol upgrade")
        self._is_informational = status < 200
        if self._is_informational:
            return
        self.is_persistent = self._parser.should_keep_alive()
        head = self._build_head(status)
        self._overhead_bytes = 0
        self._is_skipping = self._is_stale_response(head)
        if self._is_skipping:
            return
        self.is_head_complete = True
        self._owner.on_response_head(head)
        if self._is_bodiless(status):
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the owner (called by httptools)."""
        if self.is_complete:
            self.has_excess_data = True
            return
        self._overhead_bytes = 0
        if not self._is_skipping:
            self._owner.on_response_body(data)

    def on_message_complete(self) -> None:
        """Report the end of the response to the owner (called by httptools)."""
        if self.is_complete or self._is_informational:
            return
        if self._is_skipping:
            self._is_skipping = False
            self._overhead_bytes = 0
            return
        self._complete()

    def _refuse(self, text: str) -> None:
        self._error = FramingError(502, f"bad response: {text}")
        raise self._error

    def _complete(self) -> None:
        self.is_complete = True
        self._owner.on_response_complete()

    def _is_bodiless(self, status: int) -> bool:
        return self._is_head_request or status in BODILESS_STATUSES

    def _build_head(self, status: int) -> ResponseHead:
        headers = tuple(self._headers)
        length: int | None = None
        is_chunked = False
        for name, value in headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                if value.strip().lower() != b"chunked":
                    self._refuse("unsupported transfer coding")
                is_chunked = True
        if self._is_bodiless(status):
            self.is_persistent = self.is_persistent and not self._is_head_request
            return ResponseHead(status, self._reason, headers, length)
        self._is_close_delimited = length is None and not is_chunked
        if self._is_close_delimited:
            self.is_persistent = False
        return ResponseHead(status, self._reason, headers, length)
