"""What the healthy instances of a service show together at one tick."""

from typing import Final, NamedTuple

from .detector import baseline, stands_out
from .window import EMPTY, Rate, Tally

FAILURE_PRIOR: Final = Rate(50.0, 0.25)
SLOW_PRIOR: Final = Rate(50.0, 5.0)
SMALLEST_COUNT_TO_TRIM: Final = 4


class Shown(NamedTuple):
    """What one instance shows over a long and a short window.

    ``score`` is that of its failure test; the highest one is left out of the
    baseline of others.
    """

    key: int
    zone: str
    score: float
    long: Tally
    short: Tally


class _Sum(NamedTuple):
    number: int
    long: Tally
    short: Tally

    def with_one(self, shown: Shown) -> "_Sum":
        return _Sum(
            self.number + 1, self.long.plus(shown.long), self.short.plus(shown.short)
        )

    def without(self, shown: Shown) -> "_Sum":
        return _Sum(
            self.number - 1, self.long.minus(shown.long), self.short.minus(shown.short)
        )


NOTHING: Final = _Sum(0, EMPTY, EMPTY)


class Siblings:
    """Sums over the healthy instances of a service and of each zone.

    Parameters
    ----------
    all_shown : list of Shown
        One entry for each healthy instance.
    """

    def __init__(self, all_shown: list[Shown]) -> None:
        self._by_key = {shown.key: shown for shown in all_shown}
        self._all = NOTHING
        self._by_zone: dict[str, _Sum] = {}
        for shown in all_shown:
            self._all = self._all.with_one(shown)
            in_zone = self._by_zone.get(shown.zone, NOTHING)
            self._by_zone[shown.zone] = in_zone.with_one(shown)
        self._worst = max(all_shown, key=lambda shown: shown.score, default=None)

    def failure_baseline(self, key: int) -> float:
        """Return the failure rate of the others, without the worst-looking one."""
        others = self._others(key)
        worst = self._worst
        is_trimmed = self._all.number >= SMALLEST_COUNT_TO_TRIM
        if worst is not None and worst.key != key and is_trimmed:
            others = others.without(worst)
        return baseline(
            others.long.failure_rate, others.short.failure_rate, FAILURE_PRIOR
        )

    def slow_baseline(self, key: int) -> float:
        """Return the rate of slow answers of the others, of the zone if any."""
        near = self._near(key)
        return baseline(near.long.slow_rate, near.short.slow_rate, SLOW_PRIOR)

    def fails_more(self, key: int) -> bool:
        """Whether an instance fails more than the others at this moment."""
        own = self._by_key[key].short.failure_rate
        return stands_out(own, self._others(key).short.failure_rate)

    def is_slower(self, key: int) -> bool:
        """Whether an instance is slower than the others at this moment."""
        own = self._by_key[key].short.slow_rate
        return stands_out(own, self._near(key).short.slow_rate)

    def _others(self, key: int) -> _Sum:
        shown = self._by_key.get(key)
        return self._all if shown is None else self._all.without(shown)

    def _near(self, key: int) -> _Sum:
        """Return the sum over the others of the zone, or over all others."""
        shown = self._by_key.get(key)
        if shown is None:
            return self._all
        in_zone = self._by_zone[shown.zone].without(shown)
        return in_zone if in_zone.number else self._others(key)
