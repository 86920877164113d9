"""Return of ejected instances: growing ejection times, then limited traffic.

An ejected instance is SICK and gets no traffic for its ejection time, which doubles
with every ejection. Then it is on PROBATION: it gets a small, growing share of its
traffic until a sequential test accepts it as HEALTHY or ejects it again.
"""

import math
from typing import Final

from ..clock import Millis
from .messages import HealthState

BASE_EJECTION_MS: Final = 10_000.0
"""First ejection time."""
MAX_EJECTION_MS: Final = 300_000.0
"""Longest ejection time."""
EJECTION_COUNT_RESET_MS: Final = 600_000.0
"""Time without a change of state after which ejection times start anew."""
INITIAL_PERMILLE: Final = 20
"""Share of full traffic at the start of probation, in thousandths."""
MAX_PERMILLE: Final = 500
"""Largest share of full traffic on probation, in thousandths."""
MIN_SICK_RATE: Final = 0.1
"""Smallest failure rate that the test on probation assumes of a sick instance."""
ACCEPT_LOG_RATIO: Final = -4.6
"""Log-likelihood ratio at which an instance on probation becomes healthy.

About ln(0.01): a sick instance is accepted with a probability of at most 1%, if its
outcomes are independent.
"""
REJECT_LOG_RATIO: Final = 3.0
"""Log-likelihood ratio at which an instance on probation is ejected again.

About ln(20): a healthy instance is ejected with a probability of at most 5%, if its
outcomes are independent.
"""


class HealthStateMachine:
    """Health state of one instance and its transitions."""

    __slots__ = ("_changed_at", "_ejection_count", "_log_ratio", "state")

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self._ejection_count = 0
        self._changed_at: Millis = 0.0
        self._log_ratio = 0.0

    @property
    def permille(self) -> int:
        """Share of full traffic in thousandths; successes on probation increase it."""
        match self.state:
            case HealthState.HEALTHY:
                return 1000
            case HealthState.SICK:
                return 0
        progress = min(1.0, max(0.0, self._log_ratio / ACCEPT_LOG_RATIO))
        steps = math.log2(MAX_PERMILLE / INITIAL_PERMILLE)
        return int(INITIAL_PERMILLE * 2.0 ** (steps * progress))

    def eject(self, now: Millis) -> None:
        """Eject the instance, for longer if its last change of state was recent."""
        if now - self._changed_at > EJECTION_COUNT_RESET_MS:
            self._ejection_count = 0
        self._ejection_count += 1
        self._enter(HealthState.SICK, now)

    def on_tick(self, now: Millis) -> None:
        """Start probation once the ejection time has passed."""
        ejection_time = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0 ** (self._ejection_count - 1)
        )
        if self.state is HealthState.SICK and now - self._changed_at >= ejection_time:
            self._enter(HealthState.PROBATION, now)

    def on_outcomes(
        self, requests: int, failures: int, baseline: float, now: Millis
    ) -> None:
        """Apply outcomes on probation to a sequential probability ratio test."""
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
        """Eject a healthy instance that another home VM has found sick."""
        if state is HealthState.SICK and self.state is HealthState.HEALTHY:
            self.eject(now)

    def _enter(self, state: HealthState, now: Millis) -> None:
        self.state = state
        self._changed_at = now
        self._log_ratio = 0.0
