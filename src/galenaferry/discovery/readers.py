"""Selects the VMs that read a shared table, without any I/O.

The store counts calls: a table that changes a hundred times costs a hundred calls
for each VM that long-polls it. Therefore only a few VMs, the readers, read a table and
broadcast its changes to the others. They are selected by rendezvous hashing. While VMs
disagree on which members are live, a few more of them read.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from ..clock import Millis
from ..membership.messages import Member

READERS_PER_TABLE: Final = 6
"""Number of readers. When a third of the VMs is cut off at once, the chance that all
six are among them is 1 in 700."""
ANNOUNCE_INTERVAL_MS: Final = 1_000.0
"""Interval at which a reader broadcasts its version, so that others see it read."""
READER_TIMEOUT_MS: Final = 1_500.0
"""Time without a notice from any reader after which a VM reads the store itself. New
requests to a draining instance must stop within 2 s (``NodeSettings.drain_timeout``),
of which this leaves half a second."""


def is_reader(me: Member, live: Iterable[Member], table: str) -> bool:
    """Whether this VM is among the ``READERS_PER_TABLE`` readers of a table.

    Parameters
    ----------
    me : Member
    live : iterable of Member
        Live VMs of the region, including this one. Others whose reads from the
        store fail are skipped.
    table : str
    """
    own_rank = _rank(table, me.address)
    others = (
        member.address
        for member in live
        if member.address != me.address and not member.is_platform_down
    )
    better_ranked = sum(1 for address in others if _rank(table, address) < own_rank)
    return better_ranked < READERS_PER_TABLE


def needs_own_read(
    is_designated_reader: bool, reader_seen_at: Millis, now: Millis
) -> bool:
    """Whether this VM has to read a table from the store itself.

    ``reader_seen_at`` is the time of the last notice from a reader.
    """
    return is_designated_reader or now - reader_seen_at > READER_TIMEOUT_MS


def _rank(table: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{table}\n{address}".encode())
