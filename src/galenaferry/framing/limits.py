"""Size limits and timeouts of caller connections."""

from typing import NamedTuple

from ..clock import Millis


class CallerLimits(NamedTuple):
    """Limits of caller connections; sizes in bytes, timeouts in milliseconds.

    ``head_timeout`` limits the time to receive the head of a request, and
    ``idle_timeout`` the time between two requests on one connection.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1 << 40
    head_timeout: Millis = 10_000.0
    idle_timeout: Millis = 75_000.0
