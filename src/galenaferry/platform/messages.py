"""Requests to the platform and its answers."""

from collections.abc import Callable
from typing import NamedTuple

from result import Result

from ..backends.messages import Instance
from ..membership.messages import Member

ABSENT = 0
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


class VmList(NamedTuple):
    """The platform's list of VMs, which lags behind reality."""

    revision: int
    entries: tuple[Member, ...]
    instances: tuple[Instance, ...]


ReadDone = Callable[[Result[Row | None, PlatformError]], None]
ScanDone = Callable[[Result[list[Row], PlatformError]], None]
CommitDone = Callable[[Result[Committed | Conflict, PlatformError]], None]
ListDone = Callable[[Result[VmList, PlatformError]], None]
ObjectDone = Callable[[Result[str | None, PlatformError]], None]
StoreDone = Callable[[Result[None, PlatformError]], None]
