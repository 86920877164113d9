"""Keeps a copy of one table of the platform's store by long polling.

The store responds to a long poll as soon as a row changes. Other VMs announce the
version that they have in heartbeats. A VM whose version stays older for longer than
its own read should take fetches the changes from one of them, since its connection to
the store may be dead or the store may reject its calls. A shared table is read by a
few VMs only (see ``readers``).
"""

import math
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from .history import TableHistory
from .messages import (
    NEVER_FAILED_MS,
    NO_VERSION,
    READ_TIMEOUT_MS,
    HistoryLost,
    StoreVersion,
    TableError,
    TableNotice,
    TableRow,
    TableSource,
    TableUpdate,
)
from .peer_fetches import FetchFromPeer, PeerFetches
from .poll_timing import LONGEST_POLL_MS, PROMPT_ANSWER_MS, PollTiming
from .readers import ANNOUNCE_INTERVAL_MS

SHORT_POLL_MS: Final = 1.0
"""Time after which the store answers a VM that needs to know at once."""
NEVER_CONFIRMED_MS: Final = 1e9
"""``confirmed_ago`` of a copy that the store has not confirmed yet."""
INITIAL_BACKOFF_MS: Final = 100.0
"""Delay before the first retry, before jitter; it doubles with every further one."""
MAX_BACKOFF_MS: Final = 2_000.0
"""Longest delay before a retry, before jitter. It is long because the store counts
rejected calls too. It is short enough because, of many VMs that each retry every two
seconds, one detects the end of an outage at once and its heartbeats inform the others.
"""
ERRORS_OF_OUTAGE: Final = 2
"""Failed reads in a row from which the store counts as away."""
READER_CHECK_INTERVAL_MS: Final = 250.0
"""Interval at which a VM checks whether it has to read a shared table itself."""
MAX_NOTICE_ROWS: Final = 10
"""Largest number of rows in a notice; at about 250 bytes each they fill two
packets."""
NEWS_READ_DELAY_MS: Final = 1_000.0
"""Time in which other VMs should send changes of which a notice told, before the store
is asked as well."""
MAX_NOTICE_BYTES: Final = 8_192
"""Largest size of the rows in a notice. A reader sends it to all VMs of its zone: half
a megabyte to 58 of them, 0.4 s on a link of 10 Mbit/s."""
ROLE_DELAY_MS: Final = 400.0
"""Time after a VM's first read in which heartbeats tell it whether it is a reader."""
PEER_FETCH_DELAY_MS: Final = 250.0
"""Time in which the VM's own read should return changes that another VM has."""

STORE_SOURCE: Final = "store"
"""``TableFollower.source`` after a read of this VM; otherwise it is the address of the
VM whose notice or response had the changes."""

log = logger("discovery")


class FollowerSettings(NamedTuple):
    """Settings of one table.

    Attributes
    ----------
    table : str
    coalescing_delay : float
        Time between a read with changes and the next read, in milliseconds, in
        which further changes accumulate.
    is_shared : bool
        Whether only some VMs read the table and broadcast changes to the others.
    startup_delay : float
        Time in milliseconds after the start in which the VM does not read a shared
        table itself, as readers tell of it.
    timing : PollTiming
    """

    table: str
    coalescing_delay: Millis
    is_shared: bool = False
    startup_delay: Millis = 0.0
    timing: PollTiming = PollTiming(LONGEST_POLL_MS)


class TableFollower:
    """Copy of one table that calls back when rows change.

    Parameters
    ----------
    loop : Loop
    settings : FollowerSettings
    source : TableSource
    fetch_from_peer : FetchFromPeer
    random : Random
    on_change : callable
        Called with the rows that changed; the value of a removed row is None.
    is_designated_reader : callable
        Whether this VM is one of the readers of a shared table.
    broadcast : callable
        Sends a notice of a shared table to the other VMs.
    on_restored : callable
        Called when the store turns out to have been restored from an older copy,
        after ``on_change``.
    is_near : callable
        Whether the VM at an address is in this VM's availability zone.
    """

    def __init__(
        self,
        loop: Loop,
        settings: FollowerSettings,
        source: TableSource,
        fetch_from_peer: FetchFromPeer,
        random: Random,
        on_change: Callable[[tuple[TableRow, ...]], None],
        is_designated_reader: Callable[[], bool] = lambda: True,
        broadcast: Callable[[TableNotice], None] = lambda notice: None,
        on_restored: Callable[[], None] = lambda: None,
        is_near: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self._peers = PeerFetches(
            loop,
            settings.table,
            fetch_from_peer,
            is_near,
            random,
            lambda: self.version,
            self._on_peer_update,
            self._on_peer_failure,
        )
        self._on_restored = on_restored
        self._is_designated_reader = is_designated_reader
        self._broadcast = broadcast
        # Latest time at which a reader is known to have heard of the store.
        self._reader_heard_at: Millis = -math.inf
        self._announced_at: Millis = -math.inf
        # Whether the store's latest answer came in ``PROMPT_ANSWER_MS``.
        self._is_store_prompt = False
        self._read_started_at: Millis = -math.inf
        self._read_wait: Millis = 0.0
        self._starts_reading_at: Millis = -math.inf
        # Whether the pending read is to return news that other VMs have not sent.
        self._is_news_read = False
        self._is_news_read_due = False
        self._is_reading = False
        self._history = TableHistory()
        self._loop = loop
        self._settings = settings
        self._source = source
        self._random = random
        self._on_change = on_change
        self._backoff = INITIAL_BACKOFF_MS
        self._read_number = 0
        self._needs_full_read = True
        self._timer: Timer | None = None
        self.version = NO_VERSION
        # Where the latest update came from.
        self.source = ""
        # Time for which this VM had known of the latest update when it was applied.
        self.was_behind_for: Millis = 0.0
        self.missed_notices = 0
        # Latest time at which the store is known to have had no newer changes.
        self._confirmed_at: Millis = -math.inf
        # Version of the latest result of this VM's own reads, and the one after which
        # the pending read returns changes.
        self._read_version = NO_VERSION
        self._reads_after = NO_VERSION
        # Newest version whose changes this VM has broadcast as a reader.
        self._told_version = NO_VERSION
        self._error_count = 0
        # The store's version grows with changes of any table. This one grows only with
        # changes of this table; it is announced, so that other VMs fetch only then.
        self.last_change_version = NO_VERSION
        self.value_by_key: dict[str, bytes] = {}
        # Latest failed read in an outage, by this VM or as a reader's notice says.
        self.failed_at: Millis | None = None
        self.is_store_unavailable = False

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at least once, from the store or another VM."""
        return self.version > NO_VERSION

    @property
    def is_confirmed(self) -> bool:
        """Whether the store lately had no changes that this copy lacks."""
        max_age = self._settings.timing.max_confirmation_age
        return not self.is_behind and self.confirmed_ago <= max_age

    @property
    def confirmed_ago(self) -> Millis:
        """Time since the store is known to have had no changes that this copy lacks.

        It is ``NEVER_CONFIRMED_MS`` if that never was known.
        """
        return min(NEVER_CONFIRMED_MS, self._loop.clock.now() - self._confirmed_at)

    @property
    def is_behind(self) -> bool:
        """Whether another VM has lately told of changes that this copy lacks."""
        return self._peers.is_behind

    @property
    def behind_for(self) -> Millis:
        """Time for which another VM is known to have changes that this copy lacks."""
        return self._peers.behind_for

    @property
    def is_outage_confirmed(self) -> bool:
        """Whether the store itself seems to be away, and not only a connection to it.

        A read whose connection was reset is repeated at once on a new one.
        """
        return self._error_count >= ERRORS_OF_OUTAGE

    def begin(self) -> None:
        """Start reading the table, and the timers of a shared one."""
        delay = self._settings.startup_delay
        if delay:
            # A VM that is no reader then waits for the first notice.
            self._reader_heard_at = self._loop.clock.now() + delay
            self._starts_reading_at = self._reader_heard_at
        else:
            self._read()
        if self._settings.is_shared:
            self._loop.every(READER_CHECK_INTERVAL_MS, self._update_reader_role)
            self._loop.every(ANNOUNCE_INTERVAL_MS, self._broadcast_version)

    def end_startup_delay(self) -> None:
        """Read the table now if the startup delay is not over and nothing is known."""
        if not self.is_loaded and not self._is_reading:
            self._starts_reading_at = self._loop.clock.now()
            self._read()

    def refresh(self) -> None:
        """Replace a pending read, whose connection may be dead after a pause."""
        # A clock that is paused as well doesn't tell for how long.
        self._confirmed_at = -math.inf
        if self._is_reading:
            self._read()

    def on_peer_version(self, address: str, version: StoreVersion) -> None:
        """Fetch from another VM if its version stays newer than this VM's."""
        self._peers.on_version(address, version)
        if version <= self.version:
            return
        if self.is_loaded:
            self._loop.after(PEER_FETCH_DELAY_MS, self._peers.fetch)
        else:
            # Nothing can be served until the table is known.
            self._peers.fetch()

    def _on_notice_confirmed(self, notice: TableNotice) -> None:
        """Record until when the store had no changes that this copy lacks."""
        age = notice.confirmed_ago
        if age is None:
            age = LONGEST_POLL_MS
        self._confirmed_at = max(self._confirmed_at, self._loop.clock.now() - age)

    def on_notice(self, address: str, notice: TableNotice) -> None:
        """Apply a reader's notice, or fetch from the reader what is missing.

        A VM that reads the table itself fetches only if its read is late.
        """
        now = self._loop.clock.now()
        heard_at = now - (notice.confirmed_ago or 0.0)
        self._reader_heard_at = max(self._reader_heard_at, heard_at)
        self._peers.on_version(address, notice.version)
        if notice.failed_ago < NEVER_FAILED_MS:
            self.failed_at = max(self.failed_at or 0.0, now - notice.failed_ago)
        if notice.version <= self.version:
            self._on_notice_confirmed(notice)
            return
        if self._is_reading:
            # The next read may wait for further changes first.
            wait = PEER_FETCH_DELAY_MS + self._settings.coalescing_delay
            self._loop.after(wait, lambda: self._check_own_read(notice))
        if self.is_loaded and notice.after > self.version:
            # The one before it, or it told only of a version.
            self.missed_notices += 1
        if (
            notice.rows
            and notice.after <= self.version
            and not self._is_new_era(notice.version)
        ):
            update = TableUpdate(notice.version, notice.rows, is_snapshot=False)
            self._apply(update, address)
            self._on_notice_confirmed(notice)
        elif not self._is_reading:
            self._catch_up()

    def _check_own_read(self, notice: TableNotice) -> None:
        """Replace a read that has missed what another reader's notice told.

        Its connection may be dead. As other VMs rely on this one, they are told.
        """
        if not self._is_reading or self._read_version >= notice.version:
            return
        if self.version < notice.version:
            self._peers.fetch()
            return
        self._forward(notice)
        if self._reads_after >= notice.version:
            # The pending read starts from this change, and won't return it.
            return
        log.warning(
            "the read from the store missed changes; reading again",
            table=self._settings.table,
            read_version=tuple(self._read_version),
            version=tuple(notice.version),
        )
        self._read()

    def _forward(self, notice: TableNotice) -> None:
        """Send a notice to this VM's zone, once for each version."""
        if notice.version <= self._told_version:
            return
        if self._settings.is_shared and self._is_designated_reader():
            self._told_version = notice.version
            self._broadcast(notice)

    def _catch_up(self) -> None:
        """Get news from another VM, and from the store if that takes long."""
        if not self.is_loaded:
            self._peers.fetch()
        else:
            self._peers.fetch_soon()
        if not self._is_news_read_due:
            self._is_news_read_due = True
            self._loop.after(NEWS_READ_DELAY_MS, self._read_news)

    def _read_news(self) -> None:
        self._is_news_read_due = False
        if self.is_behind and not self._is_reading:
            self._is_news_read = True
            self._read()

    def update_since(self, after: StoreVersion) -> TableUpdate:
        """Return the changes after a version, the whole table if that is too old."""
        changed = self._history.keys_changed_after(after)
        if changed is None:
            rows = tuple(TableRow(k, v) for k, v in self.value_by_key.items())
            return TableUpdate(self.version, rows, True, self.last_change_version)
        rows = tuple(TableRow(key, self.value_by_key.get(key)) for key in changed)
        return TableUpdate(self.version, rows, False, self.last_change_version)

    def _update_reader_role(self) -> None:
        """Start or stop reading a shared table, as ``_needs_own_read`` decides."""
        needs_read = self._needs_own_read()
        if needs_read and not self._is_reading:
            self._read()
        elif (
            self._is_reading
            and not needs_read
            and self.is_loaded
            and not (self._is_news_read and self.is_behind)
        ):
            self._stop_reading()

    def _needs_own_read(self) -> bool:
        now = self._loop.clock.now()
        if now < self._starts_reading_at:
            return False
        return (
            not self._settings.is_shared
            or self._is_designated_reader()
            or now - self._reader_heard_at > self._settings.timing.reader_timeout
        )

    def _stop_reading(self) -> None:
        self._is_reading = False
        self._is_news_read = False
        self._error_count = 0
        self.is_store_unavailable = False
        # Ignore the result of the pending read.
        self._read_number += 1
        if self._timer is not None:
            self._timer.cancel()

    def _broadcast_version(self) -> None:
        """Announce the version of this copy unless that was done lately."""
        if (
            self._is_reading
            and self._is_designated_reader()
            and not self.is_store_unavailable
            and self._loop.clock.now() - self._announced_at
            >= 0.5 * ANNOUNCE_INTERVAL_MS
        ):
            self._announce()

    def _announce(self) -> None:
        self._announced_at = self._loop.clock.now()
        self._broadcast(self._make_notice(self.last_change_version, ()))

    def _make_notice(
        self, version: StoreVersion, rows: tuple[TableRow, ...]
    ) -> TableNotice:
        """Return a notice of the rows changed after ``last_change_version``."""
        now = self._loop.clock.now()
        failed_at = self.failed_at
        failed_ago = NEVER_FAILED_MS if failed_at is None else now - failed_at
        return TableNotice(
            self.last_change_version,
            version,
            rows,
            failed_ago,
            self._settings.table,
            self.confirmed_ago if self._confirmed_at > -math.inf else None,
        )

    def _on_peer_failure(self) -> None:
        """Read the store as well: the other VMs may be out of reach."""
        if self._settings.is_shared and not self._is_reading:
            self._is_news_read = True
            self._read()

    def _on_peer_update(self, update: TableUpdate, address: str) -> None:
        has_changed = self._apply(update, address)
        if update.is_snapshot:
            # The store has the changes after it, or says that it has not.
            self._needs_full_read = False
        if has_changed and self._is_reading:
            self._forward(self._make_notice(self.last_change_version, ()))
        if has_changed and self._is_reading and not self.is_store_unavailable:
            # The pending read missed these changes: its connection may be dead.
            self._read()

    def _read(self) -> None:
        """Start a read, which lets the store wait for changes if there is time.

        A copy whose confirmation would get too old meanwhile needs an answer at once.
        """
        timing = self._settings.timing
        has_time = self.confirmed_ago + timing.poll <= timing.max_confirmation_age
        self._start_read(timing.poll if has_time else SHORT_POLL_MS)

    def _poll(self) -> None:
        """Start the read after one without changes."""
        self._start_read(self._settings.timing.poll)

    def _first_poll(self) -> None:
        """Start the read after one with changes, for a random part of the time.

        All readers start it at the same moment. If their connections go silent
        together, the one whose poll ends first finds out for all.
        """
        self._start_read(self._random.random() * self._settings.timing.poll)

    def _start_read(self, wait: Millis) -> None:
        """Start a read; an earlier pending one no longer counts, unless it has news."""
        self._is_reading = True
        self._read_number += 1
        read_number = self._read_number
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

        def done(result: Result[TableUpdate | HistoryLost, TableError]) -> None:
            if read_number == self._read_number:
                self._on_result(result)
            else:
                self._on_late_result(result)

        self._reads_after = self.version
        table = self._settings.table
        limit = PROMPT_ANSWER_MS if self._is_store_prompt else READ_TIMEOUT_MS
        if self._needs_full_read:
            wait = 0.0
            self._source.read_all(table, done, limit)
        else:
            self._source.read_changes(table, self.version, wait, done, limit)
        self._read_started_at = self._loop.clock.now()
        self._read_wait = wait

    def _on_result(self, result: Result[TableUpdate | HistoryLost, TableError]) -> None:
        was_prompt = self._is_store_prompt
        took = self._loop.clock.now() - self._read_started_at
        self._is_store_prompt = (
            result.is_ok() and took <= self._read_wait + PROMPT_ANSWER_MS
        )
        if isinstance(result, Err):
            error = result.err_value
            if was_prompt and error.has_timed_out:
                self._replace_silent_read(error)
            else:
                self._on_error(error)
            return
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            self._error_count = 0
            log.info("store is available again", table=self._settings.table)
        self._backoff = INITIAL_BACKOFF_MS
        match result.ok_value:
            case HistoryLost():
                log.info(
                    "store has no changes since this version; reading the whole table",
                    table=self._settings.table,
                )
                self._needs_full_read = True
                self._read()
            case TableUpdate() as update:
                self._needs_full_read = False
                self._read_version = update.version
                if update.version >= self.version:
                    answered_at = self._answered_at(update)
                    self._confirmed_at = max(self._confirmed_at, answered_at)
                is_first = not self.is_loaded
                # The notice starts at ``last_change_version``, which ``_apply`` sets.
                try:
                    self._broadcast_update(update)
                    self._apply(update, STORE_SOURCE)
                finally:
                    # Reads go on also after a failure of a listener.
                    self._continue_reading(update, is_first)

    def _answered_at(self, update: TableUpdate) -> Millis:
        """Return a time before which the store did not send its answer.

        This VM may read the answer late, when its processor is busy.
        """
        if update.is_snapshot:
            return self._read_started_at
        now = self._loop.clock.now()
        if update.rows:
            return max(self._read_started_at, now - PROMPT_ANSWER_MS)
        # The store has waited for changes.
        return min(now, self._read_started_at + self._read_wait)

    def _replace_silent_read(self, error: TableError) -> None:
        """Read again at once on a new connection, with more time for the answer.

        The connection may be dead and the store well.
        """
        log.info(
            "nothing was heard of a read from the store; reading again",
            table=self._settings.table,
            error=error.text,
        )
        self._read()

    def _continue_reading(self, update: TableUpdate, is_first: bool) -> None:
        """Schedule the read after one that returned ``update``."""
        self._is_news_read = False
        if not self._needs_own_read():
            # It was read once for news of it.
            self._stop_reading()
            return
        delay = self._settings.coalescing_delay if update.rows else 0.0
        if is_first and self._settings.is_shared:
            delay = max(delay, ROLE_DELAY_MS)
        self._schedule_read(delay, self._first_poll if update.rows else self._poll)

    def _on_late_result(
        self, result: Result[TableUpdate | HistoryLost, TableError]
    ) -> None:
        """Apply what a read that was replaced has returned, if it is news."""
        match result:
            case Ok(TableUpdate() as update) if update.version > self.version:
                self._broadcast_update(update)
                self._apply(update, STORE_SOURCE)
            case _:
                return

    def _broadcast_update(self, update: TableUpdate) -> None:
        """Broadcast the rows that were read, or only the version of a large update.

        An answer without changes confirms the copies of the other VMs.
        """
        if not (self._settings.is_shared and self._is_designated_reader()):
            return
        if not update.rows:
            if not update.is_snapshot:
                self._announce()
            return
        size = sum(len(row.value or b"") for row in update.rows)
        fits_notice = (
            not update.is_snapshot
            and len(update.rows) <= MAX_NOTICE_ROWS
            and size <= MAX_NOTICE_BYTES
        )
        rows = update.rows if fits_notice else ()
        self._told_version = max(self._told_version, update.changed_at)
        self._broadcast(self._make_notice(update.changed_at, rows))

    def _on_error(self, error: TableError) -> None:
        self._error_count += 1
        self._is_news_read = False
        if self.is_outage_confirmed:
            self.failed_at = self._loop.clock.now()
        if not self.is_store_unavailable:
            self.is_store_unavailable = True
            log.warning(
                "read from the store failed; retrying with backoff",
                table=self._settings.table,
                error=error.text,
            )
        wait = self._backoff * (0.5 + self._random.random())
        self._backoff = min(MAX_BACKOFF_MS, 2.0 * self._backoff)
        self._schedule_read(wait, self._read)

    def _schedule_read(self, wait: Millis, read: Callable[[], None]) -> None:
        if wait <= 0.0:
            self._loop.call_soon(read)
        else:
            self._timer = self._loop.after(wait, read)

    def _apply(self, update: TableUpdate, source: str) -> bool:
        """Apply an update from a source; return whether any row changed.

        Changes of a new era need not follow from the rows of the one before, so only
        a snapshot is accepted then.
        """
        if update.version < self.version:
            return False
        is_new_era = self._is_new_era(update.version)
        if is_new_era and not update.is_snapshot:
            self._needs_full_read = True
            return False
        is_first = not self.is_loaded
        changed = _changed_rows(self.value_by_key, update)
        if is_new_era:
            # Rows that are missing may only not be written again yet, as after an
            # outage of the store.
            self.failed_at = self._loop.clock.now()
            self._log_restore(update.version, changed)
        for key, value in changed:
            if value is None:
                self.value_by_key.pop(key, None)
            else:
                self.value_by_key[key] = value
        self._history.record(update, changed)
        self.source = source
        self.was_behind_for = self.behind_for
        self.version = update.version
        if changed or is_first or is_new_era:
            self.last_change_version = update.changed_at
        if changed:
            self._on_change(tuple(changed))
        if is_new_era:
            self._on_restored()
        return bool(changed)

    def _is_new_era(self, version: StoreVersion) -> bool:
        return self.is_loaded and version.era > self.version.era

    def _log_restore(self, version: StoreVersion, changed: list[TableRow]) -> None:
        log.warning(
            "the store was restored from an older copy",
            table=self._settings.table,
            era=version.era,
            version=version.counter,
            before=tuple(self.version),
            rows_missing=sum(1 for row in changed if row.value is None),
            rows_differing=sum(1 for row in changed if row.value is not None),
        )


def _changed_rows(
    value_by_key: dict[str, bytes], update: TableUpdate
) -> list[TableRow]:
    changed = [row for row in update.rows if value_by_key.get(row.key) != row.value]
    if update.is_snapshot:
        kept = {row.key for row in update.rows}
        changed += [TableRow(key, None) for key in value_by_key.keys() - kept]
    return changed
