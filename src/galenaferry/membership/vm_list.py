"""The VM list of the platform as an ordered log of row changes."""

import json
from collections import OrderedDict
from typing import Any, Final, NamedTuple

from ..backends.messages import Instance
from ..json_data import FIELD_ERRORS, parse_json
from ..spreading.messages import ApplyResult
from .messages import Member

HISTORY_LENGTH: Final = 1024
"""Number of changes kept for VMs that lag behind."""
ENTRY_ROLE: Final = "entry"
LEAVING_STATE: Final = "leaving"


class VmRow(NamedTuple):
    """Row of the VM list; ``role`` is ``entry`` (a proxy VM) or ``backend``."""

    address: str
    role: str
    service: str
    zone: str
    region: str
    state: str


class VmChange(NamedTuple):
    """Change of one row; ``row`` is None when the row was removed."""

    revision: int
    address: str
    row: VmRow | None


def encode_vm_change(change: VmChange) -> str:
    """Return the change as one line of JSON."""
    return json.dumps([change.revision, change.address, change.row])


def decode_vm_change(text: str) -> VmChange:
    """Decode a change from one line of JSON.

    Raises
    ------
    ValueError
        When the text is not an encoded change.
    """
    try:
        revision, address, row = parse_json(text)
        return VmChange(int(revision), str(address), row and decode_row(row))
    except FIELD_ERRORS as error:
        raise ValueError(f"invalid change of the VM list: {error}") from None


def decode_row(data: Any) -> VmRow:
    """Decode a row from JSON data.

    Raises
    ------
    ValueError
        When the data is not a list with one item for each field.
    """
    if not isinstance(data, list) or len(data) != len(VmRow._fields):
        raise ValueError("a row of the VM list must be a list of six strings")
    return VmRow(*(str(part) for part in data))


class VmListLog:
    """VM list of one region, a ``spreading.ReplicatedLog``.

    The versions of the log are the revisions of the list.
    """

    def __init__(self) -> None:
        self.row_by_address: dict[str, VmRow] = {}
        self._change_by_revision: OrderedDict[int, VmChange] = OrderedDict()
        self._revision = 0
        self._sorted_addresses: list[str] | None = None

    @property
    def version(self) -> int:
        """Revision of the list."""
        return self._revision

    @property
    def digest(self) -> str:
        """Empty, since the list has a single writer, the platform."""
        return ""

    def apply(self, change: VmChange) -> ApplyResult:
        """Apply ``change`` if it directly follows the current revision."""
        if change.revision <= self._revision:
            return ApplyResult.DUPLICATE
        if change.revision > self._revision + 1:
            return ApplyResult.GAP
        if change.row is None:
            self.row_by_address.pop(change.address, None)
        else:
            self.row_by_address[change.address] = change.row
        self._revision = change.revision
        self._sorted_addresses = None
        self._change_by_revision[change.revision] = change
        while len(self._change_by_revision) > HISTORY_LENGTH:
            self._change_by_revision.popitem(last=False)
        return ApplyResult.APPLIED

    def load(self, revision: int, rows: list[VmRow]) -> bool:
        """Replace all rows if ``revision`` is newer; return whether it was."""
        if revision <= self._revision:
            return False
        self.row_by_address = {row.address: row for row in rows}
        self._revision = revision
        self._sorted_addresses = None
        self._change_by_revision.clear()
        return True

    def apply_encoded(self, entry: str) -> ApplyResult:
        """Apply an encoded change, as ``apply`` does."""
        return self.apply(decode_vm_change(entry))

    def encoded_after(self, version: int, limit: int) -> list[str] | None:
        """Return up to ``limit`` encoded changes after a revision.

        Returns None when the history does not reach back that far.
        """
        if version >= self._revision:
            return []
        if version + 1 not in self._change_by_revision:
            return None
        last = min(self._revision, version + limit)
        changes = self._change_by_revision
        return [encode_vm_change(changes[n]) for n in range(version + 1, last + 1)]

    def row_count(self) -> int:
        """Return the number of rows."""
        return len(self.row_by_address)

    def rows_from(self, start: int, limit: int) -> list[str]:
        """Return up to ``limit`` encoded rows, sorted by address."""
        if self._sorted_addresses is None:
            self._sorted_addresses = sorted(self.row_by_address)
        chosen = self._sorted_addresses[start : start + limit]
        return [json.dumps(self.row_by_address[address]) for address in chosen]

    def load_rows(self, version: int, digest: str, rows: list[str]) -> bool:
        """Replace all rows by encoded ones if ``version`` is newer."""
        return self.load(version, [decode_row(parse_json(row)) for row in rows])

    def entry_vms(self) -> list[Member]:
        """Return the entry VMs that are not leaving, as unconfirmed members."""
        return [
            Member(row.address, 0, 0, row.zone, row.region, False, 0)
            for row in self.row_by_address.values()
            if row.role == ENTRY_ROLE and row.state != LEAVING_STATE
        ]

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances of all backend servers in the list."""
        return tuple(
            Instance(row.address, row.service, row.zone, row.state == LEAVING_STATE)
            for row in self.row_by_address.values()
            if row.role != ENTRY_ROLE
        )
