"""Requests to the platform and its answers."""

from collections.abc import Callable
from typing import NamedTuple

from result import Result

from ..membership.vm_list import VmChange, VmRow

ABSENT_REVISION = 0
"""Revision of a row that does not exist."""


class Row(NamedTuple):
    """A row of the table; ``revision`` changes with every write."""

    key: str
    value: str
    revision: int


class Condition(NamedTuple):
    """The revision that a row must have for a transaction to take effect."""

    key: str
    revision: int


class Put(NamedTuple):
    """A new value for a row."""

    key: str
    value: str


class Transaction(NamedTuple):
    """Writes that take effect together, or not at all."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Committed(NamedTuple):
    """The transaction took effect; its rows have this revision."""

    revision: int


class Conflict(NamedTuple):
    """The row ``key`` did not meet its condition; nothing was written."""

    key: str


class PlatformError(NamedTuple):
    """The platform gave no definite answer.

    ``may_have_run`` tells whether a write may have taken effect or still may.
    """

    text: str
    may_have_run: bool


class VmListUpdate(NamedTuple):
    """News of the platform's list of VMs, which lags behind reality.

    ``rows`` are all rows at ``revision``; where the platform still knows every
    change since the asked revision they are None and ``changes`` tell.
    """

    revision: int
    rows: tuple[VmRow, ...] | None
    changes: tuple[VmChange, ...]


ReadCallback = Callable[[Result[Row | None, PlatformError]], None]
ScanCallback = Callable[[Result[list[Row], PlatformError]], None]
CommitCallback = Callable[[Result[Committed | Conflict, PlatformError]], None]
VmListCallback = Callable[[Result[VmListUpdate, PlatformError]], None]
GetObjectCallback = Callable[[Result[str | None, PlatformError]], None]
PutObjectCallback = Callable[[Result[None, PlatformError]], None]
