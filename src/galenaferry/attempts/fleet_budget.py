"""Retry budgets of the whole fleet, of which each VM spends its own part.

The fleet may make ``ratio`` further attempts a request and ``slack`` beyond, in
any window. The ratio is earned by a VM's own requests and the slack is divided by
the VMs, so that the sum keeps to the bound without any message between them.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock, Millis


class BudgetBounds(NamedTuple):
    """Bound on further attempts; ``window`` is in milliseconds."""

    ratio: float
    slack: float
    window: Millis


class WindowBudget:
    """Further attempts to one service from one VM within a sliding window.

    Parameters
    ----------
    bounds : BudgetBounds
    clock : Clock
    fleet_size : callable
        Gives the number of VMs that the slack is divided by.
    """

    def __init__(
        self, bounds: BudgetBounds, clock: Clock, fleet_size: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._fleet_size = fleet_size
        self._requests: deque[Millis] = deque()
        self._retries: deque[Millis] = deque()

    def record_request(self, percent: int) -> None:
        """Count one request of a caller; the ratio is that of the bounds."""
        self._requests.append(self._clock.now())

    def remaining(self) -> float:
        """Return how many further attempts are left now."""
        since = self._clock.now() - self._bounds.window
        _drop_before(self._requests, since)
        _drop_before(self._retries, since)
        earned = self._bounds.ratio * len(self._requests)
        allowed = earned + self._bounds.slack / self._fleet_size()
        return allowed - len(self._retries)

    def try_spend(self) -> bool:
        """Take the leave for one further attempt; False where there is none."""
        if self.remaining() < 1.0:
            return False
        self._retries.append(self._clock.now())
        return True


class FleetBudgets:
    """Budgets by service; a shed takes from the same one as a failure."""

    def __init__(
        self, bounds: BudgetBounds, clock: Clock, fleet_size: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._fleet_size = fleet_size
        self._by_service: dict[str, WindowBudget] = {}

    def retry(self, service: str) -> WindowBudget:
        """Return the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = WindowBudget(self._bounds, self._clock, self._fleet_size)
            self._by_service[service] = budget
        return budget

    def shed(self, service: str) -> "SharedBudget":
        """Return the same budget, which its requests have earned already."""
        return SharedBudget(self.retry(service))


class SharedBudget:
    """A budget that is spent here and earned elsewhere."""

    def __init__(self, budget: WindowBudget) -> None:
        self._budget = budget

    def record_request(self, percent: int) -> None:
        """Do nothing: the request was counted once."""

    def try_spend(self) -> bool:
        """Take the leave for one further attempt; False where there is none."""
        return self._budget.try_spend()


def _drop_before(times: deque[Millis], since: Millis) -> None:
    while times and times[0] <= since:
        times.popleft()
