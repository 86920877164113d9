"""Refusal level of a service, and what it means for each priority."""

from collections.abc import Sequence
from typing import Final

from ..clock import Millis

TARGET_SHARE: Final = 0.1
"""Share of the attempts that instances may reject. Some rejections are needed to know
that the slots are busy."""
MAX_REFUSED: Final = 0.65
"""Largest share of a priority that is refused, below two thirds so that a third is
admitted in small samples too."""
RISE_PER_SECOND: Final = 0.3
"""Increase of the level per second at twice the target share."""
MAX_ERROR: Final = 3.0
"""Largest deviation that counts, in multiples of the target. At 40% of all attempts
rejected, three priorities are reached within 4 s."""
FALL_PER_SECOND: Final = 1.5
"""Decrease of the level per second without rejections. With 1.0 and a target of 5%, a
simulated fleet at 1.3 times its capacity served 64% instead of 72% of the requests,
since the level fell too slowly after each rise."""


def next_level(level: float, share: float, level_count: int, elapsed: Millis) -> float:
    """Return the level after some time.

    Parameters
    ----------
    level : float
        Number of priorities that are refused to the largest extent, least urgent first.
    share : float
        Share of the attempts that instances reject.
    level_count : int
        Number of priorities.
    elapsed : float
        Time in milliseconds.
    """
    error = min(MAX_ERROR, share / TARGET_SHARE - 1.0)
    slope = error * (RISE_PER_SECOND if error > 0.0 else FALL_PER_SECOND)
    return max(0.0, min(float(level_count), level + slope * elapsed / 1_000.0))


def refused_share(level: float, priority: int, priorities: Sequence[int]) -> float:
    """Return the share of a priority's requests that is refused.

    ``priorities`` are those of the service in ascending order, the most urgent first.
    """
    return MAX_REFUSED * max(0.0, min(1.0, level - _less_urgent(priority, priorities)))


def earliest_admission(
    level: float, priority: int, priorities: Sequence[int], draw: float
) -> Millis:
    """Return the time in ms after which a request with a draw is admitted.

    It holds if the service has room from now on.
    """
    admitting_level = _less_urgent(priority, priorities) + draw / MAX_REFUSED
    return max(0.0, level - admitting_level) / FALL_PER_SECOND * 1_000.0


def _less_urgent(priority: int, priorities: Sequence[int]) -> int:
    return sum(1 for other in priorities if other > priority)
