"""Bounds and results of rate limits, and what VMs report to each other."""

from typing import Final, NamedTuple

import xxhash

from ..clock import Millis

COUNT_MASK: Final = 0xFFFF_FFFF
"""Totals are sent modulo 2**32."""
MAX_ROWS_PER_REPORT: Final = 64
"""Workspaces that one datagram names."""


class QuotaBounds(NamedTuple):
    """Bound on the requests of a limited workspace that run.

    In any ``window`` (milliseconds) they are at most ``1 + overage`` times what the
    limit allows, plus ``slack`` requests.
    """

    window: Millis
    overage: float
    slack: float


class Admitted(NamedTuple):
    """The request may be sent; it has been charged if its workspace is limited."""


class OverLimit(NamedTuple):
    """The workspace has no room for ``retry_after`` milliseconds."""

    retry_after: Millis


class WorkspaceUsage(NamedTuple):
    """Requests of a workspace that one VM has admitted.

    ``key`` is a ``workspace_key``, ``total`` counts since the start of the VM modulo
    2**32, less refunds, and ``recent`` counts the last 1 to 2 s.
    """

    key: int
    total: int
    recent: int


class VmUsage(NamedTuple):
    """Usage at the VM with an address and an incarnation.

    ``sequence`` grows with each report of the VM. Without rows, it says that the VM is
    there.
    """

    address: str
    incarnation: int
    sequence: int
    rows: tuple[WorkspaceUsage, ...] = ()


class UsageReport(NamedTuple):
    """Usage that a VM reports of itself, or a hub forwards.

    ``is_for_zone`` asks the receiver to forward it within its zone.
    """

    usages: tuple[VmUsage, ...]
    is_for_zone: bool = False


def workspace_key(name: str) -> int:
    """Return the 64-bit key of a workspace in messages between VMs."""
    return xxhash.xxh64_intdigest(name.encode())
