"""Heartbeats between VMs."""

from typing import NamedTuple


class Member(NamedTuple):
    """One entry VM as its own heartbeats describe it.

    ``address`` is IP:PORT of its peer socket. A higher ``incarnation``
    replaces a lower one; within one, ``counter`` grows with every heartbeat.
    ``version`` is that of the configuration in force there, and
    ``is_platform_down`` tells that its reads of the platform fail now.
    """

    address: str
    incarnation: int
    counter: int
    zone: str
    region: str
    is_leaving: bool
    version: int
    is_platform_down: bool = False


class Freshness(NamedTuple):
    """How old a VM's knowledge of the platform is, in milliseconds.

    ``read_age`` is the age of the newest successful read of the configuration
    that it knows of, of its own or by hearsay.
    """

    read_age: int


class Heartbeat(NamedTuple):
    """What a VM tells some others at short intervals.

    ``sample`` names other members that it heard of lately.
    """

    version: int
    digest: str
    freshness: Freshness
    list_revision: int
    sample: tuple[Member, ...]
