"""Sequential test of one instance against its siblings.

Each stream of outcomes (failures, slow answers) is tested by cumulative sums
[1]_ of the log-likelihood ratio between several alternative rates and the rate
of the sibling instances. Lorden's bound [2]_ links the threshold to the mean
number of requests between false alarms.

References
----------
.. [1] E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
.. [2] G. Lorden, "Procedures for reacting to a change in distribution", Annals
   of Mathematical Statistics 42(6), 1971.
"""

import math
from typing import Final, NamedTuple

from ..clock import Millis

FAILURE_RATES: Final = (0.1, 0.3, 0.9)
SLOW_RATES: Final = (0.35, 0.8)
NOMINAL_REQUESTS_PER_DAY: Final = 20 * 86_400
SMALLEST_RATIO: Final = 2.5
LOWEST_BASELINE: Final = 0.0005
HIGHEST_BASELINE: Final = 0.3
NEEDED_FAILING_TICKS: Final = 4
NEEDED_REPORTERS: Final = 3
LARGEST_REPORTER_SHARE: Final = 0.6


def threshold(days_between_false_alarms: float) -> float:
    """Return the threshold for a mean time between false alarms of an instance.

    The alternatives and streams that are tested side by side each get an equal
    part of the false alarms.
    """
    requests = days_between_false_alarms * NOMINAL_REQUESTS_PER_DAY
    parallel_tests = len(FAILURE_RATES) + len(SLOW_RATES)
    return math.log(requests) + math.log(parallel_tests)


class Rate(NamedTuple):
    """Requests and positive outcomes, possibly weighted by age."""

    requests: float
    positives: float

    def plus(self, other: "Rate") -> "Rate":
        """Return the sum of two counts."""
        return Rate(self.requests + other.requests, self.positives + other.positives)

    def minus(self, other: "Rate") -> "Rate":
        """Return the difference of two counts, at least zero."""
        return Rate(
            max(0.0, self.requests - other.requests),
            max(0.0, self.positives - other.positives),
        )


class Window:
    """Count that decays exponentially with the time constant ``span``."""

    __slots__ = ("_at", "_span", "positives", "requests")

    def __init__(self, span: Millis) -> None:
        self._span = span
        self._at: Millis = 0.0
        self.requests = 0.0
        self.positives = 0.0

    def add(self, requests: int, positives: int, now: Millis) -> None:
        """Add outcomes observed at ``now``."""
        self._decay(now)
        self.requests += requests
        self.positives += positives

    def rate(self, now: Millis) -> Rate:
        """Return the decayed count."""
        self._decay(now)
        return Rate(self.requests, self.positives)

    def _decay(self, now: Millis) -> None:
        if now > self._at:
            factor = math.exp((self._at - now) / self._span)
            self.requests *= factor
            self.positives *= factor
            self._at = now


def baseline(rates: list[Rate], prior: Rate) -> float:
    """Return the rate that the siblings show, on the high side of chance.

    Parameters
    ----------
    rates : list of Rate
        Counts of all siblings together, over windows of different length; a
        short one makes trouble of the whole service count at once.
    prior : Rate
        What is assumed where siblings had little work.
    """
    highest = LOWEST_BASELINE
    for rate in rates:
        requests = rate.requests + prior.requests
        positives = rate.positives + prior.positives
        mean = positives / requests
        highest = max(highest, mean + math.sqrt(mean / requests))
    return min(highest, HIGHEST_BASELINE)


class StreamTest:
    """Cumulative sums of one stream of one instance.

    Parameters
    ----------
    alternatives : tuple of float
        Rates of positive outcomes that a sick instance may show.
    """

    __slots__ = ("_alternatives", "_by_reporter", "_failing_ticks", "_sums")

    def __init__(self, alternatives: tuple[float, ...]) -> None:
        self._alternatives = alternatives
        self._sums = [0.0] * len(alternatives)
        self._failing_ticks = 0
        self._by_reporter: dict[str, int] = {}

    @property
    def score(self) -> float:
        """The largest sum."""
        return max(self._sums)

    @property
    def is_at_rest(self) -> bool:
        """Whether nothing speaks against the instance."""
        return self._failing_ticks == 0

    def add(
        self, requests: int, positives_by_reporter: dict[str, int], base: float
    ) -> None:
        """Add the outcomes of one tick.

        Outcomes that come close together count once for what an alternative
        rate predicts of them, since errors of one moment are often related.
        """
        positives = sum(positives_by_reporter.values())
        for number, rate in enumerate(self._alternatives):
            if rate < base * SMALLEST_RATIO:
                self._sums[number] = 0.0
                continue
            counted = min(positives, math.ceil(rate * requests))
            gain = counted * math.log(rate / base)
            loss = (requests - positives) * math.log((1.0 - rate) / (1.0 - base))
            self._sums[number] = max(0.0, self._sums[number] + gain + loss)
        if positives:
            self._failing_ticks += 1
            for reporter, count in positives_by_reporter.items():
                known = self._by_reporter.get(reporter, 0)
                self._by_reporter[reporter] = known + count
        if self.score <= 0.0:
            self.reset()

    def is_alarmed(self, limit: float, reporter_count: int) -> bool:
        """Whether the evidence is enough, lasting and not of one VM alone.

        Parameters
        ----------
        limit : float
        reporter_count : int
            Number of VMs that sent the instance work lately.
        """
        if self.score < limit or self._failing_ticks < NEEDED_FAILING_TICKS:
            return False
        if reporter_count < NEEDED_REPORTERS:
            return True
        counts = self._by_reporter.values()
        is_shared = max(counts) <= LARGEST_REPORTER_SHARE * sum(counts)
        return len(counts) >= NEEDED_REPORTERS and is_shared

    def reset(self) -> None:
        """Forget everything."""
        self._sums = [0.0] * len(self._alternatives)
        self._failing_ticks = 0
        self._by_reporter.clear()
