"""One connection of a JSON server, whose requests are answered one after another."""

import socket
from collections import deque
from typing import Final, Protocol

from ...clock import Millis
from ...framing.heads import CONTINUE
from ...framing.messages import FramingError, RequestHead
from ...framing.requests import RequestLimits, RequestReader
from ..loop import Loop
from ..stream import Stream
from .connections import OpenConnections
from .decisions import Closing, Idle, Phase, Queued, Receiving, Sending
from .messages import CompleteRequest, MalformedRequest, Received

CONNECTION_BYTES: Final = 8_192
"""Memory of a connection: its parser, stream and other objects."""
PARSED_AT_ONCE_BYTES: Final = 512
"""Bytes that are parsed before requests are answered, beyond the rest of a body. The
parser can't stop within the bytes that it is given, which may be many requests."""
DISCARDED_BYTES: Final = 262_144
"""Bytes that are received and dropped after the last response. A client that is still
sending then sees the response before the connection is reset."""


class ConnectionOwner(Protocol):
    """Server that a connection belongs to."""

    loop: Loop
    connections: OpenConnections

    def request_turn(self, connection: "JsonConnection", is_first: bool) -> None:
        """Call ``answer_next`` of a connection when it is its turn.

        ``is_first`` is whether it is the first request of the connection.
        """

    def respond(self, received: Received) -> tuple[bytes, bool]:
        """Return the encoded response, and whether it is the last of its connection."""


class JsonConnection:
    """Connection of a client.

    The next request is read only when the kernel has accepted the whole response to the
    one before, so that a client that does not read stops being read from.

    Parameters
    ----------
    owner : ConnectionOwner
    sock : socket.socket
    """

    __slots__ = (
        "_body",
        "_delivered_bytes_seen",
        "_discarded_bytes",
        "_has_answered",
        "_head",
        "_is_closing",
        "_is_input_ended",
        "_is_malformed",
        "_is_waiting_for_turn",
        "_owner",
        "_progress_at",
        "_reader",
        "_requests",
        "_stream",
        "_unparsed",
    )

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self._owner = owner
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._unparsed = b""
        self._requests: deque[Received] = deque()
        self._is_input_ended = False
        self._is_malformed = False
        self._is_closing = False
        self._is_waiting_for_turn = False
        self._has_answered = False
        self._discarded_bytes = 0
        self._delivered_bytes_seen = 0
        self._progress_at: Millis = owner.loop.clock.now()
        limits = owner.connections.limits
        self._reader = RequestReader(
            self, RequestLimits(limits.head_bytes, limits.body_bytes)
        )
        self._stream = Stream(owner.loop, sock, self, is_connecting=False)
        owner.connections.add(self)
        self._update()

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._stream.has_unsent:
            return Sending()
        if self._is_closing:
            return Closing()
        if self._requests:
            return Queued(is_first=not self._has_answered)
        is_between = self._reader.is_between_requests and not self._unparsed
        return Idle() if is_between else Receiving()

    def quiet_time(self, now: Millis) -> Millis:
        """Return for how long nothing has been received or read, in milliseconds.

        What the client has read counts from the call that notices it. The kernel may
        accept the next part of a response only after megabytes were read.
        """
        delivered = self._stream.delivered_bytes if self._stream.is_open else 0
        if delivered != self._delivered_bytes_seen:
            self._delivered_bytes_seen = delivered
            self._progress_at = now
            self._owner.connections.record_progress(self)
            self._update()
        return now - self._progress_at

    def receive_pending(self) -> None:
        """Read a request that has arrived with the connection."""
        self._stream.receive_pending()

    def answer_next(self) -> None:
        """Answer the oldest request (called by the server)."""
        self._is_waiting_for_turn = False
        if not self._stream.is_open or not self._requests or self._is_closing:
            return
        data, is_last = self._owner.respond(self._requests.popleft())
        self._has_answered = True
        self._progress_at = self._owner.loop.clock.now()
        self._stream.write(data)
        if not self._stream.is_open:
            return
        self._owner.connections.record_progress(self)
        if is_last:
            self._end()
        else:
            self._go_on()
        self._owner.connections.relieve(self, self._progress_at)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self._requests.clear()
        self._owner.connections.remove(self)

    def on_connected(self) -> None:
        """Do nothing: accepted sockets are already connected."""

    def on_data(self, data: bytes) -> None:
        """Parse received bytes (called by the stream)."""
        if self._is_closing:
            self._discard(len(data))
            return
        self._progress_at = self._owner.loop.clock.now()
        self._unparsed += data
        self._go_on()
        self._owner.connections.relieve(self, self._progress_at)

    def on_drained(self) -> None:
        """Go on after the client has read a response (called by the stream)."""
        self._progress_at = self._owner.loop.clock.now()
        self._owner.connections.record_progress(self)
        if self._is_closing:
            self._shut_down_sending()
        else:
            self._go_on()

    def on_ended(self, reason: str) -> None:
        """Handle the end of the receiving direction (called by the stream)."""
        self._is_input_ended = True
        is_waiting = self._requests or self._unparsed or self._stream.has_unsent
        if reason or self._is_closing or not is_waiting:
            self.close()

    def on_head(self, head: RequestHead) -> None:
        """Begin a request (called by the reader)."""
        self._head = head
        if head.expects_continue and not self._requests:
            self._stream.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Add a part of the body (called by the reader)."""
        self._body += data

    def on_complete(self) -> None:
        """Queue a complete request (called by the reader)."""
        assert self._head is not None
        self._requests.append(CompleteRequest(self._head, bytes(self._body)))
        self._head = None
        self._body.clear()
        self._owner.connections.record_progress(self)

    def _go_on(self) -> None:
        """Parse until a request is complete and wait for its turn, or read on."""
        if not self._stream.has_unsent:
            self._parse()
            if self._requests and not self._is_waiting_for_turn:
                self._is_waiting_for_turn = True
                self._owner.request_turn(self, is_first=not self._has_answered)
            elif not self._requests and self._is_input_ended:
                self._end()
        self._update()

    def _parse(self) -> None:
        while self._unparsed and not self._requests and not self._is_malformed:
            size = self._parse_size()
            part, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            try:
                self._reader.feed(part)
            except FramingError as error:
                self._is_malformed = True
                self._unparsed = b""
                self._body.clear()
                self._owner.connections.counters.malformed += 1
                self._requests.append(MalformedRequest(error.status, error.text))

    def _parse_size(self) -> int:
        """Return how many bytes to parse: the rest of the body, or a small part."""
        length = 0 if self._head is None else self._head.length or 0
        return max(PARSED_AT_ONCE_BYTES, length - len(self._body))

    def _end(self) -> None:
        """Close after what has been written."""
        self._is_closing = True
        self._requests.clear()
        self._unparsed = b""
        self._body.clear()
        if self._is_input_ended and not self._stream.has_unsent:
            self.close()
            return
        if not self._stream.has_unsent:
            self._shut_down_sending()
        self._update()

    def _shut_down_sending(self) -> None:
        self._stream.shutdown_write()
        if not self._stream.is_open or self._is_input_ended:
            self.close()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > DISCARDED_BYTES:
            self.close()

    def _update(self) -> None:
        """Read from the client if its requests have been answered; count the memory."""
        if not self._stream.is_open:
            return
        is_busy = bool(self._requests or self._unparsed or self._stream.has_unsent)
        if self._is_input_ended or (is_busy and not self._is_closing):
            self._stream.pause()
        else:
            self._stream.resume()
        held = CONNECTION_BYTES + self._reader.held_bytes + len(self._body)
        held += len(self._unparsed) + self._stream.unsent_bytes
        held += sum(request.held_bytes for request in self._requests)
        self._owner.connections.update(self, held)
