"""Event loop of a process: the epoll poller of circuits with direct callbacks.

The callback of a ready socket is called directly and not through a circuits event,
because every event fired while a request is handled costs CPU time.
"""

import heapq
import select
import socket
import traceback
from collections.abc import Callable
from itertools import count
from typing import Any, Final

from circuits.core.pollers import EPoll

from ..clock import Clock, Millis, SystemClock
from ..logs import logger

ReadinessCallback = Callable[[int], None]
"""Called with the epoll flags of a ready socket."""

READABLE: Final = select.EPOLLIN
WRITABLE: Final = select.EPOLLOUT
HANGUP_OR_ERROR: Final = select.EPOLLHUP | select.EPOLLERR
MAX_POLLS_PER_TICK: Final = 32
"""Polls in a row before control returns to the event dispatch of circuits."""
SOON_MS: Final[Millis] = 10.0
"""Time for which callbacks of ``call_soon`` run before sockets get their turn."""
TRACE_FRAMES: Final = 4
"""Innermost frames of a failed callback that are logged."""
MAX_POLL_WAIT_MS: Final = 200.0
"""Maximum wait of one poll if no timer is due earlier."""
PAUSE_THRESHOLD_MS: Final = 1_000.0
"""Time between two polls above which the process was paused. One wait and the
callbacks of one poll take much less, also on a slow VM."""

log = logger("loop")


class Timer:
    """Scheduled call of ``callback`` at ``due``, in monotonic milliseconds.

    ``callback`` is None once the timer has run or is cancelled.
    """

    __slots__ = ("callback", "due")

    def __init__(self, due: Millis, callback: Callable[[], None] | None) -> None:
        self.due = due
        self.callback = callback

    def cancel(self) -> None:
        """Cancel the call; no effect once it has run."""
        self.callback = None


class Loop(EPoll):
    """Component that waits for sockets and timers and calls their callbacks.

    Parameters
    ----------
    clock : Clock, optional
        Clock of the timers; the system clock by default.
    is_fault_tolerant : bool
        Whether the loop logs the exception of a callback and goes on with the others,
        as a serving process must, instead of raising it.

    Attributes
    ----------
    failed_callback_count : int
        Number of callbacks that raised an exception.
    on_paused : callable or None
        Called with the duration in milliseconds when the process was paused between
        two polls, before any other callback.
    """

    channel = "loop"

    def __init__(
        self, clock: Clock | None = None, is_fault_tolerant: bool = False
    ) -> None:
        super().__init__(channel=self.channel)
        self._is_fault_tolerant = is_fault_tolerant
        self.failed_callback_count = 0
        self.on_paused: Callable[[Millis], None] | None = None
        self._polled_at: Millis | None = None
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
        """Replace the epoll flags of a watched socket."""
        self._poller.modify(sock.fileno(), flags)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        if self._callback_by_fd.pop(sock.fileno(), None) is not None:
            self._poller.unregister(sock.fileno())

    def after(self, interval: Millis, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``interval`` milliseconds."""
        timer = Timer(self.clock.now() + interval, callback)
        heapq.heappush(self._timers, (timer.due, next(self._sequence), timer))
        return timer

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, after the callbacks of the sockets now ready."""
        self._soon_callbacks.append(callback)

    def every(self, interval: Millis, callback: Callable[[], None]) -> None:
        """Call ``callback`` every ``interval`` milliseconds.

        The first call is after one interval.
        """

        def run() -> None:
            self.after(interval, run)
            callback()

        self.after(interval, run)

    def _generate_events(self, event: Any) -> None:
        """Poll until circuits has an event or task to run.

        The number of polls is limited to ``MAX_POLLS_PER_TICK``.
        """
        for _ in range(MAX_POLLS_PER_TICK):
            self.poll(event.time_left * 1000.0)
            if len(self.root) or self.root._tasks or not self.root.running:
                return

    def poll(self, max_wait: Millis) -> int:
        """Run due timers, wait for sockets once and call their callbacks.

        Parameters
        ----------
        max_wait : float
            Maximum wait in milliseconds; if negative, only the next timer and
            ``MAX_POLL_WAIT_MS`` limit it.

        Returns
        -------
        int
            Number of sockets that were ready.
        """
        self._check_pause()
        wait = self._run_timers()
        if 0 <= max_wait < wait:
            wait = max_wait
        if len(self.root) or self._soon_callbacks:
            wait = 0.0
        callback_by_fd = self._callback_by_fd
        ready = self._poller.poll(wait / 1000.0)
        for fd, flags in ready:
            callback = callback_by_fd.get(fd)
            try:
                if callback is not None:
                    callback(flags)
                else:
                    # A socket of a circuits component.
                    self._process(fd, flags)
            except Exception as error:
                self._on_callback_error(error)
        if self._soon_callbacks:
            self._run_soon()
        return len(ready)

    def _check_pause(self) -> None:
        now = self.clock.now()
        previous, self._polled_at = self._polled_at, now
        if self.on_paused is None or previous is None:
            return
        if now - previous > PAUSE_THRESHOLD_MS:
            self.on_paused(now - previous)

    def _run_soon(self) -> None:
        """Run the waiting callbacks, as far as time permits; the others wait on."""
        callbacks, self._soon_callbacks = self._soon_callbacks, []
        ends_at = self.clock.now() + SOON_MS
        for number, callback in enumerate(callbacks, start=1):
            try:
                callback()
            except Exception as error:
                self._on_callback_error(error)
            if self.clock.now() >= ends_at:
                self._soon_callbacks[:0] = callbacks[number:]
                return

    def _on_callback_error(self, error: Exception) -> None:
        """Log the exception that a callback raised, or raise it."""
        if not self._is_fault_tolerant:
            raise error
        self.failed_callback_count += 1
        frames = traceback.extract_tb(error.__traceback__)[-TRACE_FRAMES:]
        log.error(
            "a callback failed; the process goes on",
            error=repr(error),
            trace=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )

    def _run_timers(self) -> Millis:
        """Run due timers and return the time until the next one in milliseconds."""
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
            try:
                callback()
            except Exception as error:
                self._on_callback_error(error)
        return MAX_POLL_WAIT_MS
