"""Selects the VMs that read a shared table, without any I/O.

The store counts calls: a table that changes a hundred times costs a hundred calls
for each VM that long-polls it. Therefore only a few VMs of each zone, the readers, read
it and broadcast its changes in their zone. They are the VMs with the fastest links,
since each sends a change to all VMs of its zone; among equal ones a hash decides. While
VMs disagree on which members are live, a few more of them read.
"""

import math
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Final

import xxhash

from ..membership.messages import Member

MAX_RANKED_VMS: Final = 8_192
MAX_LINK_CLASS: Final = 255
READERS_PER_ZONE: Final = 2
MIN_READERS: Final = 6
"""Smallest number of readers in a region, for regions with few zones. When a third of
the VMs is cut off at once, the chance that all six are among them is 1 in 700."""
ANNOUNCE_INTERVAL_MS: Final = 1_000.0
"""Interval at which a reader broadcasts its version, so that others see it read."""


def is_reader(me: Member, live: Iterable[Member]) -> bool:
    """Whether this VM is among the readers of its zone.

    All shared tables have the same readers. Each zone has ``READERS_PER_ZONE``, more if
    the region would have fewer than ``MIN_READERS`` otherwise.

    Parameters
    ----------
    me : Member
    live : iterable of Member
        Live VMs of the region, including this one. Others whose reads from the
        store fail are skipped.
    """
    zones = {me.zone}
    others = []
    for member in live:
        zones.add(member.zone)
        if member.zone == me.zone and member.address != me.address:
            others.append(member)
    count = max(READERS_PER_ZONE, math.ceil(MIN_READERS / len(zones)))
    able = [member for member in others if not member.is_platform_down]
    if _is_among_first(me, able, count, reader_order):
        return True
    # VMs of an earlier version expect notices from those that only the hash selects.
    has_earlier_version = any(not member.link_class for member in others)
    return has_earlier_version and _is_among_first(me, able, count, _hash_order)


def reader_order(member: Member) -> tuple[int, int]:
    """Return the sort key by which the readers are the first VMs of a zone."""
    return -member.link_class, rank_of(member.address)


def link_class_of(link_rate: float) -> int:
    """Return the class of a link, 0 if its bandwidth is not known.

    Links of one class differ by less than a factor of two. ``link_rate`` is in bytes
    per millisecond.
    """
    return min(MAX_LINK_CLASS, int(link_rate).bit_length())


def _is_among_first(
    me: Member,
    others: list[Member],
    count: int,
    order: Callable[[Member], tuple[int, int]],
) -> bool:
    own = order(me)
    return sum(order(member) < own for member in others) < count


def _hash_order(member: Member) -> tuple[int, int]:
    return 0, rank_of(member.address)


@lru_cache(maxsize=MAX_RANKED_VMS)
def rank_of(address: str) -> int:
    """Return the rank of the VM at an address, the same on all VMs; lower is better."""
    return xxhash.xxh64_intdigest(address.encode())
