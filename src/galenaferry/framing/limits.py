"""Size limits and timeouts of caller connections."""

import sys
from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .requests import MAX_HEADER_COUNT, RequestLimits

ADDED_HEAD_BYTES: Final = 2_048
"""Bytes of the headers that a VM adds to a request for another VM."""
ADDED_HEADER_COUNT: Final = 3
"""Their number: the id, the time left and the origin."""
MIN_RELAYED_HEAD_BYTES: Final = 262_144
"""Head of a request of another VM that is read at least: the other VM may know a higher
limit already."""


class CallerLimits(NamedTuple):
    """Limits of caller connections; sizes in bytes, timeouts in milliseconds.

    ``head_timeout`` limits the time to receive the head of a request, and
    ``idle_timeout`` the time between two requests on one connection. ``is_known`` is
    False if they are defaults in place of those of a configuration: a caller whose
    request exceeds them may be right.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1 << 40
    head_timeout: Millis = 10_000.0
    idle_timeout: Millis = 75_000.0
    is_known: bool = True


UNKNOWN_LIMITS: Final = CallerLimits(is_known=False)
"""Limits while there is no configuration."""

LimitRequests = Callable[[CallerLimits], RequestLimits]
"""Returns the limits on the requests of a listener."""


def limit_callers(limits: CallerLimits) -> RequestLimits:
    """Return the limits on the requests of callers."""
    return RequestLimits(limits.head_bytes, limits.body_bytes, limits.is_known)


def limit_vms(limits: CallerLimits) -> RequestLimits:
    """Return the limits on the requests of other VMs, which have checked the callers'.

    They bound what is held in memory. A body is passed on as it arrives.
    """
    return RequestLimits(
        max(limits.head_bytes + ADDED_HEAD_BYTES, MIN_RELAYED_HEAD_BYTES),
        sys.maxsize,
        is_known=False,
        header_count=MAX_HEADER_COUNT + ADDED_HEADER_COUNT,
    )
