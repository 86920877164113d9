"""One caller connection, whose pipelined requests are answered in order."""

import socket
from collections.abc import Callable
from typing import Final

from ..callers.decisions import Pressure
from ..framing.heads import CONTINUE
from ..framing.limits import LimitRequests, limit_callers
from ..framing.messages import FramingError, Header, RequestHead, ResponseHead
from ..framing.requests import RequestReader
from ..network.stream import Stream
from ..relay.origin import ReadOrigin, read_caller
from .caller_state import CallerState
from .context import RequestContext
from .exchange import Exchange
from .framed_answer import FramedAnswer
from .lingering import DISCARDED_BYTES, Lingering
from .messages import MALFORMED_HEAD
from .pipeline import QueuedRequest, head_memory

UNSENT_UNDER_PRESSURE_BYTES: Final = 16_384
"""Unread part of an answer above which the rest is not read while memory is short."""
RELIEF_REASON: Final = "this VM holds too much for its callers"
REPLACED_REASON: Final = "another caller needs the connection"


class CallerConnection(CallerState):
    """Caller connection that answers its requests one after another.

    Parameters
    ----------
    context : RequestContext
    sock : socket.socket
    on_closed : callable
        Called with this object after the connection is closed.
    read_origin : callable
        Returns where a request comes from.
    limit_requests : callable
        Returns the limits on the requests.
    """

    __slots__ = (
        "_answer",
        "_is_parsing",
        "_limit_requests",
        "_limits",
        "_on_closed",
        "_read_origin",
    )

    def __init__(
        self,
        context: RequestContext,
        sock: socket.socket,
        on_closed: Callable[["CallerConnection"], None],
        read_origin: ReadOrigin = read_caller,
        limit_requests: LimitRequests = limit_callers,
    ) -> None:
        super().__init__(context)
        self._on_closed = on_closed
        self._read_origin = read_origin
        self._is_parsing = False
        self._limit_requests = limit_requests
        self._limits = context.limits()
        self._reader = RequestReader(self, limit_requests(self._limits))
        self._stream = Stream(context.loop, sock, self, is_connecting=False)
        self._answer = FramedAnswer(context.loop, self._stream)
        self._address = self._stream.peer.rpartition(":")[0]
        self._budget.add(self)
        self._update_held()

    def refuse_late_starts(self) -> None:
        """Refuse requests that can't end before the process exits."""
        if self._exchange is not None:
            self._exchange.refuse_if_too_late()

    def cut_exchanges(self, reason: str) -> list[str]:
        """End all requests without an answer; return their ids."""
        exchanges = [] if self._exchange is None else [self._exchange]
        self._exchange = None
        while self._pipeline:
            exchanges.append(self._make_exchange(self._pipeline.pop_first()))
        for exchange in exchanges:
            exchange.cut(reason)
        return [exchange.request_id for exchange in exchanges]

    def relieve(self) -> None:
        """Free memory by one step (called by the budget).

        What was sent ahead is dropped first: it has not run and counts as not read.
        """
        exchange = self._exchange
        if exchange is not None and (self._pipeline or self._pipeline.unparsed):
            self._is_cut_short = self._is_reading_over = True
            self._is_reading_body = False
            self._pipeline.clear()
        elif exchange is not None and not self._answer.is_open:
            exchange.refuse(503, RELIEF_REASON)
        else:
            self._cut_and_close(RELIEF_REASON)
        self._update_reading()

    def make_room(self) -> bool:
        """Close the connection if it still may be (called by the budget)."""
        self.receive_pending()
        if self.idleness.is_replaceable:
            self._cut_and_close(REPLACED_REASON)
        return not self._stream.is_open

    def read_on(self) -> None:
        """Read from the caller again (called by the budget)."""
        self._schedule_turn()

    def close(self) -> None:
        """Close the connection, so that its exchanges lose their caller."""
        if self._stream.is_open:
            self._stream.close()
        self._drop_exchanges()
        self._budget.remove(self)
        self._on_closed(self)

    def on_connected(self) -> None:
        """Do nothing: accepted sockets are already connected."""

    def on_data(self, data: bytes) -> None:
        """Parse received bytes (called by the stream)."""
        self.last_progress_at = self._context.loop.clock.now()
        limits = self._context.limits()
        if limits != self._limits:
            self._limits = limits
            self._reader.replace_limits(self._limit_requests(limits))
        self._budget.record_activity(self)
        self._pipeline.unparsed += data
        self._has_started = False
        self._parse()
        self._update_reading()
        self._budget.relieve()

    def on_drained(self) -> None:
        """Resume the answer after back-pressure (called by the stream)."""
        self.last_progress_at = self._context.loop.clock.now()
        self._is_start_delayed = False
        if self._exchange is not None:
            self._exchange.on_caller_drained()
        self._go_on()

    def on_ended(self, reason: str) -> None:
        """Handle the end of the receiving direction (called by the stream).

        ``reason`` is empty if the caller shut down its sending direction in order, else
        the name of the error.
        """
        self._is_input_ended = True
        has_left = bool(reason) or self._context.settings.is_half_close_disconnect
        if has_left or self._is_reading_body or not self.has_exchange:
            self.close()

    def on_head(self, head: RequestHead) -> None:
        """Start the next request or queue it (called by the reader)."""
        if self._is_input_ended:
            return
        origin, head = self._read_origin(head, self._address)
        self._is_reading_body = True
        request = QueuedRequest(head, origin, self._context.loop.clock.now())
        # One request a turn: an answer of the VM itself ends within this call, and a
        # caller that sends many requests at once would keep the loop from others.
        if self.has_exchange or self._has_started or self._must_delay_start():
            self._pipeline.append(request)
        else:
            self._start(request)

    def on_body(self, data: bytes) -> None:
        """Pass a body part to its exchange (called by the reader)."""
        if not self._is_reading_body:
            return
        if self._pipeline:
            self._pipeline.append_body(data)
        elif self._exchange is not None:
            self._exchange.on_body(data)

    def on_complete(self) -> None:
        """Pass the end of a request to its exchange (called by the reader)."""
        was_reading_body = self._is_reading_body
        self._is_reading_body = False
        if was_reading_body and self._pipeline:
            self._pipeline.complete_last()
        elif was_reading_body and self._exchange is not None:
            self._exchange.on_body_complete()
        self._end_reading_if_stopping()

    def on_answer_flushed(self) -> None:
        """Record the time at which the last answer was flushed."""
        self._answered_at = self.last_progress_at = self._context.loop.clock.now()

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        """Send the head of the answer to the oldest request."""
        if self._exchange is None:
            return
        request = self._exchange.head
        self._buffered_bytes = 0
        self._answer.start(request, head, extra, self._is_last_answer(request))

    def send_answer_body(self, data: bytes) -> bool:
        """Send a part of the answer body; False when the caller is slow."""
        self._answer.send_body(data)
        self._update_held()
        return not (
            self._stream.is_congested
            or (
                self._budget.is_under_pressure
                and self._stream.unsent_bytes > UNSENT_UNDER_PRESSURE_BYTES
            )
        )

    def may_buffer(self, size: int) -> bool:
        """Whether ``size`` bytes of an answer are held before any is sent."""
        self._buffered_bytes = size
        self._update_held()
        return not self._budget.is_under_pressure

    def end_answer(self) -> None:
        """End the answer and start the next request."""
        self._answer.end()
        if self._exchange is None:
            return
        self._exchange = None
        self._head_bytes = self._buffered_bytes = 0
        self._is_body_paused = False
        if self._answer.is_last or self._is_cut_short:
            self._close_after_answer()
        elif self._has_requests_ahead:
            # Not within this call: many refusals in a row would exhaust the stack.
            self._schedule_turn()
        elif self._is_input_ended:
            self._close_after_answer()
        self._update_reading()

    def _go_on(self) -> None:
        """Start the next request, parse what has arrived and read on."""
        self._has_started = False
        if self._is_lingering or not self._stream.is_open:
            return
        if self._exchange is None and self._pipeline and not self._must_delay_start():
            self._start(self._pipeline.pop_first())
        self._parse()
        is_over = self._is_input_ended and not self.has_exchange
        if is_over and not self._is_lingering:
            self._close_after_answer()
        self._update_reading()

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._context.loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_turn_scheduled = False
        self._go_on()

    def _must_delay_start(self) -> bool:
        """Whether the caller must read on first; ``on_drained`` starts it then."""
        if self._stream.is_congested or (
            self._stream.has_unsent and self._budget.is_under_pressure
        ):
            self._is_start_delayed = True
        return self._is_start_delayed

    def _start(self, request: QueuedRequest) -> None:
        self._has_started = True
        exchange = self._exchange = self._make_exchange(request)
        self._head_bytes = head_memory(request.head)
        exchange.start()

    def _make_exchange(self, request: QueuedRequest) -> Exchange:
        exchange = Exchange(
            self._context, self, request.head, request.origin, request.arrived_at
        )
        if request.body:
            exchange.on_body(bytes(request.body))
        if request.is_complete:
            exchange.on_body_complete()
        return exchange

    def _parse(self) -> None:
        """Parse received bytes, but only so far ahead as their memory permits."""
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            while self._pipeline.unparsed and self._may_parse():
                self._reader.feed(self._pipeline.take_parsable(self._parse_size()))
        except FramingError as error:
            self._pipeline.unparsed = b""
            self._on_framing_error(error)
        finally:
            self._is_parsing = False
        if self._pipeline and self._exchange is None and not self._is_start_delayed:
            self._schedule_turn()

    def abort_answer(self) -> None:
        """Close before the end of the answer, so that the caller sees it truncated."""
        self.close()

    def send_continue(self) -> None:
        """Send ``100 Continue``, so that the caller sends its body."""
        self._stream.write(CONTINUE)

    def pause_body(self) -> None:
        """Stop reading the request body."""
        self._is_body_paused = True
        self._update_reading()

    def resume_body(self) -> None:
        """Read the request body again."""
        self._is_body_paused = False
        self._update_reading()

    def _end_reading_if_stopping(self) -> None:
        """In a graceful shutdown, read no further once requests were sent ahead.

        Those that were read are answered. Others are left unread, so that the caller
        can send them to another VM.
        """
        has_queued = bool(self._pipeline) and not self._is_reading_body
        if has_queued and self._context.is_stopping:
            self._is_reading_over = True

    def _update_reading(self) -> None:
        """Read from the caller, unless something forbids it."""
        self._update_held()
        if self._is_lingering:
            return
        if not self._is_reading_possible:
            self._stream.pause()
        elif self._budget.must_pause(self):
            self._stream.pause()
            if self._exchange is not None and self._exchange.is_body_held:
                # What is held of the body would keep its rest from being read.
                self._context.loop.call_soon(self._exchange.stream_body)
        else:
            self._stream.resume()

    def _update_held(self) -> None:
        self._held_bytes = self._count_held()
        self._budget.update(self, self._held_bytes)
        if self._budget.pressure is Pressure.FULL:
            self._context.loop.call_soon(self._budget.relieve)

    def _close_after_answer(self) -> None:
        """Shut down the sending direction and close when the caller does."""
        self._is_input_ended = True
        self._is_reading_body = False
        self._drop_exchanges()
        self._answered_at = self._context.loop.clock.now()
        # The rest of a refused body may follow, but nothing behind malformed bytes.
        limit = DISCARDED_BYTES if self._is_malformed else self._limits.body_bytes
        self._stream.owner = lingering = Lingering(self, self._stream, limit)
        self._stream.resume()
        if not self._stream.has_unsent:
            lingering.shutdown_write()

    def _cut_and_close(self, reason: str) -> None:
        if self._exchange is not None:
            self._exchange.cut(reason)
            self._exchange = None
        self.close()

    def _drop_exchanges(self) -> None:
        """End the request in progress; the others count as not read."""
        exchange, self._exchange = self._exchange, None
        self._pipeline.clear()
        if exchange is not None:
            exchange.on_caller_left()

    def _on_framing_error(self, error: FramingError) -> None:
        """Refuse a malformed or too large request, then close."""
        if self._is_lingering:
            # The last answer has been sent, so that no request can follow.
            return
        self._context.counters.framing_errors += 1
        self._is_malformed = True
        self._is_input_ended = True
        self._stream.pause()
        if self._is_reading_body and self._exchange is not None and not self._pipeline:
            self._exchange.refuse(error.status, error.text)
            return
        if self.has_exchange:
            # Earlier requests are still in progress: they are answered, then the
            # connection closes without an answer to the malformed one.
            if self._is_reading_body:
                self._pipeline.drop_last()
                self._is_reading_body = False
            return
        if self._reader.is_between_requests:
            # The request has been answered: only its wish to upgrade is refused.
            self._close_after_answer()
            return
        exchange = self._exchange = Exchange(self._context, self, MALFORMED_HEAD)
        exchange.refuse(error.status, error.text)
