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

from .window import Rate

NOMINAL_REQUESTS_PER_DAY: Final = 20 * 86_400
MIN_RATE_RATIO: Final = 2.5
MIN_BASELINE_RATE: Final = 0.0005
MAX_BASELINE_RATE: Final = 0.3
STRICT_EXTRA_TICKS: Final = 1
STRICT_FROM_DAYS: Final = 50.0
MAX_BURST_TICKS: Final = 3
MIN_SIBLING_RATIO: Final = 2.5
SHORT_WINDOW_SIGMAS: Final = 3.0
MIN_REPORTERS: Final = 3
MAX_REPORTER_SHARE: Final = 0.6


class Alternative(NamedTuple):
    """A rate of positive outcomes that a sick instance may show.

    ``min_ticks`` is the number of ticks with a positive outcome that an alarm needs,
    and ``reserve`` is added to the limit of its sum. A low rate needs more of both,
    since bursts and bad requests beside single errors look like it.
    """

    rate: float
    min_ticks: int
    reserve: float = 0.0


FAILURE_ALTERNATIVES: Final = (
    Alternative(0.1, 6, 2.0),
    Alternative(0.3, 4),
    Alternative(0.9, 4),
)
SLOW_ALTERNATIVES: Final = (Alternative(0.35, 4), Alternative(0.8, 4))


class AlarmThreshold(NamedTuple):
    """What an alarm needs: a sum of ``limit``, and ticks beyond the alternative's."""

    limit: float
    extra_ticks: int


def alarm_threshold(days_between_false_alarms: float) -> AlarmThreshold:
    """Return what gives a mean time between false alarms of an instance.

    The mean number of requests between false alarms of a cumulative sum is at
    least the exponential of its limit. That holds for independent errors; the
    number of ticks guards against bursts, whose errors are not independent.
    """
    limit = math.log(days_between_false_alarms * NOMINAL_REQUESTS_PER_DAY)
    is_strict = days_between_false_alarms >= STRICT_FROM_DAYS
    return AlarmThreshold(limit, STRICT_EXTRA_TICKS if is_strict else 0)


def baseline_rate(long_window: Rate, short_window: Rate, prior: Rate) -> float:
    """Return the rate that the siblings show.

    Parameters
    ----------
    long, short : Rate
        Counts of all siblings together over windows of different length. The
        short one counts where it exceeds the long one by more than chance
        explains, so that trouble of the whole service counts at once.
    prior : Rate
        What is assumed where siblings had little work.
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
    """Whether an instance is worse than its siblings over the same window.

    A sum can pass its threshold while the whole service is getting worse and
    the baseline lags behind; then the siblings are as bad at this moment.
    """
    if not own.requests:
        return False
    expected = (siblings.positives + 0.1) / (siblings.requests + 1.0)
    return own.positives / own.requests >= MIN_SIBLING_RATIO * expected


class CusumTest:
    """Cumulative sums of one stream of one instance.

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
        """The largest sum."""
        return max(self._sums)

    def add(
        self, requests: int, positives_by_reporter: dict[str, int], baseline: float
    ) -> None:
        """Add the outcomes of one tick.

        Outcomes that come close together count once for what an alternative
        rate predicts of them, since errors of one moment are often related.
        """
        positives = sum(positives_by_reporter.values())
        for number, (rate, _, _) in enumerate(self._alternatives):
            if rate < baseline * MIN_RATE_RATIO:
                self._sums[number] = 0.0
                self._positive_ticks[number] = 0
                continue
            # A short burst fills the first ticks of a sum and ends before the
            # later ones, where more may be counted.
            reserve = 1 if self._positive_ticks[number] >= MAX_BURST_TICKS else 0
            counted = min(positives, math.ceil(rate * requests) + reserve)
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
        """Whether the evidence is enough, lasting and not of one VM alone.

        Parameters
        ----------
        threshold : AlarmThreshold
        reporter_count : int
            Number of VMs that sent the instance work lately.
        """
        if not any(
            total >= threshold.limit + alternative.reserve
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
        """Forget everything."""
        self._sums = [0.0] * len(self._alternatives)
        self._positive_ticks = [0] * len(self._alternatives)
        self._positives_by_reporter.clear()
