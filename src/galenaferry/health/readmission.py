"""How a sick instance comes back: holds that grow, then small doses of work."""

import math
from typing import Final

from ..clock import Millis
from .messages import HealthState

FIRST_HOLD_MS: Final = 10_000.0
LONGEST_HOLD_MS: Final = 300_000.0
FORGIVEN_AFTER_MS: Final = 600_000.0
FIRST_PERMILLE: Final = 20
LARGEST_PERMILLE: Final = 500
SICK_RATE: Final = 0.1
ACCEPT_SCORE: Final = -4.6
REJECT_SCORE: Final = 3.0


class Course:
    """Course of one instance through sickness, probation and health."""

    __slots__ = ("_changed_at", "_rounds", "_score", "state")

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self._rounds = 0
        self._changed_at: Millis = 0.0
        self._score = 0.0

    @property
    def permille(self) -> int:
        """Part of full work in thousandths; it grows with good answers."""
        match self.state:
            case HealthState.HEALTHY:
                return 1000
            case HealthState.SICK:
                return 0
        progress = min(1.0, max(0.0, self._score / ACCEPT_SCORE))
        steps = math.log2(LARGEST_PERMILLE / FIRST_PERMILLE)
        return int(FIRST_PERMILLE * 2.0 ** (steps * progress))

    def eject(self, now: Millis) -> None:
        """Make the instance sick; soon after the last time it holds longer."""
        if now - self._changed_at > FORGIVEN_AFTER_MS:
            self._rounds = 0
        self._rounds += 1
        self._enter(HealthState.SICK, now)

    def on_tick(self, now: Millis) -> None:
        """Start probation at the end of the hold."""
        hold = min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2.0 ** (self._rounds - 1))
        if self.state is HealthState.SICK and now - self._changed_at >= hold:
            self._enter(HealthState.PROBATION, now)

    def on_outcomes(self, requests: int, bad: int, base: float, now: Millis) -> None:
        """Judge the work done in probation by a sequential ratio test."""
        if self.state is not HealthState.PROBATION:
            return
        rate = max(SICK_RATE, 3.0 * base)
        self._score += bad * math.log(rate / base)
        self._score += (requests - bad) * math.log((1.0 - rate) / (1.0 - base))
        if self._score >= REJECT_SCORE:
            self.eject(now)
        elif self._score <= ACCEPT_SCORE:
            self._enter(HealthState.HEALTHY, now)

    def adopt(self, state: HealthState, now: Millis) -> None:
        """Take over the state that another home has decided."""
        if state is HealthState.SICK and self.state is HealthState.HEALTHY:
            self.eject(now)

    def _enter(self, state: HealthState, now: Millis) -> None:
        self.state = state
        self._changed_at = now
        self._score = 0.0
