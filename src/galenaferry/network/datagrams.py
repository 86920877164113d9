"""Non-blocking UDP socket on the event loop."""

import socket
from collections.abc import Callable
from typing import Final

from .loop import READABLE, Loop

MAX_DATAGRAM_BYTES: Final = 65_535
MAX_RECEIVES_PER_WAKEUP: Final = 64
"""Datagrams received before other sockets get their turn."""

Address = tuple[str, int]
"""IP address and port."""


class DatagramSocket:
    """Bound UDP socket that passes every received datagram to a callback.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        Local IP address and port.
    on_datagram : callable
        Called with the payload and the sender's address.

    Raises
    ------
    OSError
        When the address can't be bound.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_datagram: Callable[[bytes, Address], None],
    ) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._on_datagram = on_datagram
        loop.watch(self._sock, READABLE, self._on_ready)

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; it is dropped if the buffer is full or on an error."""
        try:
            self._sock.sendto(data, address)
        except OSError:
            return

    def _on_ready(self, flags: int) -> None:
        for _ in range(MAX_RECEIVES_PER_WAKEUP):
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(data, (address[0], address[1]))
