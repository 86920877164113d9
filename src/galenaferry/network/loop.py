"""The loop of a process: the epoll component of circuits with direct calls.

A ready socket calls its owner without an event in between, since every event
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

Readiness = Callable[[int], None]
"""Called with the epoll flags of a ready socket."""

READABLE: Final = select.EPOLLIN
WRITABLE: Final = select.EPOLLOUT
BROKEN: Final = select.EPOLLHUP | select.EPOLLERR
POLLS_PER_TICK: Final = 32
LONGEST_WAIT_MS: Final = 200.0


class Timer:
    """A call due at ``due`` milliseconds; ``cancel`` prevents it."""

    __slots__ = ("call", "due")

    def __init__(self, due: Millis, call: Callable[[], None] | None) -> None:
        self.due = due
        self.call = call

    def cancel(self) -> None:
        """Prevent the call."""
        self.call = None


class Loop(EPoll):
    """Component that waits for sockets and timers and calls their owners."""

    channel = "loop"

    def __init__(self, clock: Clock | None = None) -> None:
        super().__init__(channel=self.channel)
        self.clock: Clock = clock or SystemClock()
        self._owner_by_fd: dict[int, Readiness] = {}
        self._timers: list[tuple[Millis, int, Timer]] = []
        self._sequence = count()
        self._soon: list[Callable[[], None]] = []

    def watch(self, sock: socket.socket, flags: int, owner: Readiness) -> None:
        """Call ``owner`` whenever ``sock`` is ready for ``flags``."""
        self._owner_by_fd[sock.fileno()] = owner
        self._poller.register(sock.fileno(), flags)

    def change(self, sock: socket.socket, flags: int) -> None:
        """Replace the flags that a watched socket waits for."""
        self._poller.modify(sock.fileno(), flags)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        if self._owner_by_fd.pop(sock.fileno(), None) is not None:
            self._poller.unregister(sock.fileno())

    def after(self, interval: Millis, call: Callable[[], None]) -> Timer:
        """Call ``call`` once after ``interval`` milliseconds."""
        timer = Timer(self.clock.now() + interval, call)
        heapq.heappush(self._timers, (timer.due, next(self._sequence), timer))
        return timer

    def soon(self, call: Callable[[], None]) -> None:
        """Call ``call`` once after the sockets that are ready now."""
        self._soon.append(call)

    def every(self, interval: Millis, call: Callable[[], None]) -> None:
        """Call ``call`` again and again, ``interval`` milliseconds apart."""

        def run() -> None:
            self.after(interval, run)
            call()

        self.after(interval, run)

    def _generate_events(self, event: Any) -> None:
        """Poll until a component has an event queued or the tick is long."""
        for _ in range(POLLS_PER_TICK):
            self.poll(event.time_left * 1000.0)
            if len(self.root) or self.root._tasks or not self.root.running:
                return

    def poll(self, longest: Millis) -> int:
        """Run due timers, wait for sockets once and return how many were ready.

        Parameters
        ----------
        longest : float
            Longest wait in milliseconds; a negative one sets no bound.
        """
        wait = self._run_timers()
        if 0 <= longest < wait:
            wait = longest
        if len(self.root) or self._soon:
            wait = 0.0
        owner_by_fd = self._owner_by_fd
        ready = self._poller.poll(wait / 1000.0)
        for fd, flags in ready:
            owner = owner_by_fd.get(fd)
            if owner is not None:
                owner(flags)
            else:
                self._process(fd, flags)
        if self._soon:
            self._run_soon()
        return len(ready)

    def _run_soon(self) -> None:
        calls, self._soon = self._soon, []
        for call in calls:
            call()

    def _run_timers(self) -> Millis:
        """Run what is due and return the wait until the next timer."""
        timers = self._timers
        now = self.clock.now()
        while timers:
            due, _, timer = timers[0]
            if timer.call is None:
                heapq.heappop(timers)
                continue
            if due > now:
                return min(due - now, LONGEST_WAIT_MS)
            heapq.heappop(timers)
            call, timer.call = timer.call, None
            call()
        return LONGEST_WAIT_MS
