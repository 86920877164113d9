"""The loop of a process: the epoll component of circuits with direct calls.

A ready socket calls its callback without an event in between, since every event
that is fired on the way of a request costs processor time.
"""

import heapq
import select
import socket
from collections.abc import Callable
from itertools import count
from typing import Any, Final

from circuits.core.pollers import EPoll

from ..clock import Clock, Millis, SystemClock

ReadinessCallback = Callable[[int], None]
"""Called with the epoll flags of a ready socket."""

READABLE: Final = select.EPOLLIN
WRITABLE: Final = select.EPOLLOUT
HANGUP_OR_ERROR: Final = select.EPOLLHUP | select.EPOLLERR
MAX_POLLS_PER_TICK: Final = 32
MAX_POLL_WAIT_MS: Final = 200.0


class Timer:
    """A call due at ``due`` milliseconds; ``cancel`` prevents it."""

    __slots__ = ("callback", "due")

    def __init__(self, due: Millis, callback: Callable[[], None] | None) -> None:
        self.due = due
        self.callback = callback

    def cancel(self) -> None:
        """Prevent the call."""
        self.callback = None


class Loop(EPoll):
    """Component that waits for sockets and timers and calls their owners."""

    channel = "loop"

    def __init__(self, clock: Clock | None = None) -> None:
        super().__init__(channel=self.channel)
        self.clock: Clock = clock or SystemClock()
        self._callback_by_fd: dict[int, ReadinessCallback] = {}
        self._timers: list[tuple[Millis, int, Timer]] = []
        self._sequence = count()
        self._soon_callbacks: list[Callable[[], None]] = []

    def watch(
        self, sock: socket.socket, flags: int, callback: ReadinessCallback
    ) -> None:
        """Call ``callback`` whenever ``sock`` is ready for ``flags``."""
        self._callback_by_fd[sock.fileno()] = callback
        self._poller.register(sock.fileno(), flags)

    def modify(self, sock: socket.socket, flags: int) -> None:
        """Replace the flags that a watched socket waits for."""
        self._poller.modify(sock.fileno(), flags)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        if self._callback_by_fd.pop(sock.fileno(), None) is not None:
            self._poller.unregister(sock.fileno())

    def after(self, interval: Millis, callback: Callable[[], None]) -> Timer:
        """Call ``call`` once after ``interval`` milliseconds."""
        timer = Timer(self.clock.now() + interval, callback)
        heapq.heappush(self._timers, (timer.due, next(self._sequence), timer))
        return timer

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call ``call`` once after the sockets that are ready now."""
        self._soon_callbacks.append(callback)

    def every(self, interval: Millis, callback: Callable[[], None]) -> None:
        """Call ``call`` again and again, ``interval`` milliseconds apart."""

        def run() -> None:
            self.after(interval, run)
            callback()

        self.after(interval, run)

    def _generate_events(self, event: Any) -> None:
        """Poll until a component has an event queued or the tick is long."""
        for _ in range(MAX_POLLS_PER_TICK):
            self.poll(event.time_left * 1000.0)
            if len(self.root) or self.root._tasks or not self.root.running:
                return

    def poll(self, max_wait: Millis) -> int:
        """Run due timers, wait for sockets once and return how many were ready.

        Parameters
        ----------
        max_wait : float
            Longest wait in milliseconds; a negative one sets no bound.
        """
        wait = self._run_timers()
        if 0 <= max_wait < wait:
            wait = max_wait
        if len(self.root) or self._soon_callbacks:
            wait = 0.0
        callback_by_fd = self._callback_by_fd
        ready = self._poller.poll(wait / 1000.0)
        for fd, flags in ready:
            callback = callback_by_fd.get(fd)
            if callback is not None:
                callback(flags)
            else:
                self._process(fd, flags)
        if self._soon_callbacks:
            self._run_soon()
        return len(ready)

    def _run_soon(self) -> None:
        callbacks, self._soon_callbacks = self._soon_callbacks, []
        for callback in callbacks:
            callback()

    def _run_timers(self) -> Millis:
        """Run what is due and return the wait until the next timer."""
        timers = self._timers
        now = self.clock.now()
        while timers:
            due, _, timer = timers[0]
            if timer.callback is None:
                heapq.heappop(timers)
                continue
            if due > now:
                return min(due - now, MAX_POLL_WAIT_MS)
            heapq.heappop(timers)
            callback, timer.callback = timer.callback, None
            callback()
        return MAX_POLL_WAIT_MS
