"""How the listeners of a VM share the limits on what it holds for clients."""

from typing import Final, NamedTuple

from ..network.json_server import ServerLimits
from .decisions import CallerBounds

MIN_INTERFACE_BYTES: Final = 1_000_000
"""Holds the state of a fleet, or one of its tables, on the way to several clients."""
MIN_INTERFACE_CONNECTIONS: Final = 8


class Share(NamedTuple):
    """Parts of the memory and of the connections that a listener gets."""

    memory: float
    connections: float


STATUS_SHARE: Final = Share(1 / 32, 1 / 64)
"""Part of the readiness checks, and that of the metrics port."""
PEERS_SHARE: Final = Share(1 / 8, 3 / 32)
"""Part of other VMs, many of which may ask for tables at the same time."""
CALLERS_SHARE: Final = Share(13 / 16, 15 / 16)
"""Part of the callers, and of the requests that other VMs pass on. Each of their
connections may need another one to an instance."""


class ListenerBounds(NamedTuple):
    """Limits of the listeners of a VM.

    ``callers`` holds for callers and for requests of other VMs, ``status`` for
    readiness checks and again for the metrics port, ``peers`` for other VMs' requests
    for tables.
    """

    callers: CallerBounds
    status: ServerLimits
    peers: ServerLimits


def divide_bounds(bounds: CallerBounds) -> ListenerBounds:
    """Divide the limits of a VM among its listeners.

    Without limits, callers have none, and the interfaces of the VM have the defaults.
    """
    return ListenerBounds(
        CallerBounds(
            int(bounds.memory_bytes * CALLERS_SHARE.memory),
            int(bounds.connections * CALLERS_SHARE.connections),
        ),
        _limit_interface(bounds, STATUS_SHARE),
        _limit_interface(bounds, PEERS_SHARE),
    )


def _limit_interface(bounds: CallerBounds, share: Share) -> ServerLimits:
    limits = ServerLimits()
    if bounds.memory_bytes:
        memory = max(MIN_INTERFACE_BYTES, int(bounds.memory_bytes * share.memory))
        limits = limits._replace(memory_bytes=memory)
    if bounds.connections:
        count = int(bounds.connections * share.connections)
        limits = limits._replace(connections=max(MIN_INTERFACE_CONNECTIONS, count))
    return limits
