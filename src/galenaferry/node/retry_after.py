"""Delay after which a refused caller may retry."""

from random import Random
from typing import Final

from ..clock import Clock, Millis
from ..placing.component import Placement

MAX_RETRY_AFTER_MS: Final = 600.0
MIN_RETRY_AFTER_MS: Final = 150.0
"""Bounds of the random part of the delay."""


class RetryAfter:
    """Delays by service, with jitter.

    Parameters
    ----------
    placement : Placement
    clock : Clock
    random : Random
    """

    def __init__(self, placement: Placement, clock: Clock, random: Random) -> None:
        self._placement = placement
        self._clock = clock
        self._random = random

    def delay(self, service: str) -> Millis:
        """Return the delay in milliseconds.

        If all instances of the service asked for a pause, it ends after the first one.
        """
        spread = (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) * self._random.random()
        next_return = self._placement.next_return(service)
        if next_return is not None:
            return next_return - self._clock.now() + spread
        return MIN_RETRY_AFTER_MS + spread
