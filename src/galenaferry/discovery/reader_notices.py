"""Notices with which a reader of a shared table tells its zone of the table."""

import math
from collections.abc import Callable
from typing import Final

from ..clock import Clock, Millis
from .confirmation import Confirmation
from .messages import (
    NO_VERSION,
    StoreVersion,
    TableNotice,
    TableRow,
    TableUpdate,
)
from .outages import OutageDetector
from .readers import ANNOUNCE_INTERVAL_MS
from .table_copy import TableCopy

MAX_NOTICE_ROWS: Final = 10
"""Largest number of rows in a notice; at about 250 bytes each they fill two
packets."""
MAX_NOTICE_BYTES: Final = 8_192
"""Largest size of the rows in a notice. A reader sends it to all VMs of its zone: half
a megabyte to 58 of them, 0.4 s on a link of 10 Mbit/s."""


class ReaderNotices:
    """Sends notices of a table, as long as this VM is one of its readers.

    Parameters
    ----------
    clock : Clock
    table : str
    copy : TableCopy
    confirmation : Confirmation
    outages : OutageDetector
    may_send : callable
        Whether this VM tells others of the table.
    send : callable
        Sends a notice to the other VMs.
    """

    def __init__(
        self,
        clock: Clock,
        table: str,
        copy: TableCopy,
        confirmation: Confirmation,
        outages: OutageDetector,
        may_send: Callable[[], bool],
        send: Callable[[TableNotice], None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._copy = copy
        self._confirmation = confirmation
        self._outages = outages
        self._may_send = may_send
        self._send = send
        self._announced_at: Millis = -math.inf
        # Newest version whose changes this VM has sent as a reader.
        self._told_version = NO_VERSION

    def make_notice(
        self, version: StoreVersion, rows: tuple[TableRow, ...]
    ) -> TableNotice:
        """Return a notice of the rows changed after the latest change of the copy."""
        is_confirmed = self._confirmation.has_been_confirmed
        return TableNotice(
            self._copy.last_change_version,
            version,
            rows,
            self._outages.back_ago,
            self._table,
            self._confirmation.confirmed_ago if is_confirmed else None,
        )

    def announce(self) -> None:
        """Send the version of the copy."""
        self._announced_at = self._clock.now()
        self._send(self.make_notice(self._copy.last_change_version, ()))

    def announce_if_due(self) -> None:
        """Send the version of the copy unless that was done lately."""
        silent_for = self._clock.now() - self._announced_at
        if self._may_send() and silent_for >= 0.5 * ANNOUNCE_INTERVAL_MS:
            self.announce()

    def send_update(self, update: TableUpdate) -> None:
        """Send the rows that were read, or only the version of a large update.

        An answer without changes, or with changes that were told before, confirms the
        copies of the other VMs. The notice starts at the latest change of the copy,
        before the update is applied.
        """
        if not self._may_send():
            return
        if not update.rows or update.changed_at <= self._told_version:
            if not update.is_snapshot:
                self.announce()
            return
        size = sum(len(row.value or b"") for row in update.rows)
        fits_notice = (
            not update.is_snapshot
            and len(update.rows) <= MAX_NOTICE_ROWS
            and size <= MAX_NOTICE_BYTES
        )
        rows = update.rows if fits_notice else ()
        self._told_version = max(self._told_version, update.changed_at)
        self._send(self.make_notice(update.changed_at, rows))

    def forward(self, notice: TableNotice) -> None:
        """Send another VM's notice, once for each version."""
        if notice.version > self._told_version and self._may_send():
            self._told_version = notice.version
            self._send(notice)
