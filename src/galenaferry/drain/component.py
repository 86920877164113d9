"""Component that performs a graceful shutdown on SIGTERM or on request."""

from collections.abc import Callable
from typing import Any, Final

from circuits import BaseComponent, handler

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from .admission import ShutdownSchedule
from .decisions import FINISH_TIMEOUT_MS, Announce, Exit, Finish, Serve, next_step

CHECK_INTERVAL_MS: Final = 50.0
"""Interval between checks for the next step of a shutdown."""
MAX_LOGGED_REQUESTS: Final = 20
"""Requests that the last line names; each of them has a line of its own as well."""

log = logger("drain")


class DrainComponent(BaseComponent):
    """Graceful shutdown of this VM.

    Parameters
    ----------
    loop : Loop
    balancer_wait : float
        Time in milliseconds that the load balancer needs to notice that this VM
        is no longer ready.
    in_flight : callable
        Returns the number of requests in progress.
    on_announce : callable
        Called once when the shutdown is requested.
    on_finish : callable
        Called once when ``balancer_wait`` is over.
    finish_timeout : float
        Time in milliseconds for requests in flight after ``balancer_wait``.
    on_check : callable
        Called at each check during the shutdown.
    cut_unanswered : callable
        Called once before the process exits; ends the requests that are still in
        progress and returns their ids.
    """

    channel = "drain"

    def __init__(
        self,
        loop: Loop,
        balancer_wait: Millis,
        in_flight: Callable[[], int],
        on_announce: Callable[[], None],
        on_finish: Callable[[], None],
        finish_timeout: Millis = FINISH_TIMEOUT_MS,
        on_check: Callable[[], None] = lambda: None,
        cut_unanswered: Callable[[], list[str]] = list,
    ) -> None:
        super().__init__()
        self._on_check = on_check
        self._cut_unanswered = cut_unanswered
        self._finish_timeout = finish_timeout
        self._loop = loop
        self._balancer_wait = balancer_wait
        self._in_flight = in_flight
        self._on_announce = on_announce
        self._on_finish = on_finish
        self._requested_at: Millis | None = None
        self._is_finishing = False

    @property
    def is_shutdown_requested(self) -> bool:
        """Whether a shutdown was requested."""
        return self._requested_at is not None

    @property
    def schedule(self) -> ShutdownSchedule:
        """Times of the shutdown, which must have been requested."""
        assert self._requested_at is not None
        closes_at = self._requested_at + self._balancer_wait
        return ShutdownSchedule(closes_at, closes_at + self._finish_timeout)

    def request_shutdown(self) -> None:
        """Start the graceful shutdown; further calls have no effect."""
        if self._requested_at is None:
            self._requested_at = self._loop.clock.now()
            log.info("graceful shutdown requested")
            self._on_announce()
            self._loop.every(CHECK_INTERVAL_MS, self._check)

    @handler("signal", channel="*", priority=100.0)
    def _on_signal(self, event: Any, signal_number: int, stack: Any) -> None:
        event.stop()
        self.request_shutdown()

    def _check(self) -> None:
        self._on_check()
        step = next_step(
            self._requested_at,
            self._balancer_wait,
            self._in_flight(),
            self._loop.clock.now(),
            self._finish_timeout,
        )
        match step:
            case Serve() | Announce():
                return
            case Finish():
                self._begin_finish()
            case Exit():
                self._begin_finish()
                in_flight, cut = self._in_flight(), self._cut_unanswered()
                log.info(
                    "graceful shutdown complete",
                    in_flight=in_flight,
                    cut=len(cut),
                    cut_requests=cut[:MAX_LOGGED_REQUESTS],
                )
                self.root.stop()

    def _begin_finish(self) -> None:
        if not self._is_finishing:
            self._is_finishing = True
            self._on_finish()
