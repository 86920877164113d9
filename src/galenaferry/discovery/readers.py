"""Which VMs read a table for all of them: a pure decision.

Answers a store whose calls are counted: a table that changes a hundred times costs
each VM that waits for its news a hundred calls. A few VMs read and tell the others.
Views of the live VMs may differ; then a few more read.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from ..clock import Millis
from ..membership.messages import Member

READERS_PER_TABLE: Final = 6
"""With a third of the VMs cut off at once, all of six are in one case of 700."""
ANNOUNCE_INTERVAL_MS: Final = 1_000.0
"""How often a reader tells its version, so that the others know it lives."""
READER_TIMEOUT_MS: Final = 1_500.0
"""Without a word from any reader for so long a VM reads by itself: half a second
is left of the time in which a leaving instance must get nothing new."""


def is_reader(me: Member, live: Iterable[Member], table: str) -> bool:
    """Whether this VM is one of those that read a table.

    Parameters
    ----------
    me : Member
    live : iterable of Member
        The live VMs of the region, this one included. Those that the store turns
        away are passed over.
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
    """Whether this VM reads the store now.

    ``reader_seen_at`` is when a reader was last heard of, in milliseconds.
    """
    return is_designated_reader or now - reader_seen_at > READER_TIMEOUT_MS


def _rank(table: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{table}\n{address}".encode())
