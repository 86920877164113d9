"""Decisions on the connections of a JSON server, as functions without state."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...clock import Millis
from .limits import ServerLimits

CLOSE_TIMEOUT_MS: Final[Millis] = 1_000.0
"""Time allowed to a client for closing its connection after the last response."""


@dataclass(frozen=True, slots=True)
class Idle:
    """No part of a request has been received since the last response."""


@dataclass(frozen=True, slots=True)
class Receiving:
    """A part of a request has been received."""


@dataclass(frozen=True, slots=True)
class Queued:
    """A complete request waits for its turn.

    ``is_first`` is whether it is the first of its connection.
    """

    is_first: bool


@dataclass(frozen=True, slots=True)
class Sending:
    """The kernel has not accepted the whole response: the client reads slowly."""


@dataclass(frozen=True, slots=True)
class Closing:
    """The last response has been sent; the client has not closed the connection."""


Phase = Idle | Receiving | Queued | Sending | Closing


def time_limit(limits: ServerLimits, phase: Phase) -> Millis:
    """Return the time without progress after which a connection is closed."""
    match phase:
        case Idle():
            return limits.idle_timeout
        case Receiving():
            return limits.receive_timeout
        case Queued() | Sending():
            return limits.send_timeout
        case Closing():
            return CLOSE_TIMEOUT_MS


def choose_replaced(phases: Iterable[Phase]) -> int | None:
    """Return the position of the connection that makes room for a new one, if any.

    A connection whose first request is about to be answered is kept, so that a client
    that asks once gets its response however many others ask again and again.

    Parameters
    ----------
    phases : iterable of Phase
        Phases of the connections, the one without progress for the longest time first.
    """
    queued: int | None = None
    for number, phase in enumerate(phases):
        match phase:
            case Queued(is_first=True):
                continue
            case Queued():
                queued = number if queued is None else queued
            case Idle() | Receiving() | Sending() | Closing():
                return number
    return queued


def is_above_budget(limits: ServerLimits, used_bytes: int) -> bool:
    """Whether connections must be closed because they hold too much together."""
    return used_bytes > limits.memory_bytes


def is_relieved(limits: ServerLimits, used_bytes: int) -> bool:
    """Whether enough connections were closed after the budget was exceeded."""
    return used_bytes * 8 <= limits.memory_bytes * 7
