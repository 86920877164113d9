"""Request and result types of the platform client."""

from collections.abc import Callable
from typing import NamedTuple

from result import Result

from ..membership.vm_list import VmChange, VmRow

ABSENT_REVISION = 0
"""Revision in a condition which requires that the row does not exist."""


class Row(NamedTuple):
    """A row of the platform's table; ``revision`` changes with every write."""

    key: str
    value: str
    revision: int


class Condition(NamedTuple):
    """Revision that a row must have for the transaction to be committed."""

    key: str
    revision: int


class Put(NamedTuple):
    """A new value for a row."""

    key: str
    value: str


class Transaction(NamedTuple):
    """Atomic writes: all are committed if all conditions hold, else none."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Committed(NamedTuple):
    """The transaction was committed; its rows now have this revision."""

    revision: int


class Conflict(NamedTuple):
    """The row ``key`` did not meet its condition, so nothing was written."""

    key: str


class PlatformError(NamedTuple):
    """The platform gave no definite result.

    ``may_have_run`` is whether a write may have taken effect or may do so later.
    """

    text: str
    may_have_run: bool


class VmListUpdate(NamedTuple):
    """Update of the platform's VM list, which lags behind the actual VMs.

    While the platform still has every change since the requested revision,
    ``changes`` holds these and ``rows`` is None. Otherwise ``rows`` holds all rows
    at ``revision`` and ``changes`` is empty.
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
