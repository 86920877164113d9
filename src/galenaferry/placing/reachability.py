"""Reach of single instances from this VM alone.

That one VM can't reach an instance says little of the instance, so this stays at
the VM (asymmetric partitions).
"""

from typing import Final

from ..clock import Millis

UNREACHABLE_AFTER_FAILURES: Final = 1
INITIAL_BACKOFF_MS: Final = 1_000.0
"""Time for which an instance is left out after it could not be reached."""
MAX_BACKOFF_MS: Final = 8_000.0


class Reachability:
    """Pauses of instances that could not be reached, by name."""

    def __init__(self) -> None:
        self._excluded_until_by_name: dict[str, Millis] = {}
        self._backoff_by_name: dict[str, Millis] = {}

    def on_failure(self, name: str, now: Millis) -> None:
        """Leave the instance out for a while, twice as long each time."""
        backoff = self._backoff_by_name.get(name, INITIAL_BACKOFF_MS)
        self._excluded_until_by_name[name] = now + backoff
        self._backoff_by_name[name] = min(MAX_BACKOFF_MS, 2.0 * backoff)

    def on_success(self, name: str) -> None:
        """Forget that an instance was out of reach."""
        self._excluded_until_by_name.pop(name, None)
        self._backoff_by_name.pop(name, None)

    def is_unreachable(self, name: str, now: Millis) -> bool:
        """Whether the instance is left out now."""
        return self._excluded_until_by_name.get(name, now) > now

    def retain_only(self, names: frozenset[str]) -> None:
        """Forget all other instances."""
        for name in self._backoff_by_name.keys() - names:
            self.on_success(name)
