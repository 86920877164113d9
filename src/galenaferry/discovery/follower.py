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
from typing import Final

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from .confirmation import Confirmation
from .messages import (
    StoreVersion,
    TableNotice,
    TableRow,
    TableSource,
    TableUpdate,
)
from .outages import OutageDetector
from .peer_fetches import FetchFromPeer, PeerFetches
from .poll_timing import READER_CHECK_INTERVAL_MS
from .reader_notices import ReaderNotices
from .reader_role import ReaderRole
from .readers import ANNOUNCE_INTERVAL_MS
from .settings import FollowerSettings
from .store_reads import StoreReads
from .table_copy import TableCopy

NEWS_READ_DELAY_MS: Final = 1_000.0
"""Time in which other VMs should send changes of which a notice told, before the store
is asked as well."""
ROLE_DELAY_MS: Final = 400.0
"""Time after a VM's first read in which heartbeats tell it whether it is a reader."""
PEER_FETCH_DELAY_MS: Final = 250.0
"""Time in which the VM's own read should return changes that another VM has."""

STORE_SOURCE: Final = "store"
"""``TableFollower.source`` after a read of this VM; otherwise it is the address of the
VM whose notice or response had the changes."""

log = logger("discovery")


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
        clock = loop.clock
        self._copy = TableCopy(settings.table)
        self._confirmation = Confirmation(clock)
        self.outages = OutageDetector(clock, settings.timing.longest_without_answer)
        self._reads = StoreReads(
            loop, settings, source, random, self._copy, self._confirmation, self
        )
        self._role = ReaderRole(clock, settings, is_designated_reader)
        self.notices = ReaderNotices(
            clock,
            settings.table,
            self._copy,
            self._confirmation,
            self.outages,
            self._role.may_tell,
            broadcast,
        )
        self._is_near = is_near
        self._on_restored = on_restored
        # Whether the pending read is to return news that other VMs have not sent.
        self._is_news_read = False
        self._is_news_read_due = False
        self._loop = loop
        self._settings = settings
        self._on_change = on_change
        # Where the latest update came from.
        self.source = ""
        # Time for which this VM had known of the latest update when it was applied.
        self.was_behind_for: Millis = 0.0
        # Latest time at which the store is known not to have had the latest update.
        self.unchanged_until: Millis = -math.inf
        self.missed_notices = 0

    @property
    def version(self) -> StoreVersion:
        """Version of the store up to which the copy is complete."""
        return self._copy.version

    @property
    def last_change_version(self) -> StoreVersion:
        """Version of the latest change of the table, which heartbeats announce."""
        return self._copy.last_change_version

    @property
    def value_by_key(self) -> dict[str, bytes]:
        """Values of the rows by their keys."""
        return self._copy.value_by_key

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the latest read of this VM failed."""
        return self._reads.is_store_unavailable

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at least once, from the store or another VM."""
        return self._copy.is_loaded

    @property
    def is_confirmed(self) -> bool:
        """Whether the store lately had no changes that this copy lacks."""
        max_age = self._settings.timing.max_confirmation_age
        return not self.is_behind and self.confirmed_ago <= max_age

    @property
    def confirmed_ago(self) -> Millis:
        """Time since the store is known to have had no changes that this copy lacks."""
        return self._confirmation.confirmed_ago

    @property
    def is_behind(self) -> bool:
        """Whether another VM has lately told of changes that this copy lacks."""
        return self._peers.is_behind

    @property
    def behind_for(self) -> Millis:
        """Time for which another VM is known to have changes that this copy lacks."""
        return self._peers.behind_for

    def begin(self) -> None:
        """Start reading the table, and the timers of a shared one."""
        delay = self._settings.startup_delay
        if delay:
            # A VM that is no reader then waits for the first notice.
            self._role.wait(delay)
        else:
            self._reads.read()
        if self._settings.is_shared:
            self._loop.every(READER_CHECK_INTERVAL_MS, self._update_reader_role)
            self._loop.every(ANNOUNCE_INTERVAL_MS, self._announce_version)

    def end_startup_delay(self) -> None:
        """Read the table now if the startup delay is not over and nothing is known."""
        if not self.is_loaded and not self._reads.is_reading:
            self._role.end_wait()
            self._reads.read()

    def refresh(self) -> None:
        """Replace a pending read, whose connection may be dead after a pause."""
        # A clock that is paused as well doesn't tell for how long.
        self._confirmation.forget()
        if self._reads.is_reading:
            self._reads.read()

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

    def on_notice(self, address: str, notice: TableNotice) -> None:
        """Apply a notice, or fetch what is missing unless a read should return it."""
        now = self._loop.clock.now()
        self._role.on_reader_heard(now - (notice.confirmed_ago or 0.0))
        self.outages.on_told_answer(notice.confirmed_at(now), notice.back_ago)
        self._peers.on_version(address, notice.version)
        if notice.version <= self.version:
            self._confirmation.confirm(notice.confirmed_at(now))
            if self.is_store_unavailable and not self._is_near(address):
                # Its zone hears only from this VM that the store answers others.
                self.notices.announce_if_due()
            return
        if self._reads.is_reading:
            # The next read may wait for further changes first.
            wait = PEER_FETCH_DELAY_MS + self._settings.coalescing_delay
            self._loop.after(wait, lambda: self._check_own_read(notice))
        if self.is_loaded and notice.after > self.version:
            # The one before it, or it told only of a version.
            self.missed_notices += 1
        if (
            notice.rows
            and notice.after <= self.version
            and not self._copy.is_new_era(notice.version)
        ):
            update = TableUpdate(notice.version, notice.rows, is_snapshot=False)
            self._apply(update, address, self._confirmation.last_confirmed_at)
            self._confirmation.confirm(notice.confirmed_at(now))
            if not self._is_near(address):
                # The next read of this VM starts after it and won't return it.
                self.notices.forward(notice)
        elif self._relies_on_others:
            self._catch_up()

    @property
    def _relies_on_others(self) -> bool:
        """Whether changes reach this VM by way of other VMs alone."""
        return not self._reads.is_reading or self.is_store_unavailable

    def _check_own_read(self, notice: TableNotice) -> None:
        """Replace a read that has missed what another reader's notice told.

        Its connection may be dead. As other VMs rely on this one, they are told.
        """
        if not self._reads.is_reading or self._reads.version >= notice.version:
            return
        if self.version < notice.version:
            self._peers.fetch()
            return
        self.notices.forward(notice)
        if self._reads.reads_after >= notice.version:
            # The pending read starts from this change, and won't return it.
            return
        log.warning(
            "the read from the store missed changes; reading again",
            table=self._settings.table,
            read_version=tuple(self._reads.version),
            version=tuple(notice.version),
        )
        self._reads.read()

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
        if self.is_behind and not self._reads.is_reading:
            self._is_news_read = True
            self._reads.read()

    def update_since(self, after: StoreVersion) -> TableUpdate:
        """Return the changes after a version (see ``TableCopy``)."""
        return self._copy.update_since(after)

    def _update_reader_role(self) -> None:
        """Start or stop reading a shared table, as its role requires."""
        needs_read = self._role.needs_read()
        if needs_read and not self._reads.is_reading:
            self._reads.read()
        elif (
            self._reads.is_reading
            and not needs_read
            and self.is_loaded
            and not (self._is_news_read and self.is_behind)
        ):
            self._is_news_read = False
            self._reads.stop()

    def _announce_version(self) -> None:
        """Tell the zone of this copy, as a reader whose reads work."""
        if self._reads.is_reading and not self.is_store_unavailable:
            self.notices.announce_if_due()

    def _on_peer_failure(self) -> None:
        """Read the store as well: the other VMs may be out of reach."""
        if self._settings.is_shared and not self._reads.is_reading:
            self._is_news_read = True
            self._reads.read()

    def _on_peer_update(self, update: TableUpdate, address: str) -> None:
        self.outages.on_copy_of_other_vm()
        unchanged_until = self._confirmation.last_confirmed_at
        has_changed = self._apply(update, address, unchanged_until)
        if update.is_snapshot:
            # The store has the changes after it, or says that it has not.
            self._reads.needs_full_read = False
        if has_changed and self._reads.is_reading:
            notice = self.notices.make_notice(self.last_change_version, ())
            self.notices.forward(notice)
        if has_changed and self._reads.is_reading and not self.is_store_unavailable:
            # The pending read missed these changes: its connection may be dead.
            self._reads.read()

    def on_read(self, update: TableUpdate, answered_at: Millis) -> None:
        """Apply the result of a read (called by ``StoreReads``)."""
        self.outages.on_answer(answered_at)
        unchanged_until = self._confirmation.last_confirmed_at
        if update.version >= self.version:
            self._confirmation.confirm(answered_at)
        is_first = not self.is_loaded
        try:
            self._publish(update, unchanged_until)
        finally:
            # Reads go on also after a failure of a listener.
            self._continue_reading(update, is_first)

    def on_late_read(self, update: TableUpdate) -> None:
        """Apply the result of an earlier read (called by ``StoreReads``)."""
        self._publish(update, self._confirmation.last_confirmed_at)

    def _publish(self, update: TableUpdate, unchanged_until: Millis) -> None:
        """Tell the zone of what this VM has read, and apply it."""
        self.notices.send_update(update)
        self._apply(update, STORE_SOURCE, unchanged_until)

    def on_failed_read(self) -> None:
        """Record a failed read (called by ``StoreReads``)."""
        self._is_news_read = False

    def _continue_reading(self, update: TableUpdate, is_first: bool) -> None:
        """Schedule the read after one that returned ``update``."""
        self._is_news_read = False
        if not self._role.needs_read():
            # It was read once for news of it.
            self._reads.stop()
            return
        delay = self._settings.coalescing_delay if update.rows else 0.0
        if is_first and self._settings.is_shared:
            delay = max(delay, ROLE_DELAY_MS)
        self._reads.read_again_after(update, delay)

    def _apply(self, update: TableUpdate, source: str, unchanged_until: Millis) -> bool:
        """Apply an update from a source; return whether any row changed.

        The store did not have its changes at ``unchanged_until``. Changes of a new era
        need not follow from the rows of the one before, so only a snapshot is accepted
        then.
        """
        if update.version < self.version:
            return False
        is_new_era = self._copy.is_new_era(update.version)
        if is_new_era and not update.is_snapshot:
            self._reads.needs_full_read = True
            return False
        if is_new_era:
            # Rows that are missing may only not be written again yet, as after an
            # outage of the store.
            self.outages.on_restored()
        self.source = source
        self.unchanged_until = unchanged_until
        self.was_behind_for = self.behind_for
        changed = self._copy.merge(update)
        if changed:
            self._on_change(changed)
        if is_new_era:
            self._on_restored()
        return bool(changed)
