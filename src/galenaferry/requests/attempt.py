"""One attempt: sends a request to one instance and reads the response."""

from collections.abc import Callable
from typing import Final, Protocol

from ..attempts.messages import (
    AttemptOutcome,
    BadResponse,
    BrokenResponse,
    BrokenSent,
    BrokenUnsent,
    NotConnected,
    TimedOut,
)
from ..backends.connection import BackendConnection
from ..backends.pool import InstancePool
from ..clock import Millis
from ..configuration.policy import Policy
from ..framing.heads import LAST_CHUNK, encode_chunk
from ..framing.messages import ResponseHead
from ..network.loop import Loop, Timer
from .body import RequestBody

SKIP_LIMIT_BYTES: Final = 65_536
"""Largest body of a discarded response that is read to its end, so that the
connection can be reused; the size of one socket read (``network.stream``)."""
SKIP_TIMEOUT_MS: Final = 500.0
"""Time limit for reading the rest of a discarded response after its head."""


class AttemptOwner(Protocol):
    """Callbacks from an attempt to its exchange."""

    def on_attempt_sending(self) -> None:
        """Handle that sending the request starts."""

    def on_attempt_head(self, head: ResponseHead) -> bool:
        """Handle the response head; return False to discard the response."""

    def on_attempt_body(self, data: bytes) -> None:
        """Handle a part of the response body."""

    def on_attempt_complete(self) -> None:
        """Handle the end of the response."""

    def on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Handle an end without a complete response."""

    def on_attempt_writable(self) -> None:
        """Handle that more of the request body can be sent."""


class Attempt:
    """A request that is sent on one connection to one instance.

    Parameters
    ----------
    loop : Loop
    pool : InstancePool
    connection : BackendConnection
    owner : AttemptOwner
    policy : Policy

    Attributes
    ----------
    started_at : float
        Monotonic time in milliseconds at which the attempt began.
    waits_since : float
        The same, or the time at which the whole request had been sent.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_head",
        "_is_body_sent",
        "_is_chunked",
        "_is_done",
        "_is_head_forwarded",
        "_is_skipping",
        "_length",
        "_loop",
        "_owner",
        "_policy",
        "_timer",
        "pool",
        "started_at",
        "waits_since",
    )

    def __init__(
        self,
        loop: Loop,
        pool: InstancePool,
        connection: BackendConnection,
        owner: AttemptOwner,
        policy: Policy,
    ) -> None:
        self._loop = loop
        self.pool = pool
        self._connection = connection
        self._owner = owner
        self._policy = policy
        self._timer: Timer | None = None
        self._head = b""
        self._body = RequestBody()
        self._is_chunked = False
        self._length: int | None = None
        self._is_body_sent = False
        self._is_head_forwarded = False
        self._is_done = False
        self._is_skipping = False
        self.started_at: Millis = loop.clock.now()
        self.waits_since: Millis = self.started_at

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended."""
        return self._is_done

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the request may have been sent."""
        return self._connection.has_sent

    @property
    def is_waiting(self) -> bool:
        """Whether bytes were sent and no response head has arrived."""
        return self.has_sent and not (self._is_head_forwarded or self._is_done)

    @property
    def has_sent_all(self) -> bool:
        """Whether the whole request has been sent."""
        return self._is_body_sent

    @property
    def is_reused(self) -> bool:
        """Whether the connection has served an earlier request."""
        return self._connection.is_reused

    def start(
        self,
        head: bytes,
        body: RequestBody,
        length: int | None,
        is_head_request: bool,
        is_stale_response: Callable[[ResponseHead], bool],
    ) -> None:
        """Send the request once the connection is established.

        Parameters
        ----------
        head : bytes
            Encoded head of the request.
        body : RequestBody
        length : int or None
            Length of the body that the head declares; None if the body is sent with
            the chunked transfer coding.
        is_head_request : bool
            Whether the method is HEAD, whose response has no body.
        is_stale_response : callable
            Returns whether a response with this head belongs to an earlier request.
        """
        self._head = head
        self._body = body
        self._is_chunked = length is None
        self._length = length
        self._connection.attach(self, is_head_request, is_stale_response)
        if self._connection.is_connected:
            self._send_head()
        else:
            self._arm(self._policy.connect_timeout_ms)

    def send_body(self) -> None:
        """Send the body parts that have arrived since the last call."""
        if self._is_done or not self._head or not self._connection.is_connected:
            return
        self._write_body()

    def pause(self) -> None:
        """Stop reading the response while the caller is slow."""
        self._connection.pause()

    def resume(self) -> None:
        """Read the response again."""
        self._connection.resume()

    def abandon(self) -> None:
        """End the attempt early and close its connection."""
        if not self._is_done:
            self._finish()
            self.pool.discard(self._connection)

    def on_backend_connected(self) -> None:
        """Send the request (called by the connection)."""
        self._send_head()

    def on_backend_drained(self) -> None:
        """Send more of the body (called by the connection)."""
        self._body.queued_bytes = 0
        if not self._is_done:
            self._write_body()

    def on_backend_head(self, head: ResponseHead) -> None:
        """Pass the head to the exchange (called by the connection)."""
        if self._is_done:
            return
        self._arm(self._policy.idle_timeout_ms)
        self._is_head_forwarded = self._owner.on_attempt_head(head)
        if not self._is_head_forwarded and not self._is_done:
            self._skip_rest(head)

    def _skip_rest(self, head: ResponseHead) -> None:
        """End the attempt; keep its connection if little is left to read."""
        if (
            head.length is None
            or head.length > SKIP_LIMIT_BYTES
            or not self._is_body_sent
        ):
            self.abandon()
            return
        self._finish()
        self._is_skipping = True
        self._timer = self._loop.after(SKIP_TIMEOUT_MS, self._discard_skipped)

    def _discard_skipped(self) -> None:
        if self._is_skipping:
            self._is_skipping = False
            self.pool.discard(self._connection)

    def on_backend_body(self, data: bytes) -> None:
        """Pass on a part of the response body (called by the connection)."""
        if not self._is_done:
            self._owner.on_attempt_body(data)

    def on_backend_complete(self) -> None:
        """End the attempt and release its connection (called by the connection)."""
        if self._is_skipping:
            self._is_skipping = False
            self._finish()
            self._loop.call_soon(self._return_connection)
        if self._is_done:
            return
        self._finish()
        # The reader detects excess bytes only after this call returns.
        self._loop.call_soon(self._return_connection)
        self._owner.on_attempt_complete()

    def on_backend_broken(self, reason: str) -> None:
        """End the attempt according to its progress (called by the connection)."""
        self._discard_skipped()
        if self._is_head_forwarded:
            self._end(BrokenResponse(reason))
        elif not self._connection.is_connected:
            self._end(NotConnected(reason))
        elif not self._connection.has_sent:
            self._end(BrokenUnsent(reason))
        else:
            self._end(BrokenSent(reason, self._connection.is_reused))

    def on_backend_invalid_response(self, text: str) -> None:
        """End the attempt after a framing error (called by the connection)."""
        self._discard_skipped()
        if self._is_head_forwarded:
            self._end(BrokenResponse(text))
        else:
            self._end(BadResponse(text))

    def _send_head(self) -> None:
        self._arm(self._policy.attempt_timeout_ms)
        self._owner.on_attempt_sending()
        parts = [self._head]
        if self._body.has_unsent and not self._is_chunked:
            parts += self._body.take_unsent()
        self._connection.write(b"".join(parts))
        self._body.queued_bytes = self._connection.unsent_bytes
        if not self._is_done:
            self._write_body()

    def _write_body(self) -> None:
        """Send as much of the body as the connection accepts."""
        body = self._body
        if self._is_body_sent:
            return
        if body.has_unsent:
            if self._connection.is_congested:
                return
            parts = body.take_unsent()
            if self._is_chunked:
                parts = [encode_chunk(part) for part in parts]
            self._arm(self._policy.attempt_timeout_ms)
            self._connection.write(b"".join(parts))
            body.queued_bytes = self._connection.unsent_bytes
            if self._is_done:
                return
        if body.is_complete:
            if self._length is not None and body.size != self._length:
                # What is sent next on the connection would become a part of this body.
                reason = f"{body.size} bytes of body, {self._length} declared"
                self._end(BrokenSent(reason, is_reused=True))
                return
            self._is_body_sent = True
            self.waits_since = self._loop.clock.now()
            if self._is_chunked:
                self._connection.write(LAST_CHUNK)
            return
        self._owner.on_attempt_writable()

    def _return_connection(self) -> None:
        if self._is_body_sent and self._connection.is_reusable:
            self._connection.detach()
            self.pool.release(self._connection)
        else:
            self.pool.discard(self._connection)

    def _arm(self, interval: Millis) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.after(interval, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._is_head_forwarded:
            self._end(BrokenResponse("idle timeout"))
        elif not self._connection.is_connected:
            self._end(NotConnected("connect timeout"))
        else:
            self._end(TimedOut(self._connection.is_reused))

    def _end(self, outcome: AttemptOutcome) -> None:
        if not self._is_done:
            self.abandon()
            self._owner.on_attempt_ended(outcome)

    def _finish(self) -> None:
        self._is_done = True
        self._body.queued_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
