"""How a sick instance comes back: holds that grow, then small doses of work."""

import math
from typing import Final

from ..clock import Millis
from .messages import HealthState

BASE_EJECTION_MS: Final = 10_000.0
MAX_EJECTION_MS: Final = 300_000.0
EJECTION_COUNT_RESET_MS: Final = 600_000.0
INITIAL_PERMILLE: Final = 20
MAX_PERMILLE: Final = 500
MIN_SICK_RATE: Final = 0.1
ACCEPT_LOG_RATIO: Final = -4.6
REJECT_LOG_RATIO: Final = 3.0


class HealthStateMachine:
    """Course of one instance through sickness, probation and health."""

    __slots__ = ("_changed_at", "_ejection_count", "_log_ratio", "state")

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self._ejection_count = 0
        self._changed_at: Millis = 0.0
        self._log_ratio = 0.0

    @property
    def permille(self) -> int:
        """Part of full work in thousandths; it grows with good answers."""
        match self.state:
            case HealthState.HEALTHY:
                return 1000
            case HealthState.SICK:
                return 0
        progress = min(1.0, max(0.0, self._log_ratio / ACCEPT_LOG_RATIO))
        steps = math.log2(MAX_PERMILLE / INITIAL_PERMILLE)
        return int(INITIAL_PERMILLE * 2.0 ** (steps * progress))

    def eject(self, now: Millis) -> None:
        """Make the instance sick; soon after the last time it holds longer."""
        if now - self._changed_at > EJECTION_COUNT_RESET_MS:
            self._ejection_count = 0
        self._ejection_count += 1
        self._enter(HealthState.SICK, now)

    def on_tick(self, now: Millis) -> None:
        """Start probation at the end of the hold."""
        ejection_time = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0 ** (self._ejection_count - 1)
        )
        if self.state is HealthState.SICK and now - self._changed_at >= ejection_time:
            self._enter(HealthState.PROBATION, now)

    def on_outcomes(
        self, requests: int, failures: int, baseline: float, now: Millis
    ) -> None:
        """Judge the work done in probation by a sequential ratio test."""
        if self.state is not HealthState.PROBATION:
            return
        sick_rate = max(MIN_SICK_RATE, 3.0 * baseline)
        self._log_ratio += failures * math.log(sick_rate / baseline)
        self._log_ratio += (requests - failures) * math.log(
            (1.0 - sick_rate) / (1.0 - baseline)
        )
        if self._log_ratio >= REJECT_LOG_RATIO:
            self.eject(now)
        elif self._log_ratio <= ACCEPT_LOG_RATIO:
            self._enter(HealthState.HEALTHY, now)

    def adopt(self, state: HealthState, now: Millis) -> None:
        """Take over the state that another home has decided."""
        if state is HealthState.SICK and self.state is HealthState.HEALTHY:
            self.eject(now)

    def _enter(self, state: HealthState, now: Millis) -> None:
        self.state = state
        self._changed_at = now
        self._log_ratio = 0.0
