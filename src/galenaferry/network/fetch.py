"""HTTP client for single requests to the platform or to another process."""

from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..clock import Millis
from ..framing.messages import FramingError, Header, ResponseHead
from ..framing.responses import ResponseReader
from .loop import Loop, Timer
from .stream import Stream, connect

MAX_RESPONSE_BYTES: Final = 67_108_864
"""Maximum size of a response, head included."""
MAX_TRANSFER_MS: Final[Millis] = 15_000.0
"""Longest time for a response whose parts keep arriving."""


class FetchRequest(NamedTuple):
    """A request with its whole body; times in milliseconds.

    ``timeout`` limits the time until the whole response is received. With a
    ``stall_timeout`` it limits the time until the first part of the response, and the
    time between two parts is limited by ``stall_timeout``: a large response on a slow
    link then takes as long as it needs, up to ``MAX_TRANSFER_MS``. ``connect_timeout``
    limits the time until the connection is established. Without ``needs_body`` the
    response ends with its head, and the connection is closed then.
    """

    address: tuple[str, int]
    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    timeout: Millis = 2000.0
    stall_timeout: Millis | None = None
    connect_timeout: Millis | None = None
    needs_body: bool = True


class FetchResponse(NamedTuple):
    """A response with its whole body, an empty one if it was not needed."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class FetchError(NamedTuple):
    """The request failed without a complete response.

    ``may_have_run`` is whether the server may have executed the request; it is
    False only if no byte was sent. ``has_timed_out`` is whether one of its times ran
    out.
    """

    text: str
    may_have_run: bool
    has_timed_out: bool = False


FetchResult = Result[FetchResponse, FetchError]


def fetch(
    loop: Loop, request: FetchRequest, done: Callable[[FetchResult], None]
) -> None:
    """Send ``request`` on a new connection and call ``done`` exactly once.

    Parameters
    ----------
    loop : Loop
    request : FetchRequest
    done : callable
        Called with the response or the error, not before this function returns.
    """
    _Fetch(loop, request, done)


class _Fetch:
    def __init__(
        self, loop: Loop, request: FetchRequest, done: Callable[[FetchResult], None]
    ) -> None:
        self._request = request
        self._done = done
        self._is_done = False
        self._head: ResponseHead | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._reader = ResponseReader(self, request.method == "HEAD")
        self._loop = loop
        self._started_at = loop.clock.now()
        self._received_at = self._started_at
        self._is_connected = False
        self._timer: Timer = loop.after(request.timeout, self._on_timeout)
        if request.connect_timeout is not None:
            loop.after(request.connect_timeout, self._check_connected)
        self._stream: Stream = connect(loop, request.address, self)

    def on_connected(self) -> None:
        self._is_connected = True
        request = self._request
        host = f"{request.address[0]}:{request.address[1]}"
        lines = [f"{request.method} {request.target} HTTP/1.1".encode()]
        lines.append(b"host: " + host.encode())
        lines += [name + b": " + value for name, value in request.headers]
        lines.append(b"content-length: %d" % len(request.body))
        lines.append(b"connection: close")
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self._stream.write(head + request.body)

    def on_data(self, data: bytes) -> None:
        stall_timeout = self._request.stall_timeout
        if stall_timeout is not None and not self._size:
            self._timer.cancel()
            self._timer = self._loop.after(stall_timeout, self._on_timeout)
        self._size += len(data)
        self._received_at = self._loop.clock.now()
        if self._size > MAX_RESPONSE_BYTES:
            self._fail("the answer is too large")
            return
        try:
            self._reader.feed(data)
        except FramingError as error:
            self._fail(error.text)

    def on_drained(self) -> None:
        return

    def on_ended(self, reason: str) -> None:
        try:
            self._reader.feed_eof()
        except FramingError as error:
            self._fail(reason or error.text)

    def on_response_head(self, head: ResponseHead) -> None:
        self._head = head
        if not self._request.needs_body:
            self._finish(Ok(FetchResponse(head.status, head.headers, b"")))

    def on_response_body(self, data: bytes) -> None:
        if not self._is_done:
            self._body.append(data)

    def on_response_complete(self) -> None:
        assert self._head is not None
        body = b"".join(self._body)
        self._finish(Ok(FetchResponse(self._head.status, self._head.headers, body)))

    def _check_connected(self) -> None:
        if not self._is_connected:
            text = f"no connection within {self._request.connect_timeout:.0f} ms"
            self._fail(text, has_timed_out=True)

    def _on_timeout(self) -> None:
        now = self._loop.clock.now()
        stall_timeout = self._request.stall_timeout
        if stall_timeout is not None and self._size:
            ends_at = min(
                self._received_at + stall_timeout, self._started_at + MAX_TRANSFER_MS
            )
            if ends_at > now:
                self._timer = self._loop.after(ends_at - now, self._on_timeout)
                return
        took = now - self._started_at
        text = f"no answer within {took:.0f} ms, {self._size} bytes received"
        self._fail(text, has_timed_out=True)

    def _fail(self, text: str, has_timed_out: bool = False) -> None:
        may_have_run = self._stream.bytes_sent > 0
        self._finish(Err(FetchError(text, may_have_run, has_timed_out)))

    def _finish(self, result: FetchResult) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._timer.cancel()
        self._stream.close()
        self._done(result)
