"""Messages that carry log entries and snapshot pages, and the log interface."""

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol


class LogName(IntEnum):
    """Logs that are replicated between VMs; the values go on the wire.

    A log is a sequence of changes, one for each version, and a snapshot is the state
    that they build, as rows.
    """

    CONFIGURATION = 0
    VM_LIST = 1


class ApplyResult(Enum):
    """Result of applying an entry to a log.

    ``DUPLICATE`` is an entry that is not newer than the log, ``GAP`` one whose
    predecessor is missing, and ``FORK`` one that contradicts the log's history.
    """

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    GAP = "gap"
    FORK = "fork"


class Push(NamedTuple):
    """Encoded log entries, in the order of their versions."""

    log: LogName
    entries: tuple[str, ...]


class Pull(NamedTuple):
    """Request for the log entries after version ``after``."""

    log: LogName
    after: int


class PagePull(NamedTuple):
    """Request for the snapshot rows from ``start`` on at ``version``."""

    log: LogName
    version: int
    start: int


class Page(NamedTuple):
    """Encoded rows from ``start`` on of the snapshot at ``version``.

    ``total`` is the number of rows in the whole snapshot.
    """

    log: LogName
    version: int
    digest: str
    start: int
    total: int
    rows: tuple[str, ...]


GossipMessage = Push | Pull | PagePull | Page


class ReplicatedLog(Protocol):
    """Ordered log and the state built from it; the version never decreases."""

    @property
    def version(self) -> int:
        """Version of the newest entry."""

    @property
    def digest(self) -> str:
        """Digest of the newest version, empty for a log without digests."""

    def apply_encoded(self, entry: str) -> ApplyResult:
        """Apply an encoded entry if it directly follows the newest one.

        Raises
        ------
        ValueError
            When the text is not an encoded entry.
        """

    def encoded_after(self, version: int, limit: int) -> list[str] | None:
        """Return up to ``limit`` encoded entries after ``version``.

        Returns None when the history does not reach back that far.
        """

    def row_count(self) -> int:
        """Return the number of rows in the current state."""

    def rows_from(self, start: int, limit: int) -> list[str]:
        """Return up to ``limit`` encoded rows of the current state in a fixed order."""

    def load_rows(self, version: int, digest: str, rows: list[str]) -> bool:
        """Replace the state if ``version`` is newer; return whether it was."""
