"""Connection pool and concurrency window of one instance."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Final

from ..clock import Millis
from ..network.loop import Loop
from .connection import BackendConnection
from .messages import CapacityShare, Instance, Load
from .window import ConcurrencyWindow

NON_IDEMPOTENT_IDLE_LIMIT_MS: Final = 1000.0
"""Default idle limit of a connection for a request that is not idempotent."""
INITIAL_WINDOW: Final = 4
"""Initial concurrency window of an instance, in requests."""


class InstancePool:
    """Connections to one instance and its load from this VM.

    Parameters
    ----------
    loop : Loop
    instance : Instance
    on_capacity : callable
        Called when a request in flight has ended, so that the instance may have room
        for a waiting one.
    non_idempotent_idle_limit : float
        Longest idle time in milliseconds of a connection that is reused for a
        request that is not idempotent.
    """

    def __init__(
        self,
        loop: Loop,
        instance: Instance,
        on_capacity: Callable[[], None],
        non_idempotent_idle_limit: Millis = NON_IDEMPOTENT_IDLE_LIMIT_MS,
    ) -> None:
        self._non_idempotent_idle_limit = non_idempotent_idle_limit
        self._loop = loop
        self._on_capacity = on_capacity
        self._idle: deque[BackendConnection] = deque()
        self._open_count = 0
        self._window = ConcurrencyWindow(INITIAL_WINDOW)
        self.instance = instance
        self.in_flight = 0
        self.first_seen: Millis = loop.clock.now()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._open_count

    @property
    def has_idle(self) -> bool:
        """Whether the pool holds an idle connection."""
        return bool(self._idle)

    @property
    def paused_until(self) -> Millis:
        """Monotonic time until which the instance gets no requests after a shed."""
        return self._window.paused_until

    def load(self, share: CapacityShare) -> Load:
        """Return the current load, with the window limited by the VM's share."""
        window = self._window.size(min(share.connections, share.slots))
        return Load(self.in_flight, window, self._window.paused_until)

    def acquire(
        self, is_idempotent: bool, share: CapacityShare, request_id: bytes = b""
    ) -> BackendConnection:
        """Return an idle connection or one that is being established.

        A request that is sent again does not get a connection of its earlier attempts,
        where a second copy of a response to them could arrive late and would have the
        id of the request.

        A request that is not idempotent gets a recently active connection or a new
        one, because the peer of a long idle connection may no longer respond. At the
        limit of open connections the longest idle one is closed before a new one is
        opened.
        """
        self.in_flight += 1
        connection = self._pop_idle(is_idempotent, request_id)
        if connection is not None:
            connection.request_id = request_id
            return connection
        if self._open_count >= share.connections and self._idle:
            self._idle.popleft().close()
        self._open_count += 1
        host, _, port = self.instance.address.rpartition(":")
        connection = BackendConnection(self._loop, (host, int(port)), self._on_closed)
        connection.request_id = request_id
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool after a complete exchange."""
        self.in_flight -= 1
        if connection.is_open:
            connection.on_idle_closed = self._remove_idle
            self._idle.append(connection)
        self._on_capacity()

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection whose exchange was abandoned."""
        self.in_flight -= 1
        connection.close()
        self._on_capacity()

    def on_success(self, share: CapacityShare) -> None:
        """Grow the window after a successful attempt."""
        self._window.on_success(share.slots)

    def on_shed(self, is_borrowed: bool, random: Random) -> None:
        """Shrink the window or pause the instance after a shed."""
        self._window.on_shed(is_borrowed, self._loop.clock.now(), random)

    def close_idle(self) -> None:
        """Close connections that exceeded their idle limit."""
        now = self._loop.clock.now()
        for connection in list(self._idle):
            if now - connection.last_activity > connection.idle_limit:
                self._idle.remove(connection)
                connection.close()

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        while self._idle:
            self._idle.popleft().close()

    def _pop_idle(
        self, is_idempotent: bool, request_id: bytes
    ) -> BackendConnection | None:
        """Return the idle connection that was released last, unless it is too old."""
        now = self._loop.clock.now()
        while self._idle:
            connection = self._idle[-1]
            limit = connection.idle_limit
            longest = (
                limit if is_idempotent else min(limit, self._non_idempotent_idle_limit)
            )
            if now - connection.last_activity > longest:
                return None
            self._idle.pop()
            if connection.has_served(request_id):
                connection.close()
            elif connection.is_open:
                return connection
        return None

    def _remove_idle(self, connection: BackendConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _on_closed(self) -> None:
        self._open_count -= 1
