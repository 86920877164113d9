"""Until when a copy is known to be the newest one."""

import math
from typing import Final

from ..clock import Clock, Millis

NEVER_CONFIRMED_MS: Final = 1e9
"""``confirmed_ago`` of a copy that the store has not confirmed yet."""


class Confirmation:
    """Times at which the store had no changes that a copy lacks.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    last_confirmed_at : float
        Latest time at which the store is known to have had no changes that the copy
        lacks. Unlike ``confirmed_ago`` it outlasts ``forget``.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at: Millis = -math.inf
        self.last_confirmed_at: Millis = -math.inf

    @property
    def has_been_confirmed(self) -> bool:
        """Whether it is known until when the copy was the newest one."""
        return self._confirmed_at > -math.inf

    @property
    def confirmed_ago(self) -> Millis:
        """Time since the store is known to have had no changes that the copy lacks."""
        return min(NEVER_CONFIRMED_MS, self._clock.now() - self._confirmed_at)

    def confirm(self, at: Millis) -> None:
        """Record that the store had no changes at a time that the copy lacks."""
        self._confirmed_at = max(self._confirmed_at, at)
        self.last_confirmed_at = max(self.last_confirmed_at, at)

    def forget(self) -> None:
        """Forget until when the copy was confirmed, such as after a pause."""
        self._confirmed_at = -math.inf
