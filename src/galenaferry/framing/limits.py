"""Size limits and timeouts of caller connections."""

from typing import Final, NamedTuple

from ..clock import Millis


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
