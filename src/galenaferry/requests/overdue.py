"""Detection of attempts whose response takes longer than usual."""

from collections.abc import Callable
from typing import Final, Protocol

from ..backends.messages import Instance
from ..clock import Millis
from ..network.loop import Loop, Timer
from ..routing.table import Route

RECHECK_MS: Final = 250.0
"""Interval at which an overdue attempt is checked again, since evidence about its
instance arrives as other attempts end."""


class OverduePolicy(Protocol):
    """Decisions about attempts whose response is late."""

    def overdue_after(self, route: Route) -> Millis:
        """Return the time in ms after which a response is overdue, 0 if unknown."""

    def on_overdue(self, instance: Instance) -> None:
        """Record an overdue response as evidence against the instance."""

    def is_unresponsive(self, instance: Instance, wait_ratio: float) -> bool:
        """Whether a response is no longer to be expected.

        ``wait_ratio`` is the time since the attempt started, divided by the time after
        which its response is overdue.
        """


class OverdueWatch:
    """Checks one attempt from the time its response is overdue until it ends.

    Parameters
    ----------
    loop : Loop
    policy : OverduePolicy
    instance : Instance
    is_pending : callable
        Returns whether the attempt still waits for its response.
    on_unresponsive : callable
        Called at each check that finds the instance unresponsive.
    """

    __slots__ = (
        "_instance",
        "_is_pending",
        "_is_reported",
        "_loop",
        "_on_unresponsive",
        "_overdue_after",
        "_policy",
        "_started_at",
        "_timer",
    )

    def __init__(
        self,
        loop: Loop,
        policy: OverduePolicy,
        instance: Instance,
        is_pending: Callable[[], bool],
        on_unresponsive: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._policy = policy
        self._instance = instance
        self._is_pending = is_pending
        self._on_unresponsive = on_unresponsive
        self._is_reported = False
        self._started_at = loop.clock.now()
        self._overdue_after: Millis = 0.0
        self._timer: Timer | None = None

    def start(self, route: Route) -> None:
        """Start to watch an attempt of a request on ``route``."""
        self._overdue_after = self._policy.overdue_after(route)
        if self._overdue_after > 0.0:
            self._timer = self._loop.after(self._overdue_after, self._check)

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if not self._is_pending():
            return
        if not self._is_reported:
            self._is_reported = True
            self._policy.on_overdue(self._instance)
        self._timer = self._loop.after(RECHECK_MS, self._check)
        wait_ratio = (self._loop.clock.now() - self._started_at) / self._overdue_after
        if self._policy.is_unresponsive(self._instance, wait_ratio):
            self._on_unresponsive()
