"""Table of the fleet's VMs in the store, through which VMs discover each other.

A VM reads the table when it starts and writes its own row if needed. Rows outlive
their VMs, so that after a power loss a VM finds all others at once. A listed VM that is
down gets heartbeats but sends none, so its entry among the members expires.
"""

import json
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from result import Err, Ok, Result

from ..clock import Millis
from ..discovery.messages import HistoryLost, TableError, TableRow, TableUpdate
from ..ini import parse_address
from ..json_data import FIELD_ERRORS, check_text, parse_json
from ..logs import logger
from ..membership.messages import Member
from ..membership.state import MemberTable
from ..network.loop import Loop
from .adapter import Store

WRITE_SPREAD_MS: Final = 1_000.0
"""VMs that start together spread their writes over this time, one call each."""
RETRY_DELAY_MS: Final = 1_000.0
"""Delay before a failed call is repeated."""
LIVENESS_CHECK_DELAY_MS: Final = 3_000.0
"""Delay before the rows are read again if few VMs are live. VMs that start together are
up by then, also those with a small part of a core, and have written their rows."""
SUFFICIENT_LIVE_MEMBERS: Final = 4
"""Other live VMs from which heartbeats discover all the rest within seconds."""

log = logger("membership")


class VmRegister:
    """Registers this VM in the table and adds the VMs listed there to the members.

    Parameters
    ----------
    loop : Loop
    store : Store
    table_name : str
        Name of the table in the store.
    key : str
        Key of this VM's row.
    members : MemberTable
        Receives the VMs listed in the table.
    random : Random

    Attributes
    ----------
    has_read : bool
        Whether the table has been read since the start.
    """

    def __init__(
        self,
        loop: Loop,
        store: Store,
        table_name: str,
        key: str,
        members: MemberTable,
        random: Random,
    ) -> None:
        self._loop = loop
        self._store = store
        self._table_name = table_name
        self._key = key
        self._members = members
        self._random = random
        self.has_read = False

    def begin(self, is_first_start: bool) -> None:
        """Read the table, and write this VM's row if it is missing or differs.

        On the first start of the whole fleet there is nothing to read yet.
        """
        if is_first_start:
            self._schedule_write()
        else:
            self._read(self._on_first_rows)

    def on_restored(self) -> None:
        """Write the row again: the store's older copy may lack it."""
        self._schedule_write()

    def _read(self, done: Callable[[Iterable[TableRow]], None]) -> None:
        def finish(result: Result[TableUpdate | HistoryLost, TableError]) -> None:
            match result:
                case Ok(TableUpdate() as update):
                    done(update.rows)
                case Err(error):
                    log.warning("the table of VMs could not be read", error=error.text)
                    self._loop.after(RETRY_DELAY_MS, lambda: self._read(done))

        self._store.read_all(self._table_name, finish)

    def _on_first_rows(self, rows: Iterable[TableRow]) -> None:
        rows = list(rows)
        self._add_members(rows)
        if TableRow(self._key, self._row_value()) in rows:
            self._loop.after(LIVENESS_CHECK_DELAY_MS, self._read_if_few_live)
        else:
            self._schedule_write()

    def _add_members(self, rows: Iterable[TableRow]) -> None:
        self.has_read = True
        found = [_parse_row(row) for row in rows if row.value is not None]
        members = [member for member in found if member is not None]
        self._members.add_unconfirmed(members, self._loop.clock.now())

    def _schedule_write(self) -> None:
        self._loop.after(WRITE_SPREAD_MS * self._random.random(), self._write)

    def _write(self) -> None:
        value = self._row_value()
        self._store.put(self._table_name, self._key, value, self._on_written)

    def _row_value(self) -> bytes:
        me = self._members.me
        return json.dumps([me.address, me.zone, me.region]).encode()

    def _on_written(self, error: str) -> None:
        if error:
            log.warning("this VM could not be registered", error=error)
            self._loop.after(RETRY_DELAY_MS, self._write)
            return
        self._loop.after(LIVENESS_CHECK_DELAY_MS, self._read_if_few_live)

    def _read_if_few_live(self) -> None:
        """Read the table again unless enough other VMs are live."""
        now: Millis = self._loop.clock.now()
        if len(self._members.live(now)) - 1 < SUFFICIENT_LIVE_MEMBERS:
            self._read(self._add_members)


def _parse_row(row: TableRow) -> Member | None:
    try:
        address, zone, region = parse_json(row.value or b"")
        parse_address(check_text(address, "the address"))
        check_text(zone, "the zone")
        check_text(region, "the region")
    except FIELD_ERRORS as error:
        log.warning("invalid row in the table of VMs", row=row.key, error=str(error))
        return None
    return Member(address, 0, 0, zone, region, False, 0)
