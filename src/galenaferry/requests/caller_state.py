"""What a caller connection waits for and holds."""

from typing import Final

from ..callers.decisions import Holding, Idleness
from ..clock import Millis
from ..framing.messages import RequestHead
from ..framing.requests import RequestReader
from ..network.stream import Stream
from .context import RequestContext
from .exchange import Exchange
from .lingering import Lingering
from .pipeline import PARSED_AT_ONCE_BYTES, Pipeline

CONNECTION_BYTES: Final = 8_192
"""Memory of a connection: its parser, stream and other objects."""
EXCHANGE_BYTES: Final = 8_192
"""Memory of a request in progress besides its head, body and answer."""


class CallerState:
    """State of a caller connection, without the handling of its events.

    Parameters
    ----------
    context : RequestContext

    Attributes
    ----------
    last_progress_at : float
        Monotonic time in milliseconds at which bytes were last received or sent.
    """

    __slots__ = (
        "_address",
        "_answered_at",
        "_budget",
        "_buffered_bytes",
        "_context",
        "_delivered_at",
        "_delivered_bytes",
        "_exchange",
        "_has_started",
        "_head_bytes",
        "_held_bytes",
        "_is_body_paused",
        "_is_cut_short",
        "_is_input_ended",
        "_is_malformed",
        "_is_reading_body",
        "_is_reading_over",
        "_is_start_delayed",
        "_is_turn_scheduled",
        "_pipeline",
        "_reader",
        "_stream",
        "last_progress_at",
    )

    _address: str
    _reader: RequestReader
    _stream: Stream

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._budget = context.callers
        self._exchange: Exchange | None = None
        self._pipeline = Pipeline()
        self._head_bytes = 0
        self._buffered_bytes = 0
        self._held_bytes = 0
        self._is_body_paused = False
        self._is_cut_short = False
        self._is_reading_body = False
        self._is_input_ended = False
        self._is_malformed = False
        self._is_reading_over = False
        self._is_start_delayed = False
        self._is_turn_scheduled = False
        # Whether a request has started in this turn of the connection.
        self._has_started = False
        self.last_progress_at: Millis = context.loop.clock.now()
        self._answered_at: Millis = 0.0
        self._delivered_bytes = 0
        self._delivered_at: Millis = self.last_progress_at

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self.has_exchange and self._is_between_requests

    @property
    def _is_between_requests(self) -> bool:
        return self._reader.is_between_requests and not self._pipeline.unparsed

    @property
    def _is_lingering(self) -> bool:
        """Whether the last answer of the connection has ended."""
        return isinstance(self._stream.owner, Lingering)

    def is_awaiting_answer(self, since: Millis) -> bool:
        """Whether the caller has not received its whole answer yet.

        The caller confirms the last answer of a connection by closing it. That
        confirmation is awaited only for an answer that ended after ``since``, in
        monotonic milliseconds.
        """
        if self.has_exchange or self._stream.has_unsent:
            return True
        is_lingering = self._stream.is_open and self._is_lingering
        return is_lingering and self._answered_at > since

    def is_sending_request(self, since: Millis) -> bool:
        """Whether a request is on its way, or its head is not complete.

        A caller that connected after ``since``, in monotonic milliseconds, and has sent
        nothing yet is about to send its first request.
        """
        if self._is_lingering:
            return False
        is_new = not self._stream.bytes_received and self.last_progress_at > since
        return is_new or not self._is_between_requests

    def receive_pending(self) -> None:
        """Read a request that has arrived but was not read yet."""
        if not self._is_lingering:
            self._stream.receive_pending()

    def idle_time(self, now: Millis) -> Millis:
        """Return for how long nothing has been received, sent or read by the caller.

        What the caller has read counts from the call that notices it. The kernel may
        accept the next part of an answer only after megabytes were read.
        """
        if self._is_reading_on():
            self._delivered_at = self.last_progress_at = now
        return now - self.last_progress_at

    def _is_reading_on(self) -> bool:
        """Whether the caller has read anything since the previous call."""
        previous, self._delivered_bytes = (
            self._delivered_bytes,
            self._stream.delivered_bytes,
        )
        return previous != self._delivered_bytes

    @property
    def _unread_time(self) -> Millis:
        """Time for which the caller has read nothing of answers that wait for it.

        What it has read is noticed by ``idle_time``.
        """
        if not self._stream.has_unsent:
            return 0.0
        return self._context.loop.clock.now() - self._delivered_at

    @property
    def is_waiting_for_caller(self) -> bool:
        """Whether answers are unsent and no request is being served meanwhile."""
        return self._stream.has_unsent and self._exchange is None

    @property
    def has_exchange(self) -> bool:
        """Whether a request has not been answered completely."""
        return self._exchange is not None or bool(self._pipeline)

    @property
    def holding(self) -> Holding:
        """What the connection holds for its caller."""
        is_ordinary = not (self._has_requests_ahead or self._stream.has_unsent)
        return Holding(self._held_bytes, is_ordinary)

    @property
    def _has_requests_ahead(self) -> bool:
        return bool(self._pipeline or self._pipeline.unparsed)

    @property
    def idleness(self) -> Idleness:
        """What the connection waits for."""
        if self.has_exchange or self._stream.has_unsent:
            return Idleness(False, False, self._unread_time, self._has_requests_ahead)
        is_idle = self._is_between_requests
        return Idleness(is_between_requests=is_idle, is_unstarted=not is_idle)

    def _is_last_answer(self, request: RequestHead) -> bool:
        """Whether the connection closes after the answer to a request."""
        is_body_missing = (
            self._is_reading_body and not self._pipeline and request.length != 0
        )
        return (
            not request.is_persistent
            or (self._context.is_stopping and not self._has_requests_ahead)
            or self._is_input_ended
            or self._is_cut_short
            or is_body_missing
        )

    def _may_parse(self) -> bool:
        if self._is_lingering or self._is_input_ended:
            return False
        is_first = self._exchange is None or self._is_reading_body
        return (is_first and not self._pipeline) or not self._pipeline.is_full

    def _parse_size(self) -> int:
        """Return how many bytes to parse: the rest of the body, or a small part."""
        exchange = self._exchange
        if exchange is None or not self._is_reading_body or self._pipeline:
            return PARSED_AT_ONCE_BYTES
        length = exchange.head.length or 0
        return max(PARSED_AT_ONCE_BYTES, length - exchange.body.size)

    def _count_held(self) -> int:
        """Return the memory that the connection takes up."""
        pipeline, exchange = self._pipeline, self._exchange
        held = CONNECTION_BYTES + self._reader.held_bytes + self._buffered_bytes
        held += pipeline.held_bytes + len(pipeline.unparsed) + self._stream.unsent_bytes
        if exchange is not None:
            held += EXCHANGE_BYTES + self._head_bytes + exchange.body.held_bytes
        return held

    @property
    def _is_reading_possible(self) -> bool:
        """Whether more bytes of the caller could be parsed now."""
        return not (
            self._is_input_ended
            or self._is_reading_over
            or self._is_start_delayed
            or self._is_body_paused
            or self._pipeline.unparsed
            or not self._may_parse()
        )
