"""Limits on what the clients of a JSON server can make it hold."""

from typing import Final, NamedTuple

from ...clock import Millis

BYTES_PER_MIB: Final = 1 << 20


class ServerLimits(NamedTuple):
    """Limits of one JSON server; sizes in bytes, timeouts in milliseconds.

    ``connections`` is the number of open connections, and ``memory_bytes`` the memory
    for all of them. ``head_bytes`` and ``body_bytes`` are the maximum sizes of a
    request. ``receive_timeout`` limits the time between two parts of a request,
    ``send_timeout`` the time in which a client reads no part of a response, and
    ``idle_timeout`` the time between two requests on one connection.
    """

    connections: int = 256
    memory_bytes: int = 16 * BYTES_PER_MIB
    head_bytes: int = 8_192
    body_bytes: int = 16_384
    receive_timeout: Millis = 10_000.0
    send_timeout: Millis = 30_000.0
    idle_timeout: Millis = 75_000.0
