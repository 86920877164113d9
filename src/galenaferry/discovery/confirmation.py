"""Until when a copy is known to be the newest one, and when the store was away."""

import math
from typing import Final

from ..clock import Clock, Millis
from .messages import NEVER_FAILED_MS

NEVER_CONFIRMED_MS: Final = 1e9
"""``confirmed_ago`` of a copy that the store has not confirmed yet."""


class Confirmation:
    """Times of the answers and failures of the store, as far as this VM knows.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    failed_at : float or None
        Latest failed read in an outage, by this VM or as a reader's notice says.
    last_confirmed_at : float
        Latest time at which the store is known to have had no changes that the copy
        lacks. Unlike ``confirmed_ago`` it outlasts ``forget``.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at: Millis = -math.inf
        self.failed_at: Millis | None = None
        self.last_confirmed_at: Millis = -math.inf

    @property
    def has_been_confirmed(self) -> bool:
        """Whether it is known until when the copy was the newest one."""
        return self._confirmed_at > -math.inf

    @property
    def confirmed_ago(self) -> Millis:
        """Time since the store is known to have had no changes that the copy lacks."""
        return min(NEVER_CONFIRMED_MS, self._clock.now() - self._confirmed_at)

    @property
    def failed_ago(self) -> Millis:
        """Time since the latest failed read in an outage."""
        if self.failed_at is None:
            return NEVER_FAILED_MS
        return self._clock.now() - self.failed_at

    def confirm(self, at: Millis) -> None:
        """Record that the store had no changes at a time that the copy lacks."""
        self._confirmed_at = max(self._confirmed_at, at)
        self.last_confirmed_at = max(self.last_confirmed_at, at)

    def forget(self) -> None:
        """Forget until when the copy was confirmed, such as after a pause."""
        self._confirmed_at = -math.inf

    def on_failed_ago(self, failed_ago: Millis) -> None:
        """Record a failed read of which another VM has told."""
        if failed_ago < NEVER_FAILED_MS:
            failed_at = self._clock.now() - failed_ago
            self.failed_at = max(self.failed_at or 0.0, failed_at)
