"""History of the keys that changed in a table, for other VMs that lag behind."""

from typing import Final

from .messages import NO_VERSION, StoreVersion, TableRow, TableUpdate

MAX_TRACKED_KEYS: Final = 2_000
"""Largest number of keys, removed ones included: the changes of some hours on an
ordinary day."""


class TableHistory:
    """Version of the latest known change of each key."""

    def __init__(self) -> None:
        self._version_by_key: dict[str, StoreVersion] = {}
        self._complete_since = NO_VERSION

    def record(self, update: TableUpdate, changed: list[TableRow]) -> None:
        """Record the rows that an update changed."""
        if update.version.era != self._complete_since.era:
            # Versions of an earlier era say nothing about the rows of this one.
            self._version_by_key.clear()
            self._complete_since = update.version
        elif self._complete_since == NO_VERSION:
            self._complete_since = update.version
        for row in changed:
            # Move the key to the end, so that the oldest change stays first.
            self._version_by_key.pop(row.key, None)
            self._version_by_key[row.key] = update.version
        while len(self._version_by_key) > MAX_TRACKED_KEYS:
            key = next(iter(self._version_by_key))
            self._complete_since = self._version_by_key.pop(key)

    def keys_changed_after(self, version: StoreVersion) -> list[str] | None:
        """Return the keys changed after ``version``.

        Returns None when the history does not reach back that far.
        """
        if self._complete_since == NO_VERSION or version < self._complete_since:
            return None
        return [k for k, latest in self._version_by_key.items() if latest > version]
