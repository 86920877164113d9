"""Rates at which the instances of one service reject requests."""

import math
from typing import Final

from ..clock import Millis

AVERAGING_MS: Final[Millis] = 500.0
"""Time constant of the averages, less than the 0.8 s in which a queue of 8 requests
before two slots drains, so that the level follows what instances do now."""
SOUND_SHARE: Final = 0.7
"""Share of the instances that is taken for sound; as many stay in use at least."""
MAX_RATIO: Final = 4.0
"""Largest rate of an instance that counts, in multiples of the mean of sound ones."""
ALLOWANCE_PER_SECOND: Final = 0.5
"""Rate of an instance that counts in any case: half of the target share of one with
two slots and 200 ms of work."""
NEGLIGIBLE_PER_SECOND: Final = 0.01


class RejectionRates:
    """Exponentially averaged rejections per second, by the name of the instance."""

    __slots__ = ("_by_name", "_cap", "_updated_at", "per_second")

    def __init__(self, now: Millis) -> None:
        self._by_name: dict[str, float] = {}
        self._cap = ALLOWANCE_PER_SECOND
        self._updated_at = now
        self.per_second = 0.0

    def add(self, name: str) -> None:
        """Count one rejection."""
        self._by_name[name] = self._by_name.get(name, 0.0) + 1_000.0 / AVERAGING_MS

    def skip(self, now: Millis) -> None:
        """Skip a time without rejections, after all of them have decayed."""
        self._updated_at = now

    def advance(self, instance_count: int, now: Millis) -> None:
        """Update the rates, and ``per_second``, the comparable rate of the service.

        The rate of an instance that rejects far more than its siblings counts only in
        part: it fails, and the service has room elsewhere.
        """
        decay = math.exp(min(0.0, self._updated_at - now) / AVERAGING_MS)
        self._updated_at = now
        self._by_name = {
            name: rate * decay
            for name, rate in self._by_name.items()
            if rate * decay > NEGLIGIBLE_PER_SECOND
        }
        rates = sorted(self._by_name.values())
        sound_count = max(1, int(SOUND_SHARE * max(instance_count, len(rates))))
        silent_count = max(0, instance_count - len(rates))
        sound_rates = rates[: max(0, sound_count - silent_count)]
        self._cap = MAX_RATIO * sum(sound_rates) / sound_count + ALLOWANCE_PER_SECOND
        self.per_second = sum(min(rate, self._cap) for rate in rates)

    def is_shared(self, name: str) -> bool:
        """Whether the siblings of an instance reject about as much as it does."""
        return self._by_name.get(name, 0.0) <= self._cap

    @property
    def is_empty(self) -> bool:
        """Whether no instance has rejected a request lately."""
        return not self._by_name
