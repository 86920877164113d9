"""Selects the VMs that check an instance which another VM reports as crashed."""

from collections.abc import Iterable
from typing import Final

import xxhash

VERIFIERS: Final = 3
"""VMs that check a reported crash. A partition of some VMs rarely has all of them."""


def is_verifier(me: str, live: Iterable[str], key: int) -> bool:
    """Whether this VM is among the verifiers of an instance, by rendezvous hashing.

    Parameters
    ----------
    me : str
        Address of this VM.
    live : iterable of str
        Addresses of the live VMs.
    key : int
        ``health.messages.instance_key`` of the instance.
    """
    own_rank = _rank(me, key)
    better_ranked = sum(
        1 for address in live if address != me and _rank(address, key) < own_rank
    )
    return better_ranked < VERIFIERS


def _rank(address: str, key: int) -> int:
    return xxhash.xxh64_intdigest(address.encode(), seed=key)
