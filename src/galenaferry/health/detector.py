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
SMALLEST_RATIO: Final = 2.5
LOWEST_BASELINE: Final = 0.0005
HIGHEST_BASELINE: Final = 0.3
EXTRA_TICKS_WHEN_SPARING: Final = 1
SPARING_DAYS: Final = 50.0
BURST_TICKS: Final = 3
CONTRAST: Final = 2.5
SHORT_EXCESS: Final = 3.0
NEEDED_REPORTERS: Final = 3
LARGEST_REPORTER_SHARE: Final = 0.6


class Alternative(NamedTuple):
    """A rate of positive outcomes that a sick instance may show.

    ``ticks`` is the number of ticks with a positive outcome that an alarm needs,
    and ``reserve`` is added to the limit of its sum. A low rate needs more of both,
    since bursts and bad requests beside single errors look like it.
    """

    rate: float
    ticks: int
    reserve: float = 0.0


FAILURE_ALTERNATIVES: Final = (
    Alternative(0.1, 6, 2.0),
    Alternative(0.3, 4),
    Alternative(0.9, 4),
)
SLOW_ALTERNATIVES: Final = (Alternative(0.35, 4), Alternative(0.8, 4))


class Strictness(NamedTuple):
    """What an alarm needs: a sum of ``limit``, and ticks beyond the alternative's."""

    limit: float
    extra_ticks: int


def strictness(days_between_false_alarms: float) -> Strictness:
    """Return what gives a mean time between false alarms of an instance.

    The mean number of requests between false alarms of a cumulative sum is at
    least the exponential of its limit. That holds for independent errors; the
    number of ticks guards against bursts, whose errors are not independent.
    """
    limit = math.log(days_between_false_alarms * NOMINAL_REQUESTS_PER_DAY)
    is_sparing = days_between_false_alarms >= SPARING_DAYS
    return Strictness(limit, EXTRA_TICKS_WHEN_SPARING if is_sparing else 0)


def baseline(long: Rate, short: Rate, prior: Rate) -> float:
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
    requests = long.requests + prior.requests
    mean = (long.positives + prior.positives) / requests
    mean += math.sqrt(mean / requests)
    expected = mean * short.requests
    if short.positives > expected + SHORT_EXCESS * math.sqrt(expected + 1.0):
        mean = short.positives / short.requests
    return min(max(mean, LOWEST_BASELINE), HIGHEST_BASELINE)


def stands_out(own: Rate, siblings: Rate) -> bool:
    """Whether an instance is worse than its siblings over the same window.

    A sum can pass its threshold while the whole service is getting worse and
    the baseline lags behind; then the siblings are as bad at this moment.
    """
    if not own.requests:
        return False
    expected = (siblings.positives + 0.1) / (siblings.requests + 1.0)
    return own.positives / own.requests >= CONTRAST * expected


class StreamTest:
    """Cumulative sums of one stream of one instance.

    Parameters
    ----------
    alternatives : tuple of Alternative
    """

    __slots__ = ("_alternatives", "_by_reporter", "_sums", "_ticks")

    def __init__(self, alternatives: tuple[Alternative, ...]) -> None:
        self._alternatives = alternatives
        self._sums = [0.0] * len(alternatives)
        self._ticks = [0] * len(alternatives)
        self._by_reporter: dict[str, int] = {}

    @property
    def score(self) -> float:
        """The largest sum."""
        return max(self._sums)

    def add(
        self, requests: int, positives_by_reporter: dict[str, int], base: float
    ) -> None:
        """Add the outcomes of one tick.

        Outcomes that come close together count once for what an alternative
        rate predicts of them, since errors of one moment are often related.
        """
        positives = sum(positives_by_reporter.values())
        for number, (rate, _, _) in enumerate(self._alternatives):
            if rate < base * SMALLEST_RATIO:
                self._sums[number] = 0.0
                self._ticks[number] = 0
                continue
            # A short burst fills the first ticks of a sum and ends before the
            # later ones, where more may be counted.
            reserve = 1 if self._ticks[number] >= BURST_TICKS else 0
            counted = min(positives, math.ceil(rate * requests) + reserve)
            gain = counted * math.log(rate / base)
            loss = (requests - positives) * math.log((1.0 - rate) / (1.0 - base))
            self._sums[number] = max(0.0, self._sums[number] + gain + loss)
            if self._sums[number] <= 0.0:
                self._ticks[number] = 0
            elif positives:
                self._ticks[number] += 1
        if positives:
            for reporter, count in positives_by_reporter.items():
                known = self._by_reporter.get(reporter, 0)
                self._by_reporter[reporter] = known + count
        if self.score <= 0.0:
            self.reset()

    def is_alarmed(self, needed: Strictness, reporter_count: int) -> bool:
        """Whether the evidence is enough, lasting and not of one VM alone.

        Parameters
        ----------
        needed : Strictness
        reporter_count : int
            Number of VMs that sent the instance work lately.
        """
        if not any(
            total >= needed.limit + alternative.reserve
            and ticks >= alternative.ticks + needed.extra_ticks
            for total, ticks, alternative in zip(
                self._sums, self._ticks, self._alternatives
            )
        ):
            return False
        if reporter_count < NEEDED_REPORTERS:
            return True
        counts = self._by_reporter.values()
        is_shared = max(counts) <= LARGEST_REPORTER_SHARE * sum(counts)
        return len(counts) >= NEEDED_REPORTERS and is_shared

    def reset(self) -> None:
        """Forget everything."""
        self._sums = [0.0] * len(self._alternatives)
        self._ticks = [0] * len(self._alternatives)
        self._by_reporter.clear()
