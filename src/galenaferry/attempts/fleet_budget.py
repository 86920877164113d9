"""Fleet-wide retry budgets, divided between the VMs without coordination.

Within any window the fleet may make ``ratio`` retries per request plus ``slack``
more. Each VM applies the ratio to its own requests and takes an equal part of the
slack, so the sum stays within the limit without messages between the VMs.

Within any part of a window that ends now, a VM spends at most ``BURST`` and its slack
more than its requests of that part earn. Otherwise each VM would spend the most at the
moment at which its requests of the last window are most, and these moments differ: the
sum would exceed what the requests of the fleet in any one window earn.

A VM that starts again has forgotten what it spent. It gets its part of the slack only
after a window, so that a fleet that restarts as a whole does not spend the slack twice.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Clock, Millis

BURST: Final = 1.0
"""Retries that a VM may spend in advance of the requests that earn them."""


class BudgetBounds(NamedTuple):
    """Limit on the retries of the fleet.

    ``ratio`` is in retries per request, ``slack`` in retries per window, and
    ``window`` in milliseconds.
    """

    ratio: float
    slack: float
    window: Millis


class WindowBudget:
    """Limit on one VM's retries to one service within a sliding window.

    Parameters
    ----------
    bounds : BudgetBounds
    clock : Clock
    fleet_size : callable
        Returns the number of VMs that the slack is divided by.
    slack_from : float
        Monotonic time in milliseconds from which there is slack.
    """

    def __init__(
        self,
        bounds: BudgetBounds,
        clock: Clock,
        fleet_size: Callable[[], int],
        slack_from: Millis,
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._fleet_size = fleet_size
        self._slack_from = slack_from
        self._requests: deque[Millis] = deque()
        self._retries: deque[Millis] = deque()
        self._balance = Balance()

    def record_request(self, percent: int) -> None:
        """Count one request from a caller.

        ``percent`` is ignored: the ratio of the bounds applies.
        """
        now = self._clock.now()
        self._requests.append(now)
        self._balance.change(-self._bounds.ratio, now)

    def remaining(self) -> float:
        """Return how many retries are left now."""
        now = self._clock.now()
        since = now - self._bounds.window
        _drop_before(self._requests, since)
        _drop_before(self._retries, since)
        earned = self._bounds.ratio * len(self._requests)
        has_slack = now >= self._slack_from
        slack = self._bounds.slack / self._fleet_size() if has_slack else 0.0
        spent_in_advance = self._balance.rise(since)
        return min(
            earned + slack - len(self._retries),
            max(slack, 1.0) + BURST - spent_in_advance,
        )

    def try_spend(self) -> bool:
        """Reserve one retry; return False if none is available."""
        if self.remaining() < 1.0:
            return False
        now = self._clock.now()
        self._retries.append(now)
        self._balance.change(1.0, now)
        return True


class Balance:
    """Retries less what requests earned, and its lowest values of late."""

    def __init__(self) -> None:
        self._value = 0.0
        self._lows: deque[tuple[Millis, float]] = deque(((0.0, 0.0),))

    def change(self, amount: float, now: Millis) -> None:
        """Add an amount."""
        self._value += amount
        while self._lows and self._lows[-1][1] >= self._value:
            self._lows.pop()
        self._lows.append((now, self._value))

    def rise(self, since: Millis) -> float:
        """Return the rise of the balance from its lowest value since a time.

        ``since`` does not decrease from call to call.
        """
        while len(self._lows) > 1 and self._lows[1][0] <= since:
            self._lows.popleft()
        return self._value - self._lows[0][1]


class FleetBudgets:
    """Budgets by service.

    Retries after failures and after sheds (see ``Evidence.SHED``) share one budget.

    Parameters
    ----------
    bounds : BudgetBounds
    clock : Clock
    fleet_size : callable
        Returns the number of VMs that the slack is divided by.
    is_first_start : bool
        Whether the fleet starts for the first time, so that no VM has spent anything.
    """

    def __init__(
        self,
        bounds: BudgetBounds,
        clock: Clock,
        fleet_size: Callable[[], int],
        is_first_start: bool,
    ) -> None:
        self._slack_from = clock.now() + (0.0 if is_first_start else bounds.window)
        self._bounds = bounds
        self._clock = clock
        self._fleet_size = fleet_size
        self._by_service: dict[str, WindowBudget] = {}

    def retry(self, service: str) -> WindowBudget:
        """Return the budget for retries after a failure."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = WindowBudget(
                self._bounds, self._clock, self._fleet_size, self._slack_from
            )
            self._by_service[service] = budget
        return budget

    def shed(self, service: str) -> "SharedBudget":
        """Return the budget for retries after a shed, which is the same budget.

        Requests are not counted again through it.
        """
        return SharedBudget(self.retry(service))


class SharedBudget:
    """View of a budget whose requests are counted elsewhere."""

    def __init__(self, budget: WindowBudget) -> None:
        self._budget = budget

    def record_request(self, percent: int) -> None:
        """Do nothing, as the underlying budget has already counted the request."""

    def try_spend(self) -> bool:
        """Reserve one retry; return False if none is available."""
        return self._budget.try_spend()


def _drop_before(times: deque[Millis], since: Millis) -> None:
    while times and times[0] <= since:
        times.popleft()
