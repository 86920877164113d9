"""Decisions about the memory and the connections that callers take up."""

from collections.abc import Iterable
from enum import Enum, auto
from typing import Final, NamedTuple

from ..clock import Millis

RUNTIME_BYTES: Final = 70_000_000
"""Memory of a process without callers: 53 MB, and the tables of a large fleet."""
BYTES_PER_MB: Final = 1_000_000
COPIES: Final = 2
"""Memory of the process for each counted byte: objects, copies and fragmentation."""
MIN_MEMORY_BYTES: Final = 4_000_000
"""Holds a single request with an answer of 1 MiB on the way from and to sockets."""
FILE_DESCRIPTORS: Final = 200
"""Descriptors that are reserved for files."""
MIN_CONNECTIONS: Final = 16
UNREAD_MS: Final[Millis] = 2_000.0
"""Time without reading after which a caller's connection may make room for a new one.
Callers that read slowly receive something within a few round trips; what they have read
is looked at once a second."""
ENOUGH_UNREAD: Final = 16
"""Unread connections among which the one that makes room is chosen. The search ends
there, since each new connection of a crowd repeats it."""
ORDINARY_BYTES: Final = 98_304
"""Largest ordinary request: a body that is kept for another attempt, and its head."""


class CallerBounds(NamedTuple):
    """Limits on what is held for all callers together; 0 stands for no limit.

    ``memory_bytes`` is the budget of counted bytes, ``connections`` the number of open
    connections.
    """

    memory_bytes: int = 0
    connections: int = 0


class Pressure(Enum):
    """How much of the budget is in use."""

    NONE = auto()
    HIGH = auto()
    FULL = auto()


class Holding(NamedTuple):
    """What one connection holds.

    ``is_ordinary`` says that it has no requests sent ahead and no unread answers.
    """

    held_bytes: int
    is_ordinary: bool


class Usage(NamedTuple):
    """What all connections hold together, and their number."""

    held_bytes: int
    connections: int


class Idleness(NamedTuple):
    """What a connection waits for.

    ``is_between_requests`` says that no request is in progress or on its way, and
    ``is_unstarted`` that a request is on its way whose head is not complete.
    ``unread_time`` is the time for which the caller has read nothing of the answers
    that wait for it, in milliseconds; 0 if none waits. ``has_requests_ahead`` says that
    it has sent more requests than the one in progress.
    """

    is_between_requests: bool
    is_unstarted: bool
    unread_time: Millis = 0.0
    has_requests_ahead: bool = False

    @property
    def is_replaceable(self) -> bool:
        """Whether the connection may be closed for a new one."""
        return (
            self.is_between_requests
            or self.is_unstarted
            or self.unread_time >= UNREAD_MS
            or self.has_requests_ahead
        )


def derive_bounds(memory_mb: float, descriptors: float) -> CallerBounds:
    """Return the limits for a VM with the given memory and file descriptors.

    0 stands for an unknown value.
    """
    memory = connections = 0
    if memory_mb:
        free_bytes = int(memory_mb * BYTES_PER_MB) - RUNTIME_BYTES
        memory = max(MIN_MEMORY_BYTES, free_bytes // COPIES)
    if descriptors:
        # Each of them may need a connection to an instance.
        connections = max(MIN_CONNECTIONS, (int(descriptors) - FILE_DESCRIPTORS) // 2)
    return CallerBounds(memory, connections)


def find_pressure(bounds: CallerBounds, used_bytes: int) -> Pressure:
    """Return how much of the budget is in use."""
    limit = bounds.memory_bytes
    if not limit or used_bytes * 2 <= limit:
        return Pressure.NONE
    return Pressure.HIGH if used_bytes <= limit else Pressure.FULL


def must_pause(bounds: CallerBounds, usage: Usage, holding: Holding) -> bool:
    """Whether reading from a connection pauses, because it holds too much."""
    if find_pressure(bounds, usage.held_bytes) is Pressure.NONE:
        return False
    if holding.is_ordinary and holding.held_bytes <= ORDINARY_BYTES:
        return False
    share = bounds.memory_bytes // 2 // max(1, usage.connections)
    return holding.held_bytes > share


def may_resume_all(bounds: CallerBounds, used_bytes: int) -> bool:
    """Whether little enough is in use for all paused connections to read on."""
    return used_bytes * 8 < bounds.memory_bytes * 3


def is_relieved(bounds: CallerBounds, used_bytes: int) -> bool:
    """Whether enough has been freed after the budget was exceeded."""
    return used_bytes * 8 <= bounds.memory_bytes * 7


def relief_order(holdings: Iterable[Holding]) -> tuple[list[int], list[int]]:
    """Return the positions of the connections in the order of their relief.

    Returns
    -------
    tuple of list of int
        Those that hold more than an ordinary request, and the others; of each the
        heaviest first.
    """
    numbered = list(enumerate(holdings))
    numbered.sort(key=lambda item: -item[1].held_bytes)
    heavy = [number for number, holding in numbered if not holding.is_ordinary]
    ordinary = [number for number, holding in numbered if holding.is_ordinary]
    return heavy, ordinary


def choose_replaced(connections: Iterable[Idleness]) -> int | None:
    """Return the position of the connection that makes room for a new one, if any.

    An idle one goes first, then one whose first request has not arrived, then the one
    whose caller has left its answers unread for the longest time, then one whose caller
    has sent requests ahead. Callers with a single request in progress keep theirs.

    Parameters
    ----------
    connections : iterable of Idleness
        Connections, the one without activity for the longest time first.
    """
    unstarted: int | None = None
    unread: int | None = None
    ahead: int | None = None
    longest_time = 0.0
    unread_count = 0
    for number, connection in enumerate(connections):
        if connection.is_between_requests:
            return number
        if connection.is_unstarted:
            unstarted = number if unstarted is None else unstarted
        elif connection.unread_time >= UNREAD_MS:
            unread_count += 1
            if connection.unread_time > longest_time:
                unread, longest_time = number, connection.unread_time
            if unread_count == ENOUGH_UNREAD:
                break
        elif connection.has_requests_ahead:
            ahead = number if ahead is None else ahead
    found = (unstarted, unread, ahead)
    return next((number for number in found if number is not None), None)
