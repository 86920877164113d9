"""What a VM of such a fleet is told at its start."""

from typing import NamedTuple

from ..attempts.fleet_budget import BudgetBounds
from ..clock import Millis

Address = tuple[str, int]


class NodeSettings(NamedTuple):
    """Addresses and bounds of one VM; times in milliseconds.

    ``callers``, ``readiness`` and ``peers`` are the addresses that it listens on for
    requests, for the balancer and operators, and for other VMs (TCP and UDP).
    ``drain_timeout`` is the time after which an instance that leaves must get nothing
    new, ``grace_period`` the time between the request to stop and the end of the
    process, and ``floor_share`` the part of a service's sound instances that always
    get work.
    ``is_first_start`` tells that the fleet as a whole has never run before.
    """

    name: str
    zone: str
    region: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    store: Address
    drain_timeout: Millis
    grace_period: Millis
    floor_share: float
    budget: BudgetBounds
    is_first_start: bool = False
