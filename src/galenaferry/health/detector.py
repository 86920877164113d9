"""Sequential change detection: one instance against its siblings.

A stream consists of the requests to one instance; its positives are the failures, or
the slow responses. Each stream is tested by cumulative sums (CUSUM) [1]_ of the
log-likelihood ratio between several alternative rates of positives and the baseline
rate of the sibling instances. Lorden's bound [2]_ relates the alarm limit to the mean
number of requests between false alarms. Outcomes are added once per tick, the
evaluation interval ``component.TICK_MS``.

References
----------
.. [1] E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
.. [2] G. Lorden, "Procedures for reacting to a change in distribution", Annals
   of Mathematical Statistics 42(6), 1971.
"""

import math
from typing import Final, NamedTuple

from .window import Rate

NOMINAL_REQUESTS_PER_DAY: Final = 20 * 86_400
"""Requests to one instance per day, at 20 per second."""
MIN_RATE_RATIO: Final = 2.5
"""Alternatives below this multiple of the baseline rate are not tested."""
MIN_BASELINE_RATE: Final = 0.0005
MAX_BASELINE_RATE: Final = 0.3
"""Bounds of the baseline rate, as a share of the requests."""
STRICT_EXTRA_TICKS: Final = 1
"""Further ticks that an alarm needs if false alarms have to be rare."""
STRICT_FROM_DAYS: Final = 50.0
"""Days between false alarms from which ``STRICT_EXTRA_TICKS`` apply."""
MAX_BURST_TICKS: Final = 3
"""Ticks with positives that a short burst of failures may fill."""
MIN_SIBLING_RATIO: Final = 2.5
"""An instance is worse than its siblings from this multiple of their present rate."""
SHORT_WINDOW_SIGMAS: Final = 3.0
"""Standard deviations by which the short window has to exceed the long one."""
MIN_REPORTERS: Final = 3
"""VMs that must have seen positives, if at least as many sent requests."""
MAX_REPORTER_SHARE: Final = 0.6
"""Largest share of the positives that may come from a single VM."""


class Alternative(NamedTuple):
    """Rate of positives that a sick instance may have.

    ``min_ticks`` is the number of ticks with a positive that an alarm needs, and
    ``extra_limit`` is added to the limit of the sum. A low rate needs more of both,
    since single errors look like one together with a burst or with requests that fail
    at every instance.
    """

    rate: float
    min_ticks: int
    extra_limit: float = 0.0


FAILURE_ALTERNATIVES: Final = (
    Alternative(0.1, 6, 2.0),
    Alternative(0.3, 4),
    Alternative(0.9, 4),
)
SLOW_ALTERNATIVES: Final = (Alternative(0.35, 4), Alternative(0.8, 4))


class AlarmThreshold(NamedTuple):
    """Minimum of a sum, and of ticks beyond ``Alternative.min_ticks``, for an alarm."""

    limit: float
    extra_ticks: int


def alarm_threshold(days_between_false_alarms: float) -> AlarmThreshold:
    """Return the threshold for a mean time between false alarms of an instance.

    The mean number of requests between false alarms of a cumulative sum is at least
    the exponential of its limit. This holds for independent errors; the number of
    ticks guards against bursts, whose errors are not independent.
    """
    limit = math.log(days_between_false_alarms * NOMINAL_REQUESTS_PER_DAY)
    is_strict = days_between_false_alarms >= STRICT_FROM_DAYS
    return AlarmThreshold(limit, STRICT_EXTRA_TICKS if is_strict else 0)


def baseline_rate(long_window: Rate, short_window: Rate, prior: Rate) -> float:
    """Return the rate of positives of the siblings, with one standard error added.

    Parameters
    ----------
    long_window, short_window : Rate
        Counts of all siblings together over windows of different length. The short
        window is used instead if its positives exceed the expectation from the long
        one by more than chance explains, so that a fault of the whole service raises
        the baseline at once.
    prior : Rate
        Pseudo-counts added to the long window, for siblings with little traffic.
    """
    requests = long_window.requests + prior.requests
    mean = (long_window.positives + prior.positives) / requests
    mean += math.sqrt(mean / requests)
    expected = mean * short_window.requests
    if short_window.positives > expected + SHORT_WINDOW_SIGMAS * math.sqrt(
        expected + 1.0
    ):
        mean = short_window.positives / short_window.requests
    return min(max(mean, MIN_BASELINE_RATE), MAX_BASELINE_RATE)


def is_worse_than_siblings(own: Rate, siblings: Rate) -> bool:
    """Whether an instance has a much higher rate than its siblings at present.

    A sum can pass its limit while the whole service degrades and the baseline lags
    behind. The siblings' rate over the same short window is then as high.
    """
    if not own.requests:
        return False
    expected = (siblings.positives + 0.1) / (siblings.requests + 1.0)
    return own.positives / own.requests >= MIN_SIBLING_RATIO * expected


class CusumTest:
    """CUSUM test of one stream of one instance, with a sum for each alternative.

    Parameters
    ----------
    alternatives : tuple of Alternative
    """

    __slots__ = ("_alternatives", "_positive_ticks", "_positives_by_reporter", "_sums")

    def __init__(self, alternatives: tuple[Alternative, ...]) -> None:
        self._alternatives = alternatives
        self._sums = [0.0] * len(alternatives)
        self._positive_ticks = [0] * len(alternatives)
        self._positives_by_reporter: dict[str, int] = {}

    @property
    def score(self) -> float:
        """Largest of the cumulative sums."""
        return max(self._sums)

    def add(
        self, requests: int, positives_by_reporter: dict[str, int], baseline: float
    ) -> None:
        """Add the outcomes of one tick.

        An alternative counts no more positives of a tick than its rate predicts,
        since errors that occur close together are often correlated.

        Parameters
        ----------
        requests : int
            Number of requests to the instance, positives included.
        positives_by_reporter : dict of int by str
            Number of positives that each VM saw.
        baseline : float
            Rate of positives of the siblings.
        """
        positives = sum(positives_by_reporter.values())
        for number, (rate, _, _) in enumerate(self._alternatives):
            if rate < baseline * MIN_RATE_RATIO:
                self._sums[number] = 0.0
                self._positive_ticks[number] = 0
                continue
            # A short burst of failures is over after ``MAX_BURST_TICKS`` ticks with
            # positives. From then on one more positive per tick counts.
            allowance = 1 if self._positive_ticks[number] >= MAX_BURST_TICKS else 0
            counted = min(positives, math.ceil(rate * requests) + allowance)
            gain = counted * math.log(rate / baseline)
            loss = (requests - positives) * math.log((1.0 - rate) / (1.0 - baseline))
            self._sums[number] = max(0.0, self._sums[number] + gain + loss)
            if self._sums[number] <= 0.0:
                self._positive_ticks[number] = 0
            elif positives:
                self._positive_ticks[number] += 1
        if positives:
            for reporter, count in positives_by_reporter.items():
                previous = self._positives_by_reporter.get(reporter, 0)
                self._positives_by_reporter[reporter] = previous + count
        if self.score <= 0.0:
            self.reset()

    def is_alarmed(self, threshold: AlarmThreshold, reporter_count: int) -> bool:
        """Whether the evidence is strong, lasting and not from too few VMs.

        Parameters
        ----------
        threshold : AlarmThreshold
        reporter_count : int
            Number of VMs that recently sent requests to the instance.
        """
        if not any(
            total >= threshold.limit + alternative.extra_limit
            and positive_ticks >= alternative.min_ticks + threshold.extra_ticks
            for total, positive_ticks, alternative in zip(
                self._sums, self._positive_ticks, self._alternatives
            )
        ):
            return False
        if reporter_count < MIN_REPORTERS:
            return True
        counts = self._positives_by_reporter.values()
        is_shared = max(counts) <= MAX_REPORTER_SHARE * sum(counts)
        return len(counts) >= MIN_REPORTERS and is_shared

    def reset(self) -> None:
        """Clear the sums and counts."""
        self._sums = [0.0] * len(self._alternatives)
        self._positive_ticks = [0] * len(self._alternatives)
        self._positives_by_reporter.clear()
