"""Instances of backend servers as the VM list gives them."""

from typing import NamedTuple

from ..configuration.policy import Policy


class Instance(NamedTuple):
    """One instance of a service; ``address`` is IP:PORT.

    ``id`` names an instance where the list gives one, since its address may go to
    another one later, and ``born`` is the Unix millisecond of its start; both are
    empty elsewhere. ``cold_until`` is the monotonic time in milliseconds until which
    the instance is slow.
    """

    address: str
    service: str
    zone: str
    is_leaving: bool
    id: str = ""
    born: int = 0
    slots: int = 0
    cold_until: float = 0.0

    @property
    def name(self) -> str:
        """The identity by which connections and evidence are kept."""
        return f"{self.id}@{self.born}" if self.id else self.address


class SelectionCriteria(NamedTuple):
    """What is asked of the choice of an instance.

    ``route`` is the class of work that latencies and sizes are compared within,
    ``tried`` the addresses that the request has been sent to before.
    """

    service: str
    route: str
    policy: Policy
    tried: frozenset[str]
    is_idempotent: bool


class Load(NamedTuple):
    """What this VM knows of an instance's present load.

    ``paused_until`` is the time in milliseconds before which the instance
    gets no work because it shed some.
    """

    in_flight: int
    window: int
    paused_until: float


class CapacityShare(NamedTuple):
    """This VM's part of an instance's capacity."""

    connections: int
    slots: int
