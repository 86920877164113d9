"""Instances of backend servers as the VM list gives them."""

from typing import NamedTuple


class Instance(NamedTuple):
    """One instance of a service; ``address`` is IP:PORT."""

    address: str
    service: str
    zone: str
    is_leaving: bool


class Load(NamedTuple):
    """What this VM knows of an instance's present load.

    ``paused_until`` is the time in milliseconds before which the instance
    gets no work because it shed some.
    """

    in_flight: int
    window: int
    paused_until: float


class Shares(NamedTuple):
    """This VM's part of an instance's capacity."""

    connections: int
    slots: int
