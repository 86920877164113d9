"""Reach of single instances from this VM alone.

That one VM can't reach an instance says little of the instance, so this stays at
the VM (asymmetric partitions).
"""

from typing import Final

from ..clock import Millis

UNREACHABLE_AFTER: Final = 1
FIRST_PAUSE_MS: Final = 1_000.0
"""Time for which an instance is left out after it could not be reached."""
LONGEST_PAUSE_MS: Final = 8_000.0


class Reach:
    """Pauses of instances that could not be reached, by name."""

    def __init__(self) -> None:
        self._until_by_name: dict[str, Millis] = {}
        self._pause_by_name: dict[str, Millis] = {}

    def on_failure(self, name: str, now: Millis) -> None:
        """Leave the instance out for a while, twice as long each time."""
        pause = self._pause_by_name.get(name, FIRST_PAUSE_MS)
        self._until_by_name[name] = now + pause
        self._pause_by_name[name] = min(LONGEST_PAUSE_MS, 2.0 * pause)

    def on_answer(self, name: str) -> None:
        """Forget that an instance was out of reach."""
        self._until_by_name.pop(name, None)
        self._pause_by_name.pop(name, None)

    def is_lost(self, name: str, now: Millis) -> bool:
        """Whether the instance is left out now."""
        return self._until_by_name.get(name, now) > now

    def keep(self, names: frozenset[str]) -> None:
        """Forget all other instances."""
        for name in self._pause_by_name.keys() - names:
            self.on_answer(name)
