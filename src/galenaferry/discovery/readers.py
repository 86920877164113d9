"""Selects the VMs that read a shared table, without any I/O.

The store counts calls: a table that changes a hundred times costs a hundred calls
for each VM that long-polls it. Therefore only a few VMs of each zone, the readers, read
it and broadcast its changes in their zone. They are selected by rendezvous hashing.
While VMs disagree on which members are live, a few more of them read.
"""

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from ..clock import Millis
from ..membership.messages import Member

MAX_RANKED_VMS: Final = 8_192
READERS_PER_ZONE: Final = 2
MIN_READERS: Final = 6
"""Smallest number of readers in a region, for regions with few zones. When a third of
the VMs is cut off at once, the chance that all six are among them is 1 in 700."""
ANNOUNCE_INTERVAL_MS: Final = 1_000.0
"""Interval at which a reader broadcasts its version, so that others see it read."""
READER_TIMEOUT_MS: Final = 1_500.0
"""Time without a notice from any reader after which a VM reads the store itself. New
requests to a draining instance must stop within 2 s (``NodeSettings.drain_timeout``),
of which this leaves half a second."""


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
    better_ranked = 0
    own_rank = rank_of(me.address)
    for member in live:
        zones.add(member.zone)
        if member.address == me.address or member.is_platform_down:
            continue
        if member.zone == me.zone and rank_of(member.address) < own_rank:
            better_ranked += 1
    count = max(READERS_PER_ZONE, math.ceil(MIN_READERS / len(zones)))
    return better_ranked < count


def needs_own_read(
    is_designated_reader: bool, reader_seen_at: Millis, now: Millis
) -> bool:
    """Whether this VM has to read a table from the store itself.

    ``reader_seen_at`` is the time of the last notice from a reader.
    """
    return is_designated_reader or now - reader_seen_at > READER_TIMEOUT_MS


@lru_cache(maxsize=MAX_RANKED_VMS)
def rank_of(address: str) -> int:
    """Return the rank of the VM at an address, the same on all VMs; lower is better."""
    return xxhash.xxh64_intdigest(address.encode())
