"""Instances that this VM can't reach.

A VM may fail to reach an instance that other VMs reach (asymmetric partition), so that
the exclusion of an unreachable instance is not shared with them. The failed attempts
are, as ``Outcome.UNREACHABLE``.
"""

from typing import Final

from ..clock import Millis
from ..logs import logger

UNREACHABLE_AFTER_FAILURES: Final = 1
INITIAL_BACKOFF_MS: Final = 1_000.0
"""Time for which an instance is excluded after the first failure to reach it."""
MAX_BACKOFF_MS: Final = 8_000.0
"""Longest time for which an instance is excluded."""

log = logger("placing")


class Reachability:
    """Exponential backoff for instances that could not be reached, by name."""

    def __init__(self) -> None:
        self._excluded_until_by_name: dict[str, Millis] = {}
        self._backoff_by_name: dict[str, Millis] = {}

    def on_failure(self, name: str, now: Millis) -> None:
        """Exclude the instance, for twice as long each time."""
        if name not in self._backoff_by_name:
            log.info("instance can't be reached by this VM", instance=name)
        backoff = self._backoff_by_name.get(name, INITIAL_BACKOFF_MS)
        self._excluded_until_by_name[name] = now + backoff
        self._backoff_by_name[name] = min(MAX_BACKOFF_MS, 2.0 * backoff)

    def on_success(self, name: str) -> None:
        """End the exclusion of the instance and reset its backoff."""
        self._excluded_until_by_name.pop(name, None)
        if self._backoff_by_name.pop(name, None) is not None:
            log.info("instance can be reached again", instance=name)

    @property
    def unreachable_count(self) -> int:
        """Number of instances that this VM failed to reach since its last success."""
        return len(self._backoff_by_name)

    def is_unreachable(self, name: str, now: Millis) -> bool:
        """Whether the instance is excluded now."""
        return self._excluded_until_by_name.get(name, now) > now

    def retain_only(self, names: frozenset[str]) -> None:
        """Drop the data of all other instances."""
        for name in self._backoff_by_name.keys() - names:
            del self._excluded_until_by_name[name], self._backoff_by_name[name]
