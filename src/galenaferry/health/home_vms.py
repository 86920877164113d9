"""Home VMs of a service, by rendezvous hashing over the live VMs.

The home VMs of a service merge the evidence of all VMs about its instances. VMs with
the same members compute the same home VMs, and a member that joins or leaves changes
only those of the services that it is a home VM of [1]_.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

import xxhash

HOMES_PER_SERVICE: Final = 2


def home_vms(
    service: str, members: Iterable[str], count: int = HOMES_PER_SERVICE
) -> tuple[str, ...]:
    """Return the ``count`` members with the highest hash weight for ``service``."""
    return tuple(nlargest(count, members, key=lambda member: _weight(service, member)))


def _weight(service: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}\n{member}".encode())
