"""The platform's list of VMs as an ordered log of changes to its rows."""

import json
from collections import OrderedDict
from typing import Any, Final, NamedTuple

from ..backends.messages import Instance
from ..spreading.messages import ApplyResult
from .messages import Member

HISTORY_LENGTH: Final = 1024
ENTRY_ROLE: Final = "entry"
LEAVING_STATE: Final = "leaving"


class VmRow(NamedTuple):
    """A row of the VM list; ``role`` is ``entry`` or ``backend``."""

    address: str
    role: str
    service: str
    zone: str
    region: str
    state: str


class VmChange(NamedTuple):
    """A change of one row; no row means that it was removed."""

    revision: int
    address: str
    row: VmRow | None


def encode_vm_change(change: VmChange) -> str:
    """Return a change as one line of JSON."""
    return json.dumps([change.revision, change.address, change.row])


def decode_vm_change(text: str) -> VmChange:
    """Return the change in one line of JSON.

    Raises
    ------
    ValueError
        When the text is no change.
    """
    try:
        revision, address, row = json.loads(text)
        return VmChange(int(revision), str(address), row and decode_row(row))
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a change of the VM list: {error}") from None


def decode_row(data: Any) -> VmRow:
    """Return the row in JSON data.

    Raises
    ------
    ValueError
        When the data is no row.
    """
    if not isinstance(data, list) or len(data) != len(VmRow._fields):
        raise ValueError("a row has six texts")
    return VmRow(*(str(part) for part in data))


class VmListLog:
    """The rows of one region's list at a revision (see ``spreading.ReplicatedLog``)."""

    def __init__(self) -> None:
        self.rows_by_address: dict[str, VmRow] = {}
        self._changes_by_revision: OrderedDict[int, VmChange] = OrderedDict()
        self._revision = 0
        self._sorted_addresses: list[str] | None = None

    @property
    def version(self) -> int:
        """The revision of the list."""
        return self._revision

    @property
    def digest(self) -> str:
        """Empty: the platform alone writes the list."""
        return ""

    def apply(self, change: VmChange) -> ApplyResult:
        """Apply the change that follows the present revision."""
        if change.revision <= self._revision:
            return ApplyResult.DUPLICATE
        if change.revision > self._revision + 1:
            return ApplyResult.GAP
        if change.row is None:
            self.rows_by_address.pop(change.address, None)
        else:
            self.rows_by_address[change.address] = change.row
        self._revision = change.revision
        self._sorted_addresses = None
        self._changes_by_revision[change.revision] = change
        while len(self._changes_by_revision) > HISTORY_LENGTH:
            self._changes_by_revision.popitem(last=False)
        return ApplyResult.APPLIED

    def load(self, revision: int, rows: list[VmRow]) -> bool:
        """Replace all rows by those of a newer revision."""
        if revision <= self._revision:
            return False
        self.rows_by_address = {row.address: row for row in rows}
        self._revision = revision
        self._sorted_addresses = None
        self._changes_by_revision.clear()
        return True

    def apply_encoded(self, entry: str) -> ApplyResult:
        """Apply an encoded change."""
        return self.apply(decode_vm_change(entry))

    def encoded_after(self, version: int, limit: int) -> list[str] | None:
        """Return encoded changes after a revision."""
        if version >= self._revision:
            return []
        if version + 1 not in self._changes_by_revision:
            return None
        last = min(self._revision, version + limit)
        changes = self._changes_by_revision
        return [encode_vm_change(changes[n]) for n in range(version + 1, last + 1)]

    def row_count(self) -> int:
        """Return the number of rows."""
        return len(self.rows_by_address)

    def rows_from(self, start: int, limit: int) -> list[str]:
        """Return encoded rows in the order of their addresses."""
        if self._sorted_addresses is None:
            self._sorted_addresses = sorted(self.rows_by_address)
        chosen = self._sorted_addresses[start : start + limit]
        return [json.dumps(self.rows_by_address[address]) for address in chosen]

    def load_rows(self, version: int, digest: str, rows: list[str]) -> bool:
        """Replace all rows by encoded ones of a newer revision."""
        return self.load(version, [decode_row(json.loads(row)) for row in rows])

    def entry_vms(self) -> list[Member]:
        """Return the entry VMs that don't leave."""
        return [
            Member(row.address, 0, 0, row.zone, row.region, False, 0)
            for row in self.rows_by_address.values()
            if row.role == ENTRY_ROLE and row.state != LEAVING_STATE
        ]

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances of backend servers."""
        return tuple(
            Instance(row.address, row.service, row.zone, row.state == LEAVING_STATE)
            for row in self.rows_by_address.values()
            if row.role != ENTRY_ROLE
        )
