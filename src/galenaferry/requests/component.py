"""Component that accepts caller connections."""

import socket
from typing import Final

from circuits import BaseComponent

from ..clock import Millis
from ..framing.limits import LimitRequests, limit_callers
from ..network.listener import Listener
from ..relay.origin import ReadOrigin, read_caller
from .caller import CallerConnection
from .context import RequestContext
from .refused_connection import refuse_connection

SWEEP_INTERVAL_MS: Final = 1000.0
"""Interval of the search for idle and slow connections."""
LINGER_TIMEOUT_MS: Final[Millis] = 1_000.0
"""Time allowed to a caller for closing its connection after its last answer: a few
round trips between the most distant zones and one lost packet."""

CUT_REASON: Final = "the process exited before the answer"


class RequestsComponent(BaseComponent):
    """Caller connections of this VM.

    Parameters
    ----------
    context : RequestContext
    address : tuple of str and int
        Host and port to listen on.
    read_origin : callable
        Returns where a request comes from.
    limit_requests : callable
        Returns the limits on the requests.
    """

    channel = "requests"

    def __init__(
        self,
        context: RequestContext,
        address: tuple[str, int],
        read_origin: ReadOrigin = read_caller,
        limit_requests: LimitRequests = limit_callers,
    ) -> None:
        super().__init__()
        self._read_origin = read_origin
        self._limit_requests = limit_requests
        self.context = context
        self._callers: set[CallerConnection] = set()
        self._listener = Listener(context.loop, address, self._accept)
        context.loop.every(SWEEP_INTERVAL_MS, self._sweep)
        context.directory.on_capacity = context.wake

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return self._listener.port

    @property
    def caller_count(self) -> int:
        """Number of open caller connections."""
        return len(self._callers)

    @property
    def in_flight(self) -> int:
        """Number of connections with a request in progress.

        Requests that continue after their caller left count as well.
        """
        waiting = sum(1 for caller in self._callers if caller.has_exchange)
        return waiting + len(self.context.detached)

    @property
    def unfinished_count(self) -> int:
        """Number of connections that a graceful shutdown waits for.

        Requests that continue after their caller left count as well.
        """
        since = self.context.loop.clock.now() - LINGER_TIMEOUT_MS
        unfinished = sum(
            1
            for caller in self._callers
            if caller.is_awaiting_answer(since) or caller.is_sending_request(since)
        )
        return unfinished + len(self.context.detached)

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections.

        Requests that have arrived on them are read first. A connection that was just
        accepted stays open for its first request.
        """
        self._listener.close()
        since = self.context.loop.clock.now() - LINGER_TIMEOUT_MS
        for caller in list(self._callers):
            caller.receive_pending()
            if caller.is_sending_request(since) or caller.is_awaiting_answer(since):
                continue
            caller.close()

    def refuse_late_starts(self) -> None:
        """Refuse requests that can't end before the process exits."""
        for caller in list(self._callers):
            caller.refuse_late_starts()

    def cut_unanswered(self) -> list[str]:
        """End the requests that are still in progress; return their ids."""
        cut = [caller.cut_exchanges(CUT_REASON) for caller in self._callers]
        return [request_id for ids in cut for request_id in ids]

    def _accept(self, sock: socket.socket) -> None:
        if not self.context.callers.make_room():
            refuse_connection(sock, self.context.random)
            return
        connection = CallerConnection(
            self.context,
            sock,
            self._remove_caller,
            self._read_origin,
            self._limit_requests,
        )
        self._callers.add(connection)

    def _remove_caller(self, caller: CallerConnection) -> None:
        self._callers.discard(caller)

    def _sweep(self) -> None:
        """Close connections that are idle or too slow.

        A caller is too slow if it does not send a request head, or does not read on.
        """
        now = self.context.loop.clock.now()
        limits = self.context.limits()
        for caller in list(self._callers):
            idle = caller.idle_time(now)
            if caller.is_waiting_for_caller:
                limit = limits.idle_timeout
            elif caller.has_exchange:
                continue
            else:
                limit = limits.idle_timeout if caller.is_idle else limits.head_timeout
            if idle > limit:
                caller.close()
        self.context.directory.close_idle()
        self.context.callers.review_pauses()
