"""News of a table in the platform's store."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from result import Result

from ..clock import Millis

NEVER_FAILED_MS: Final = 1e9
"""Stands for a store that has not failed a VM."""


class TableRow(NamedTuple):
    """One row; ``value`` is None where the row was removed."""

    key: str
    value: bytes | None


class TableUpdate(NamedTuple):
    """Changed rows, in order, or all rows where ``is_snapshot``.

    ``version`` is the newest version of the store at that moment.
    """

    version: int
    rows: tuple[TableRow, ...]
    is_snapshot: bool


class TableNotice(NamedTuple):
    """What a VM that reads a table for all tells the others.

    ``rows`` are those that changed after version ``after`` up to ``version``; there
    are none where they are too many, or where nothing changed. ``failed_ago`` tells
    how long ago the store last failed that VM, in milliseconds.
    """

    after: int
    version: int
    rows: tuple[TableRow, ...]
    failed_ago: Millis = NEVER_FAILED_MS


class HistoryLost(NamedTuple):
    """The store no longer knows what has changed since the asked version."""


class TableError(NamedTuple):
    """The store, or another VM, gave no usable answer."""

    text: str


TableUpdateCallback = Callable[[Result[TableUpdate | HistoryLost, TableError]], None]


class TableSource(Protocol):
    """Reads of the platform's store."""

    def read_all(self, table: str, done: TableUpdateCallback) -> None:
        """Read all rows of a table."""

    def read_changes(
        self, table: str, after: int, wait: Millis, done: TableUpdateCallback
    ) -> None:
        """Read what changes after a version, waiting for it if need be."""
