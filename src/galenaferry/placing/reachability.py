"""Instances that this VM can't reach.

A VM may fail to reach an instance that other VMs reach (asymmetric partition), so that
the exclusion of an unreachable instance is not shared with them. The failed attempts
are, as ``Outcome.UNREACHABLE``.
"""

from typing import Final

from ..clock import Millis

UNREACHABLE_AFTER_FAILURES: Final = 1
INITIAL_BACKOFF_MS: Final = 1_000.0
"""Time for which an instance is excluded after the first failure to reach it."""
MAX_BACKOFF_MS: Final = 8_000.0
"""Longest time for which an instance is excluded."""


class Reachability:
    """Exponential backoff for instances that could not be reached, by name."""

    def __init__(self) -> None:
        self._excluded_until_by_name: dict[str, Millis] = {}
        self._backoff_by_name: dict[str, Millis] = {}

    def on_failure(self, name: str, now: Millis) -> None:
        """Exclude the instance, for twice as long each time."""
        backoff = self._backoff_by_name.get(name, INITIAL_BACKOFF_MS)
        self._excluded_until_by_name[name] = now + backoff
        self._backoff_by_name[name] = min(MAX_BACKOFF_MS, 2.0 * backoff)

    def on_success(self, name: str) -> None:
        """End the exclusion of the instance and reset its backoff."""
        self._excluded_until_by_name.pop(name, None)
        self._backoff_by_name.pop(name, None)

    def is_unreachable(self, name: str, now: Millis) -> bool:
        """Whether the instance is excluded now."""
        return self._excluded_until_by_name.get(name, now) > now

    def retain_only(self, names: frozenset[str]) -> None:
        """Drop the data of all other instances."""
        for name in self._backoff_by_name.keys() - names:
            self.on_success(name)
