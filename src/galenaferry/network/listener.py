"""Non-blocking listening TCP socket on the event loop."""

import socket
from collections.abc import Callable
from typing import Final

from .loop import READABLE, Loop

BACKLOG: Final = 1024
"""Connections that the kernel queues until they are accepted."""
MAX_ACCEPTS_PER_WAKEUP: Final = 16
"""Connections accepted before other sockets get their turn."""


class Listener:
    """Listening socket that passes every new connection to a callback.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        IP address and port to listen on.
    on_accepted : callable
        Called with the non-blocking socket of every accepted connection.

    Raises
    ------
    OSError
        When the address can't be bound.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket], None],
    ) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._loop = loop
        self._on_accepted = on_accepted
        self.is_open = True
        loop.watch(self._sock, READABLE, self._on_ready)

    @property
    def port(self) -> int:
        """Port that the socket listens on."""
        return int(self._sock.getsockname()[1])

    def close(self) -> None:
        """Stop listening; accepted connections stay open.

        Connections that wait in the kernel's queue are accepted first, since closing
        the socket would reset them.
        """
        while self.is_open and self._accept_next():
            pass
        if self.is_open:
            self.is_open = False
            self._loop.unwatch(self._sock)
            self._sock.close()

    def _on_ready(self, flags: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if not (self.is_open and self._accept_next()):
                return

    def _accept_next(self) -> bool:
        """Accept one connection; return False if none waits."""
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accepted(sock)
        return True
