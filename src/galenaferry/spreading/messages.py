"""Messages that carry the entries and pages of a log."""

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class LogName(IntEnum):
    """The logs that are spread."""

    CONFIGURATION = 0
    VM_LIST = 1


class ApplyResult(Enum):
    """What became of an entry offered to a log."""

    APPLIED = "adopted"
    DUPLICATE = "known"
    GAP = "gap"
    FORK = "fork"


class Push(NamedTuple):
    """Encoded entries in the order of their versions."""

    log: LogName
    entries: tuple[str, ...]


class Pull(NamedTuple):
    """Request for the entries after the version ``after``."""

    log: LogName
    after: int


class PagePull(NamedTuple):
    """Request for the rows from ``start`` on of the state at ``version``."""

    log: LogName
    version: int
    start: int


class Page(NamedTuple):
    """Encoded rows from ``start`` on of the state at ``version``.

    ``total`` is the number of all rows of that state.
    """

    log: LogName
    version: int
    digest: str
    start: int
    total: int
    rows: tuple[str, ...]


GossipMessage = Push | Pull | PagePull | Page


class ReplicatedLog(Protocol):
    """An ordered log with a state; its version only ever grows."""

    @property
    def version(self) -> int:
        """The version of the newest entry."""

    @property
    def digest(self) -> str:
        """Digest of the newest version, empty where the log has none."""

    def apply_encoded(self, entry: str) -> ApplyResult:
        """Apply an entry that follows the newest one.

        Raises
        ------
        ValueError
            When the text is no entry.
        """

    def encoded_after(self, version: int, limit: int) -> list[str] | None:
        """Return entries after ``version``; None where history is too short."""

    def row_count(self) -> int:
        """Return the number of rows of the present state."""

    def rows_from(self, start: int, limit: int) -> list[str]:
        """Return encoded rows of the present state in a fixed order."""

    def load_rows(self, version: int, digest: str, rows: list[str]) -> bool:
        """Replace the state by a newer one; False for an older one."""
