"""Which keys of a table changed since a version."""

from typing import Final

from .messages import TableNews, TableRow

REMOVED_KEPT: Final = 2_000
"""Removed keys that are remembered: some hours of an ordinary day's changes."""


class TableHistory:
    """The version at which each key was last seen to change."""

    def __init__(self) -> None:
        self._version_by_key: dict[str, int] = {}
        self._known_from = 0

    def note(self, news: TableNews, changed: list[TableRow]) -> None:
        """Take over what news have changed."""
        if self._known_from == 0:
            self._known_from = news.version
        for row in changed:
            # Moves the key to the end, so that the oldest change stays first.
            self._version_by_key.pop(row.key, None)
            self._version_by_key[row.key] = news.version
        while len(self._version_by_key) > REMOVED_KEPT:
            key = next(iter(self._version_by_key))
            self._known_from = self._version_by_key.pop(key)

    def changed_after(self, version: int) -> list[str] | None:
        """Return the keys that changed, None where that is not known so far back."""
        if self._known_from == 0 or version < self._known_from:
            return None
        return [k for k, changed in self._version_by_key.items() if changed > version]
