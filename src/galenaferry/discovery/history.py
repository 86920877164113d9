"""Which keys of a table changed since a version."""

from typing import Final

from .messages import TableRow, TableUpdate

MAX_TRACKED_KEYS: Final = 2_000
"""Removed keys that are remembered: some hours of an ordinary day's changes."""


class TableHistory:
    """The version at which each key was last seen to change."""

    def __init__(self) -> None:
        self._version_by_key: dict[str, int] = {}
        self._complete_since = 0

    def record(self, update: TableUpdate, changed: list[TableRow]) -> None:
        """Take over what news have changed."""
        if self._complete_since == 0:
            self._complete_since = update.version
        for row in changed:
            # Moves the key to the end, so that the oldest change stays first.
            self._version_by_key.pop(row.key, None)
            self._version_by_key[row.key] = update.version
        while len(self._version_by_key) > MAX_TRACKED_KEYS:
            key = next(iter(self._version_by_key))
            self._complete_since = self._version_by_key.pop(key)

    def keys_changed_after(self, version: int) -> list[str] | None:
        """Return the keys that changed, None where that is not known so far back."""
        if self._complete_since == 0 or version < self._complete_since:
            return None
        return [k for k, changed in self._version_by_key.items() if changed > version]
