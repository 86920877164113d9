"""Keeps a copy of one table of the platform's store.

The store answers a waiting read as soon as a row changes. Other VMs tell the version
that they have: one that is behind for longer than its own read should take asks
one of them, since its connection may be silent or the store may turn it away.
"""

import math
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from result import Err, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from .history import TableHistory
from .messages import (
    NEVER_FAILED_MS,
    HistoryLost,
    TableError,
    TableNews,
    TableNotice,
    TableRow,
    TableSource,
)
from .readers import ANNOUNCE_MS, needs_own_read

WAIT_MS: Final = 20_000.0
"""How long the store holds a read without news; under its limit of 30 s."""
FIRST_RETRY_MS: Final = 100.0
LONGEST_RETRY_MS: Final = 2_000.0
"""Refused calls count as well. Of many VMs that each ask every two seconds one
notices at once that the store is back, and its heartbeats tell the others."""
SUPERVISE_MS: Final = 250.0
ANNOUNCED_ROWS: Final = 10
"""Rows that are told at once; at some 250 bytes each they fill two packets."""
PATIENCE_MS: Final = 250.0
"""Time in which the own read should bring what another VM has already."""

AskPeer = Callable[
    [str, str, int, Callable[[Result[TableNews, TableError]], None]], None
]
"""Asks the VM at an address for what has changed in a table since a version."""

log = logger("discovery")


class FollowerSettings(NamedTuple):
    """How a table is followed; ``spacing`` in milliseconds lets news gather.

    ``is_shared`` tells that some VMs read the table for all.
    """

    table: str
    spacing: Millis
    is_shared: bool = False


class TableFollower:
    """Copy of one table, with what its owner is told of changes.

    Parameters
    ----------
    loop : Loop
    settings : FollowerSettings
    source : TableSource
    ask_peer : callable
    random : Random
    on_change : callable
        Called with the rows that changed; for removed ones the value is None.
    is_chosen : callable
        Whether this VM is one of those that read a shared table for all.
    announce : callable
        Tells the other VMs news that this one has read for them.
    """

    def __init__(
        self,
        loop: Loop,
        settings: FollowerSettings,
        source: TableSource,
        ask_peer: AskPeer,
        random: Random,
        on_change: Callable[[tuple[TableRow, ...]], None],
        is_chosen: Callable[[], bool] = lambda: True,
        announce: Callable[[TableNotice], None] = lambda notice: None,
    ) -> None:
        self._is_chosen = is_chosen
        self._announce = announce
        self._heard_at: Millis = -math.inf
        self._is_reading = False
        self._history = TableHistory()
        self._loop = loop
        self._settings = settings
        self._source = source
        self._ask_peer = ask_peer
        self._random = random
        self._on_change = on_change
        self._retry = FIRST_RETRY_MS
        self._reading = 0
        self._is_history_lost = True
        self._is_asking = False
        self._behind_since: Millis | None = None
        self._timer: Timer | None = None
        self.version = 0
        # The store's version grows with every change of any table: to the others
        # only a version that changed this table is worth asking for.
        self.news_version = 0
        self.value_by_key: dict[str, bytes] = {}
        self.failed_at: Millis | None = None
        self.is_away = False

    @property
    def is_known(self) -> bool:
        """Whether the table was read once, here or by another VM."""
        return self.version > 0

    def begin(self) -> None:
        """Start to follow the table."""
        self._read()
        if self._settings.is_shared:
            self._loop.every(SUPERVISE_MS, self._supervise)
            self._loop.every(ANNOUNCE_MS, self._announce_version)

    def on_peer_version(self, address: str, version: int) -> None:
        """Compare the version that another VM has."""
        if version <= self.version:
            self._behind_since = None
            return
        now = self._loop.clock.now()
        if self._behind_since is None:
            self._behind_since = now
            self._loop.after(PATIENCE_MS, lambda: self._catch_up(address, version))
            return
        if now - self._behind_since >= PATIENCE_MS:
            self._catch_up(address, version)

    def on_notice(self, address: str, notice: TableNotice) -> None:
        """Take over what a VM has read for all."""
        now = self._heard_at = self._loop.clock.now()
        if notice.failed_ago < NEVER_FAILED_MS:
            self.failed_at = max(self.failed_at or 0.0, now - notice.failed_ago)
        if notice.version <= self.version:
            return
        if notice.rows and notice.after <= self.version:
            self._apply(TableNews(notice.version, notice.rows, is_whole=False))
        elif not self._is_reading:
            self._catch_up(address, notice.version)

    def copy(self, after: int) -> TableNews:
        """Return what has changed since a version, or the whole table."""
        changed = self._history.changed_after(after)
        if changed is None:
            rows = tuple(TableRow(k, v) for k, v in self.value_by_key.items())
            return TableNews(self.version, rows, is_whole=True)
        rows = tuple(TableRow(key, self.value_by_key.get(key)) for key in changed)
        return TableNews(self.version, rows, is_whole=False)

    def _supervise(self) -> None:
        """Begin to read, or leave it to the VMs that read for all."""
        now = self._loop.clock.now()
        needs_read = needs_own_read(self._is_chosen(), self._heard_at, now)
        if needs_read and not self._is_reading:
            self._read()
        elif self._is_reading and not needs_read and self.is_known:
            self._is_reading = False
            self.is_away = False
            self._reading += 1
            if self._timer is not None:
                self._timer.cancel()

    def _announce_version(self) -> None:
        if self._is_reading and self._is_chosen() and not self.is_away:
            self._announce(self._notice(self.news_version, ()))

    def _notice(self, version: int, rows: tuple[TableRow, ...]) -> TableNotice:
        now = self._loop.clock.now()
        failed_at = self.failed_at
        failed_ago = NEVER_FAILED_MS if failed_at is None else now - failed_at
        return TableNotice(self.news_version, version, rows, failed_ago)

    def _catch_up(self, address: str, version: int) -> None:
        if self.version >= version or self._is_asking:
            return
        self._is_asking = True
        table = self._settings.table
        self._ask_peer(address, table, self.version, self._on_peer_copy)

    def _on_peer_copy(self, result: Result[TableNews, TableError]) -> None:
        self._is_asking = False
        if isinstance(result, Err):
            log.warning(
                "no copy from another VM",
                table=self._settings.table,
                error=result.err_value.text,
            )
            return
        news = result.ok_value
        if news.version <= self.version:
            return
        log.info(
            "copy from another VM",
            table=self._settings.table,
            version=news.version,
            had=self.version,
        )
        self._behind_since = None
        has_changed = self._apply(news)
        if has_changed and self._is_reading and not self.is_away:
            # The read that waits brought nothing: its connection may be silent.
            self._read()

    def _read(self) -> None:
        """Start a read; what an earlier one may still bring is left out."""
        self._is_reading = True
        self._reading += 1
        number = self._reading
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

        def done(result: Result[TableNews | HistoryLost, TableError]) -> None:
            if number == self._reading:
                self._on_result(result)

        table = self._settings.table
        if self._is_history_lost:
            self._source.read_all(table, done)
        else:
            self._source.read_changes(table, self.version, WAIT_MS, done)

    def _on_result(self, result: Result[TableNews | HistoryLost, TableError]) -> None:
        if isinstance(result, Err):
            self._on_error(result.err_value)
            return
        if self.is_away:
            self.is_away = False
            log.info("the store answers again", table=self._settings.table)
        self._retry = FIRST_RETRY_MS
        match result.ok_value:
            case HistoryLost():
                log.info("the store lost its history", table=self._settings.table)
                self._is_history_lost = True
                self._read()
            case TableNews() as news:
                self._is_history_lost = False
                self._tell(news)
                self._apply(news)
                self._read_after(self._settings.spacing if news.rows else 0.0)

    def _tell(self, news: TableNews) -> None:
        """Tell the others what was read, or only its version where it is much."""
        if not (self._settings.is_shared and news.rows and self._is_chosen()):
            return
        is_short = not news.is_whole and len(news.rows) <= ANNOUNCED_ROWS
        rows = news.rows if is_short else ()
        self._announce(self._notice(news.version, rows))

    def _on_error(self, error: TableError) -> None:
        self.failed_at = self._loop.clock.now()
        if not self.is_away:
            self.is_away = True
            log.warning(
                "the store does not answer",
                table=self._settings.table,
                error=error.text,
            )
        wait = self._retry * (0.5 + self._random.random())
        self._retry = min(LONGEST_RETRY_MS, 2.0 * self._retry)
        self._read_after(wait)

    def _read_after(self, wait: Millis) -> None:
        if wait <= 0.0:
            self._loop.soon(self._read)
        else:
            self._timer = self._loop.after(wait, self._read)

    def _apply(self, news: TableNews) -> bool:
        """Take over news; return whether they change anything."""
        if news.version < self.version:
            return False
        is_first = not self.is_known
        changed = _changed_rows(self.value_by_key, news)
        for key, value in changed:
            if value is None:
                self.value_by_key.pop(key, None)
            else:
                self.value_by_key[key] = value
        self._history.note(news, changed)
        self.version = news.version
        if changed or is_first:
            self.news_version = news.version
        if changed:
            self._on_change(tuple(changed))
        return bool(changed)


def _changed_rows(value_by_key: dict[str, bytes], news: TableNews) -> list[TableRow]:
    changed = [row for row in news.rows if value_by_key.get(row.key) != row.value]
    if news.is_whole:
        kept = {row.key for row in news.rows}
        changed += [TableRow(key, None) for key in value_by_key.keys() - kept]
    return changed
