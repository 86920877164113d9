"""HTTP/1.1 server and client connections of the harness on its loop."""

from collections.abc import Callable

from galenaferry.framing.messages import FramingError, RequestHead, ResponseHead
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.framing.responses import ResponseReader
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect

LIMITS = RequestLimits(65_536, 1 << 20)
"""Maximum size of a request's head and of its body, in bytes."""
ENDLESS_BLOCK = b"x" * 32_768
ENDLESS_INTERVAL_MS = 10.0


class ServerConnection:
    """One accepted connection; calls ``handle`` with itself on each whole request."""

    def __init__(
        self, loop: Loop, sock, handle: Callable[["ServerConnection"], None]
    ) -> None:
        self.head: RequestHead | None = None
        self.body = b""
        self.is_closed = False
        self._handle = handle
        self._loop = loop
        self._reader = RequestReader(self, LIMITS)
        self.stream = Stream(loop, sock, self, is_connecting=False)

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a response with a ``Content-Length``."""
        lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.stream.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def send_endlessly(self, start: bytes) -> None:
        """Send ``start`` and then bytes until the connection is closed."""
        if not self.is_closed:
            self.stream.write(start)
            self._loop.after(
                ENDLESS_INTERVAL_MS, lambda: self.send_endlessly(ENDLESS_BLOCK)
            )

    def close(self) -> None:
        """Close at once."""
        self.is_closed = True
        self.stream.close()

    def on_connected(self) -> None:
        """Do nothing: the connection is established already."""

    def on_data(self, data: bytes) -> None:
        """Parse bytes of a request."""
        try:
            self._reader.feed(data)
        except FramingError:
            self.close()

    def on_drained(self) -> None:
        """Do nothing: responses are short enough to be queued."""

    def on_ended(self, reason: str) -> None:
        """Close the connection when the peer has ended it."""
        self.close()

    def on_head(self, head: RequestHead) -> None:
        """Store the head of a request."""
        self.head, self.body = head, b""

    def on_body(self, data: bytes) -> None:
        """Append a part of the request body."""
        self.body += data

    def on_complete(self) -> None:
        """Call the handler with the complete request."""
        self._handle(self)


def serve(loop: Loop, address: tuple[str, int], handle) -> Listener:
    """Listen on an address and call ``handle`` with the connection of each request."""
    return Listener(loop, address, lambda sock: ServerConnection(loop, sock, handle))


class ClientConnection:
    """One connection of a caller, which can send several requests in sequence.

    It stays open until the VM closes it or sends malformed or unexpected bytes.
    ``on_outcome`` is called with the connection and a reason: empty for a complete
    response, else why the connection ended. Without a pending request only
    unexpected bytes are reported.
    """

    def __init__(self, loop: Loop, address: tuple[str, int], on_outcome) -> None:
        self._on_outcome = on_outcome
        self._reader: ResponseReader | None = None
        self.head: ResponseHead | None = None
        self.body = b""
        self.is_open = True
        self.is_busy = False
        self.is_connected = False
        self.address = address
        self.stream = connect(loop, address, self)

    def send(self, data: bytes) -> None:
        """Send one request; ``on_outcome`` is called once for it."""
        self._reader = ResponseReader(self, False)
        self.head, self.body, self.is_busy = None, b"", True
        self.stream.write(data)

    def on_connected(self) -> None:
        """Record that the connection is established; a queued request follows."""
        self.is_connected = True

    def on_data(self, data: bytes) -> None:
        """Parse bytes of the response; close the connection on any other bytes."""
        if self._reader is None or not self.is_busy:
            self._end("bytes that nobody asked for")
            return
        try:
            self._reader.feed(data)
        except FramingError as error:
            self._end(error.text)
            return
        if self._reader.has_excess_data:
            self._end("bytes that nobody asked for")

    def on_drained(self) -> None:
        """Do nothing: requests are short enough to be queued."""

    def on_ended(self, reason: str) -> None:
        """Report the end of the connection if a request is pending."""
        self._end(reason or "closed")

    def on_response_head(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self.head = head

    def on_response_body(self, data: bytes) -> None:
        """Append a part of the response body."""
        self.body += data

    def on_response_complete(self) -> None:
        """Report the complete response."""
        self.is_busy = False
        self._on_outcome(self, "")

    def _end(self, reason: str) -> None:
        was_busy, self.is_busy, self.is_open = self.is_busy, False, False
        self.stream.close()
        # Excess bytes are reported without a pending request too. Their reason in
        # ``on_data`` is recognized by its first word.
        if was_busy or reason.startswith("bytes"):
            self._on_outcome(self, reason)
