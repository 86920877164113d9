"""Messages and decisions about requests that may crash instances."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..clock import Millis


class NoteKind(IntEnum):
    """What a note says.

    ``SUSPECT``: the request was in flight at an instance when that crashed.
    ``ALIVE``: an instance that was taken to have crashed accepts connections.
    ``CLEARED``: an instance of ``version`` has answered the request, so that it crashes
    none of these; with an empty version an operator has lifted the block.
    ``TRIAL``: the sender lets a suspect request through; others of it should wait.
    ``BLOCKED``: the request was in flight at the crashes of several instances.
    """

    SUSPECT = 1
    ALIVE = 2
    CLEARED = 3
    TRIAL = 4
    BLOCKED = 5


class CrashNote(NamedTuple):
    """News about one request or instance that VMs send to each other.

    Attributes
    ----------
    kind : NoteKind
    fingerprint : bytes
        Of the request (``crashes.fingerprint``); empty for ``ALIVE``.
    instance : int
        ``health.messages.instance_key`` of the instance, 0 if none is meant.
    version : str
        Version of the software of the instance, empty if unknown.
    age : float
        Time since the event, in milliseconds.
    id : int
        Random number that identifies the note when it arrives more than once.
    """

    kind: NoteKind
    fingerprint: bytes = b""
    instance: int = 0
    version: str = ""
    age: Millis = 0.0
    id: int = 0


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may be sent; ``is_trial`` if it is a suspect one."""

    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """Another VM or request tries the same request now; ``until`` in ms at most."""

    until: Millis


@dataclass(frozen=True, slots=True)
class Paused:
    """The request was in flight at two crashes lately; it may be tried at ``until``."""

    until: Millis


@dataclass(frozen=True, slots=True)
class Blocked:
    """The request crashes instances of some versions and is answered by others."""

    crashed_versions: frozenset[str] = frozenset()
    serving_versions: frozenset[str] = frozenset()


Decision = Allowed | Held | Paused | Blocked
"""Whether a request may be sent to an instance."""
