"""Instances of backend servers, their load and the criteria for choosing one."""

from enum import Enum
from typing import NamedTuple

from ..clock import Millis
from ..configuration.policy import Policy


class Instance(NamedTuple):
    """One instance of a service; ``address`` is IP:PORT.

    ``id`` identifies an instance whose address may be reused by another one later,
    and ``born`` is its start time in Unix milliseconds. They are empty and 0 if the
    source of the instances does not provide them. ``is_leaving`` is True if the
    instance drains: it is about to stop and takes no new requests. ``slots`` is the
    number of requests that it processes at a time, 0 if not provided; decisions use
    ``Policy.slots_per_instance`` instead. ``cold_until`` is the monotonic time in
    milliseconds until which it is slow after its start. ``sequence`` grows with each
    report that the instance makes of itself. ``version`` is that of its software.
    ``is_relay`` says that it is another VM, which passes requests on to instances.
    ``is_unlisted`` says that its row was removed, and that it stays in use for a while
    as it may be listed again.
    """

    address: str
    service: str
    zone: str
    is_leaving: bool
    id: str = ""
    born: int = 0
    slots: int = 0
    cold_until: float = 0.0
    sequence: int = 0
    version: str = ""
    is_relay: bool = False
    is_unlisted: bool = False

    @property
    def name(self) -> str:
        """Identity of the instance, the key of its connections and health evidence."""
        if self.is_relay:
            return f"via {self.address}"
        return f"{self.id}@{self.born}" if self.id else self.address


class SelectionCriteria(NamedTuple):
    """Criteria for choosing the instance for an attempt.

    ``route`` is the name of the route; latencies and response sizes are compared
    only within one route. ``tried`` holds the addresses that the request was sent
    to before. ``may_relay`` says whether it may go by way of another VM.
    """

    service: str
    route: str
    policy: Policy
    tried: frozenset[str]
    is_idempotent: bool
    may_relay: bool = False


class Use(Enum):
    """Why an instance may be chosen."""

    LISTED = "listed"
    GRACE_PERIOD = "grace period"
    LAST_RESORT = "last resort"
    RELAY = "relay"


class ListState(NamedTuple):
    """State of the list of instances when an instance was chosen, for the log.

    ``version`` is the version of the store up to which the list was complete,
    ``source`` where its latest update came from, and ``confirmed_ago`` the time in
    milliseconds since it was known to be the newest one.
    """

    version: str
    source: str
    confirmed_ago: Millis
    use: Use


class Load(NamedTuple):
    """Current load of an instance as seen by this VM.

    ``in_flight`` and ``window`` are numbers of requests: those in progress and their
    limit. Until ``paused_until``, a monotonic time in milliseconds, the instance
    gets no requests because it shed one, that is, rejected it without executing it.
    """

    in_flight: int
    window: int
    paused_until: float


class CapacityShare(NamedTuple):
    """Number of connections and slots of an instance that this VM may use."""

    connections: int
    slots: int
