"""What callers may send, and how long they may take."""

from typing import NamedTuple

from ..clock import Millis


class CallerLimits(NamedTuple):
    """What callers may send; sizes in bytes, times in milliseconds.

    ``head_timeout`` is the longest time for the head of a request, and
    ``idle_timeout`` that between two requests of a connection.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1 << 40
    head_timeout: Millis = 10_000.0
    idle_timeout: Millis = 75_000.0
