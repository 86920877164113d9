"""Check whether an address accepts connections, without sending anything."""

from collections.abc import Callable
from typing import Final

from ..clock import Millis
from ..ini import parse_address
from .loop import Loop
from .stream import connect

CONNECT_TIMEOUT_MS: Final[Millis] = 300.0
"""The connect timeout of requests (``routing.hosts``)."""


ACCEPTED_MS: Final[Millis] = 30.0
"""Time for which an accepted connection has to stay open. A proxy in front of an
instance that is down accepts a connection and closes it at once."""


class ConnectCheck:
    """One connection to ``address`` (IP:PORT), closed soon after it is established.

    ``done`` is called once with whether the connection was accepted and stayed open.
    """

    def __init__(self, loop: Loop, address: str, done: Callable[[bool], None]) -> None:
        self._loop = loop
        self._done: Callable[[bool], None] | None = done
        self._stream = connect(loop, parse_address(address), self)
        loop.after(CONNECT_TIMEOUT_MS, lambda: self._finish(False))

    def on_connected(self) -> None:
        """Handle that the peer accepts (called by the stream)."""
        self._loop.after(ACCEPTED_MS, lambda: self._finish(True))

    def on_data(self, data: bytes) -> None:
        """Do nothing: nothing was asked (called by the stream)."""

    def on_drained(self) -> None:
        """Do nothing: nothing is sent (called by the stream)."""

    def on_ended(self, reason: str) -> None:
        """Handle that the connection failed (called by the stream)."""
        self._finish(False)

    def _finish(self, is_accepted: bool) -> None:
        done, self._done = self._done, None
        if done is not None:
            self._stream.close()
            done(is_accepted)
