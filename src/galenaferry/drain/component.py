"""Component that performs a graceful shutdown on SIGTERM or on request."""

from collections.abc import Callable
from typing import Any, Final

from circuits import BaseComponent, handler

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from .decisions import FINISH_TIMEOUT_MS, Announce, Exit, Finish, Serve, next_step

CHECK_INTERVAL_MS: Final = 50.0
"""Interval between checks for the next step of a shutdown."""

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
    ) -> None:
        super().__init__()
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
                log.info("graceful shutdown complete", in_flight=self._in_flight())
                self.root.stop()

    def _begin_finish(self) -> None:
        if not self._is_finishing:
            self._is_finishing = True
            self._on_finish()
