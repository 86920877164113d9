"""Keeps a copy of one table of the platform's store.

The store answers a waiting read as soon as a row changes. Other VMs tell the version
that they have: one that is behind for longer than its own read should take asks
one of them, since its connection may be silent or the store may turn it away.
"""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from result import Err, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from .messages import HistoryLost, TableError, TableNews, TableRow, TableSource

WAIT_MS: Final = 20_000.0
"""How long the store holds a read without news; under its limit of 30 s."""
FIRST_RETRY_MS: Final = 100.0
LONGEST_RETRY_MS: Final = 1_000.0
"""A store that is back must be noticed within a second or two."""
PATIENCE_MS: Final = 250.0
"""Time in which the own read should bring what another VM has already."""

AskPeer = Callable[[str, str, Callable[[Result[TableNews, TableError]], None]], None]
"""Asks the VM at an address for its copy of a table."""

log = logger("discovery")


class FollowerSettings(NamedTuple):
    """How a table is followed; ``spacing`` in milliseconds lets news gather."""

    table: str
    spacing: Millis


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
    """

    def __init__(
        self,
        loop: Loop,
        settings: FollowerSettings,
        source: TableSource,
        ask_peer: AskPeer,
        random: Random,
        on_change: Callable[[tuple[TableRow, ...]], None],
    ) -> None:
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

    def copy(self) -> TableNews:
        """Return the whole table as it is known here."""
        rows = tuple(TableRow(k, v) for k, v in self.value_by_key.items())
        return TableNews(self.version, rows, is_whole=True)

    def _catch_up(self, address: str, version: int) -> None:
        if self.version >= version or self._is_asking:
            return
        self._is_asking = True
        self._ask_peer(address, self._settings.table, self._on_peer_copy)

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
        self._apply(news)
        if not self.is_away:
            # The read that waits brought nothing: its connection may be silent.
            self._read()

    def _read(self) -> None:
        """Start a read; what an earlier one may still bring is left out."""
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
                self._apply(news)
                self._read_after(self._settings.spacing if news.rows else 0.0)

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

    def _apply(self, news: TableNews) -> None:
        if news.version < self.version:
            return
        changed = _changed_rows(self.value_by_key, news)
        for key, value in changed:
            if value is None:
                self.value_by_key.pop(key, None)
            else:
                self.value_by_key[key] = value
        self.version = news.version
        if changed:
            self._on_change(tuple(changed))


def _changed_rows(value_by_key: dict[str, bytes], news: TableNews) -> list[TableRow]:
    changed = [row for row in news.rows if value_by_key.get(row.key) != row.value]
    if news.is_whole:
        kept = {row.key for row in news.rows}
        changed += [TableRow(key, None) for key in value_by_key.keys() - kept]
    return changed
