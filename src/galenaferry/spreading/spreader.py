"""Spreading of one log between VMs: decisions without sockets.

A new entry is pushed to a few random VMs, each of which pushes it on when it
hears of it for the first time. Heartbeats carry the version, by which VMs that
missed the pushes are found and mended. A VM whose version is older than the
history of others gets the whole state in pages, also while the platform is down.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import (
    Adoption,
    Log,
    LogName,
    Page,
    PagePull,
    Pull,
    Push,
    SpreadMessage,
)

FANOUT: Final = 4
ENTRIES_PER_PUSH: Final = 16
REPAIR_INTERVAL_MS: Final = 200.0
ROWS_PER_PAGE: Final = 6
PAGES_PER_PULL: Final = 16


class Send(NamedTuple):
    """A message and the address of the VM that it goes to."""

    address: str
    message: SpreadMessage


class Received(NamedTuple):
    """What came of a message: messages to send, and what has changed."""

    sends: list[Send]
    has_changed: bool = False
    is_fork: bool = False


PeersOf = Callable[[int], list[str]]


class _Download(NamedTuple):
    """A state that is being received."""

    version: int
    digest: str
    rows: list[str]


class Spreader:
    """Spreads the entries of one log.

    Parameters
    ----------
    name : LogName
    log : Log
    peers : callable
        Gives up to so many random addresses of live VMs.
    """

    def __init__(self, name: LogName, log: Log, peers: PeersOf) -> None:
        self._name = name
        self._log = log
        self._peers = peers
        self._mended_at_by_address: dict[str, Millis] = {}
        self._pulled_at: Millis = -REPAIR_INTERVAL_MS
        self._download: _Download | None = None

    def announce(self, since: int) -> list[Send]:
        """Return the pushes of the entries adopted after version ``since``."""
        entries = self._log.encoded_after(since, ENTRIES_PER_PUSH)
        if not entries:
            return []
        push = Push(self._name, tuple(entries))
        return [Send(address, push) for address in self._peers(FANOUT)]

    def on_message(self, sender: str, message: SpreadMessage, now: Millis) -> Received:
        """Handle a message of another VM."""
        match message:
            case Push():
                return self._on_push(sender, message, now)
            case Pull():
                return Received(self._on_pull(sender, message))
            case PagePull():
                return Received(self._on_page_pull(sender, message))
            case Page():
                return self._on_page(sender, message)

    def on_version(self, sender: str, version: int, now: Millis) -> list[Send]:
        """Compare the version in a heartbeat with the own one."""
        mine = self._log.version
        if version > mine:
            return self._pull(sender, now)
        if version < mine:
            return self._mend(sender, version, now)
        return []

    def _on_push(self, sender: str, push: Push, now: Millis) -> Received:
        """Adopt entries and pass on those that are news."""
        before = self._log.version
        sends: list[Send] = []
        is_fork = False
        for entry in push.entries:
            adoption = self._log.adopt_encoded(entry)
            if adoption is Adoption.FORK:
                is_fork = True
                break
            if adoption is Adoption.GAP:
                sends = self._pull(sender, now)
                break
        has_changed = self._log.version > before
        if has_changed:
            sends = self.announce(before) + sends
        return Received(sends, has_changed, is_fork)

    def _on_pull(self, sender: str, pull: Pull) -> list[Send]:
        entries = self._log.encoded_after(pull.after, ENTRIES_PER_PUSH)
        if entries is None:
            return [Send(sender, self._page(0))]
        return [Send(sender, Push(self._name, tuple(entries)))] if entries else []

    def _on_page_pull(self, sender: str, pull: PagePull) -> list[Send]:
        if pull.version != self._log.version:
            return [Send(sender, self._page(0))]
        stop = min(self._log.row_count(), pull.start + ROWS_PER_PAGE * PAGES_PER_PULL)
        starts = range(pull.start, stop, ROWS_PER_PAGE)
        return [Send(sender, self._page(start)) for start in starts]

    def _on_page(self, sender: str, page: Page) -> Received:
        """Collect pages in their order; the last one of a pull asks for more."""
        if page.version <= self._log.version:
            self._download = None
            return Received([])
        download = self._download
        is_same = download is not None and download[:2] == page[1:3]
        if download is None or not is_same:
            if page.start:
                return Received([])
            download = self._download = _Download(page.version, page.digest, [])
        if page.start != len(download.rows):
            return Received([])
        download.rows.extend(page.rows)
        if len(download.rows) >= page.total:
            return self._finish(download)
        # The answer to a pull ends at a known row; the next pull follows it.
        if len(download.rows) % (ROWS_PER_PAGE * PAGES_PER_PULL) == 0 or not page.start:
            start = len(download.rows)
            return Received([Send(sender, self._page_pull(page.version, start))])
        return Received([])

    def _finish(self, download: _Download) -> Received:
        self._download = None
        version, digest, rows = download
        return Received([], self._log.load_rows(version, digest, rows))

    def _page(self, start: int) -> Page:
        log = self._log
        rows = tuple(log.rows_from(start, ROWS_PER_PAGE))
        return Page(self._name, log.version, log.digest, start, log.row_count(), rows)

    def _page_pull(self, version: int, start: int) -> PagePull:
        return PagePull(self._name, version, start)

    def _pull(self, address: str, now: Millis) -> list[Send]:
        if now - self._pulled_at < REPAIR_INTERVAL_MS:
            return []
        self._pulled_at = now
        download = self._download
        if download is not None:
            # A page was lost: go on where the rows end.
            pull = self._page_pull(download.version, len(download.rows))
            return [Send(address, pull)]
        return [Send(address, Pull(self._name, self._log.version))]

    def _mend(self, address: str, version: int, now: Millis) -> list[Send]:
        """Push what a VM lacks, at most once in a while for each."""
        last = self._mended_at_by_address.get(address, -REPAIR_INTERVAL_MS)
        if now - last < REPAIR_INTERVAL_MS:
            return []
        self._mended_at_by_address[address] = now
        return self._on_pull(address, Pull(self._name, version))
