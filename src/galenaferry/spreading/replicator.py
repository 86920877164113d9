"""Gossip replication of one log between VMs, without any I/O.

A new entry is pushed to a few random VMs, each of which forwards it when it
receives it for the first time. Heartbeats carry the version; a VM that missed
pushes is detected by it and repaired. A VM whose version is older than the history
of the others gets a snapshot in pages, so it can start during a platform outage.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import (
    ApplyResult,
    GossipMessage,
    LogName,
    Page,
    PagePull,
    Pull,
    Push,
    ReplicatedLog,
)

PUSH_FANOUT: Final = 4
"""Random VMs to which a new entry is pushed."""
ENTRIES_PER_PUSH: Final = 16
"""Largest number of log entries in a push."""
REPAIR_INTERVAL_MS: Final = 200.0
"""Shortest time between two pulls, and between two repairs of one VM."""
ROWS_PER_PAGE: Final = 6
"""Largest number of rows in a page, which is sent as one datagram."""
PAGES_PER_PULL: Final = 16
"""Largest number of pages that are sent for one pull."""


class OutgoingMessage(NamedTuple):
    """A message and the address of the VM to send it to."""

    address: str
    message: GossipMessage


class GossipResult(NamedTuple):
    """Effect of a handled message.

    Attributes
    ----------
    outgoing : list of OutgoingMessage
        Messages to send as a result.
    has_changed : bool
        Whether the log has a newer version.
    is_fork : bool
        Whether an entry contradicted the history of this log.
    """

    outgoing: list[OutgoingMessage]
    has_changed: bool = False
    is_fork: bool = False


SelectPeers = Callable[[int], list[str]]
"""Returns up to the given number of random addresses of live VMs."""


class _SnapshotDownload(NamedTuple):
    """Snapshot that is being received; ``rows`` are those received so far."""

    version: int
    digest: str
    rows: list[str]


class GossipReplicator:
    """Replicates one log by gossip.

    Parameters
    ----------
    log_name : LogName
    log : ReplicatedLog
    select_peers : SelectPeers
    """

    def __init__(
        self, log_name: LogName, log: ReplicatedLog, select_peers: SelectPeers
    ) -> None:
        self._log_name = log_name
        self._log = log
        self._select_peers = select_peers
        self._repaired_at_by_address: dict[str, Millis] = {}
        self._pulled_at: Millis = -REPAIR_INTERVAL_MS
        self._download: _SnapshotDownload | None = None

    def pushes_since(self, since: int) -> list[OutgoingMessage]:
        """Return pushes of the entries applied after version ``since``."""
        entries = self._log.encoded_after(since, ENTRIES_PER_PUSH)
        if not entries:
            return []
        push = Push(self._log_name, tuple(entries))
        return [
            OutgoingMessage(address, push)
            for address in self._select_peers(PUSH_FANOUT)
        ]

    def on_message(
        self, sender: str, message: GossipMessage, now: Millis
    ) -> GossipResult:
        """Handle a message from another VM."""
        match message:
            case Push():
                return self._on_push(sender, message, now)
            case Pull():
                return GossipResult(self._on_pull(sender, message))
            case PagePull():
                return GossipResult(self._on_page_pull(sender, message))
            case Page():
                return self._on_page(sender, message)

    def on_version(
        self, sender: str, version: int, now: Millis
    ) -> list[OutgoingMessage]:
        """Pull from a VM with a newer version, or repair one with an older version."""
        own_version = self._log.version
        if version > own_version:
            return self._pull(sender, now)
        if version < own_version:
            return self._repair(sender, version, now)
        return []

    def _on_push(self, sender: str, push: Push, now: Millis) -> GossipResult:
        """Apply entries and forward those that are new."""
        previous_version = self._log.version
        outgoing: list[OutgoingMessage] = []
        is_fork = False
        for entry in push.entries:
            result = self._log.apply_encoded(entry)
            if result is ApplyResult.FORK:
                is_fork = True
                break
            if result is ApplyResult.GAP:
                outgoing = self._pull(sender, now)
                break
        has_changed = self._log.version > previous_version
        if has_changed:
            outgoing = self.pushes_since(previous_version) + outgoing
        return GossipResult(outgoing, has_changed, is_fork)

    def _on_pull(self, sender: str, pull: Pull) -> list[OutgoingMessage]:
        entries = self._log.encoded_after(pull.after, ENTRIES_PER_PUSH)
        if entries is None:
            return [OutgoingMessage(sender, self._page(0))]
        return (
            [OutgoingMessage(sender, Push(self._log_name, tuple(entries)))]
            if entries
            else []
        )

    def _on_page_pull(self, sender: str, pull: PagePull) -> list[OutgoingMessage]:
        if pull.version != self._log.version:
            return [OutgoingMessage(sender, self._page(0))]
        stop = min(self._log.row_count(), pull.start + ROWS_PER_PAGE * PAGES_PER_PULL)
        starts = range(pull.start, stop, ROWS_PER_PAGE)
        return [OutgoingMessage(sender, self._page(start)) for start in starts]

    def _on_page(self, sender: str, page: Page) -> GossipResult:
        """Collect pages in order; the last page of a pull requests the next ones."""
        if page.version <= self._log.version:
            self._download = None
            return GossipResult([])
        download = self._download
        # Compare version and digest.
        is_same_snapshot = download is not None and download[:2] == page[1:3]
        if download is None or not is_same_snapshot:
            if page.start:
                return GossipResult([])
            download = self._download = _SnapshotDownload(page.version, page.digest, [])
        if page.start != len(download.rows):
            return GossipResult([])
        download.rows.extend(page.rows)
        if len(download.rows) >= page.total:
            return self._finish(download)
        # A ``Pull`` is answered with the first page only. Pull pages after that one,
        # then at every multiple of the rows of one pull.
        # Only the page that ends at such a row leads to the next pull, so that one
        # pull does not cause several.
        if len(download.rows) % (ROWS_PER_PAGE * PAGES_PER_PULL) == 0 or not page.start:
            start = len(download.rows)
            return GossipResult(
                [OutgoingMessage(sender, self._page_pull(page.version, start))]
            )
        return GossipResult([])

    def _finish(self, download: _SnapshotDownload) -> GossipResult:
        self._download = None
        version, digest, rows = download
        return GossipResult([], self._log.load_rows(version, digest, rows))

    def _page(self, start: int) -> Page:
        log = self._log
        rows = tuple(log.rows_from(start, ROWS_PER_PAGE))
        return Page(
            self._log_name, log.version, log.digest, start, log.row_count(), rows
        )

    def _page_pull(self, version: int, start: int) -> PagePull:
        return PagePull(self._log_name, version, start)

    def _pull(self, address: str, now: Millis) -> list[OutgoingMessage]:
        if now - self._pulled_at < REPAIR_INTERVAL_MS:
            return []
        self._pulled_at = now
        download = self._download
        if download is not None:
            # A page was lost: resume after the last received row.
            pull = self._page_pull(download.version, len(download.rows))
            return [OutgoingMessage(address, pull)]
        return [OutgoingMessage(address, Pull(self._log_name, self._log.version))]

    def _repair(self, address: str, version: int, now: Millis) -> list[OutgoingMessage]:
        """Return what a VM at ``version`` lacks, at most once per repair interval."""
        repaired_at = self._repaired_at_by_address.get(address, -REPAIR_INTERVAL_MS)
        if now - repaired_at < REPAIR_INTERVAL_MS:
            return []
        self._repaired_at_by_address[address] = now
        return self._on_pull(address, Pull(self._log_name, version))
