"""Totals over the healthy instances of a service, as baseline for each of them."""

from typing import Final, NamedTuple

from .detector import baseline_rate, is_worse_than_siblings
from .window import EMPTY_TALLY, Rate, Tally

FAILURE_PRIOR: Final = Rate(50.0, 0.25)
"""Pseudo-counts for services with little traffic: half a percent of failures."""
SLOW_PRIOR: Final = Rate(50.0, 5.0)
"""Pseudo-counts for services with little traffic: one slow response in ten."""
MIN_INSTANCES_TO_TRIM: Final = 4
"""Number of healthy instances from which on the failure baseline leaves out the one
with the highest score."""


class InstanceStats(NamedTuple):
    """Outcomes of one instance over a long and a short window.

    ``score`` is that of its failure test; the instance with the highest score is left
    out of the failure baseline of the others.
    """

    key: int
    zone: str
    score: float
    long_window: Tally
    short_window: Tally


class _GroupTotals(NamedTuple):
    instance_count: int
    long_window: Tally
    short_window: Tally

    def plus_instance(self, stats: InstanceStats) -> "_GroupTotals":
        return _GroupTotals(
            self.instance_count + 1,
            self.long_window.plus(stats.long_window),
            self.short_window.plus(stats.short_window),
        )

    def minus_instance(self, stats: InstanceStats) -> "_GroupTotals":
        return _GroupTotals(
            self.instance_count - 1,
            self.long_window.minus(stats.long_window),
            self.short_window.minus(stats.short_window),
        )


NO_INSTANCES: Final = _GroupTotals(0, EMPTY_TALLY, EMPTY_TALLY)


class Siblings:
    """Totals over the healthy instances of a service and of each zone.

    Parameters
    ----------
    all_stats : list of InstanceStats
        One entry for each healthy instance.
    """

    def __init__(self, all_stats: list[InstanceStats]) -> None:
        self._stats_by_key = {stats.key: stats for stats in all_stats}
        self._service_totals = NO_INSTANCES
        self._totals_by_zone: dict[str, _GroupTotals] = {}
        for stats in all_stats:
            self._service_totals = self._service_totals.plus_instance(stats)
            zone_totals = self._totals_by_zone.get(stats.zone, NO_INSTANCES)
            self._totals_by_zone[stats.zone] = zone_totals.plus_instance(stats)
        self._worst = max(all_stats, key=lambda stats: stats.score, default=None)

    def failure_baseline(self, key: int) -> float:
        """Return the failure rate of the others, without that of the highest score."""
        others = self._others(key)
        worst = self._worst
        is_trimmed = self._service_totals.instance_count >= MIN_INSTANCES_TO_TRIM
        if worst is not None and worst.key != key and is_trimmed:
            others = others.minus_instance(worst)
        return baseline_rate(
            others.long_window.failure_rate,
            others.short_window.failure_rate,
            FAILURE_PRIOR,
        )

    def slow_baseline(self, key: int) -> float:
        """Return the rate of slow responses of the others.

        These are the others in the same zone, or all if there are none.
        """
        zone_siblings = self._zone_siblings(key)
        return baseline_rate(
            zone_siblings.long_window.slow_rate,
            zone_siblings.short_window.slow_rate,
            SLOW_PRIOR,
        )

    def is_failing_more(self, key: int) -> bool:
        """Whether an instance has a much higher failure rate than the others now."""
        own = self._stats_by_key[key].short_window.failure_rate
        return is_worse_than_siblings(own, self._others(key).short_window.failure_rate)

    def is_slower(self, key: int) -> bool:
        """Whether an instance has far more slow responses than the others now."""
        own = self._stats_by_key[key].short_window.slow_rate
        return is_worse_than_siblings(
            own, self._zone_siblings(key).short_window.slow_rate
        )

    def _others(self, key: int) -> _GroupTotals:
        stats = self._stats_by_key.get(key)
        return (
            self._service_totals
            if stats is None
            else self._service_totals.minus_instance(stats)
        )

    def _zone_siblings(self, key: int) -> _GroupTotals:
        """Return the totals of the others in the zone, of all others if none."""
        stats = self._stats_by_key.get(key)
        if stats is None:
            return self._service_totals
        zone_totals = self._totals_by_zone[stats.zone].minus_instance(stats)
        return zone_totals if zone_totals.instance_count else self._others(key)
