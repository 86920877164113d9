"""TCP proxy on the loopback address that injects network faults."""

import socket
import struct
from collections.abc import Callable

from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect

Address = tuple[str, int]

FAULTS = ("delay", "reset", "silence", "one_way")
DELAY_MS = 300.0


class Proxy:
    """Forward connections to a target; ``fault`` is empty or one of ``FAULTS``.

    ``delay`` holds all bytes back by ``DELAY_MS``, ``reset`` resets connections,
    ``silence`` drops the bytes of both directions and ``one_way`` those from the
    target. A connection that drops bytes keeps dropping them after the fault, as when
    a middlebox has lost its connection state; new connections work again. ``is_cut``
    says of a client's and the own address whether their connection is reset.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        target: tuple[str, int],
        is_cut: Callable[[Address, Address], bool] = lambda client, server: False,
    ) -> None:
        self.loop = loop
        self.target = target
        self.fault = ""
        self._pairs: list[_ConnectionPair] = []
        self._address = address
        self._is_cut = is_cut
        self._listener = Listener(loop, address, self._accept)

    def start_fault(self, fault: str) -> None:
        """Start a fault on all open and new connections."""
        self.fault = fault
        self._pairs = [pair for pair in self._pairs if pair.is_open]
        for pair in self._pairs:
            if fault == "reset":
                pair.reset()
            elif fault in ("silence", "one_way"):
                pair.drop_bytes(both_ways=fault == "silence")

    def end_fault(self) -> None:
        """End the fault; connections that drop bytes keep dropping them."""
        self.fault = ""

    def silence_open(self) -> None:
        """Let the open connections drop all further bytes; new ones work."""
        for pair in self._pairs:
            if pair.is_open:
                pair.drop_bytes(both_ways=True)

    def go_down(self) -> None:
        """Close all connections and refuse new ones, as when a process crashed."""
        self._listener.close()
        for pair in self._pairs:
            pair.reset()
        self._pairs = []

    def come_up(self) -> None:
        """Accept connections again."""
        if not self._listener.is_open:
            self._listener = Listener(self.loop, self._address, self._accept)

    def reset_cut(self) -> None:
        """Reset the connections of clients that are cut off now."""
        for pair in self._pairs:
            if pair.is_open and self._is_cut(pair.client, self._address):
                pair.reset()

    def _accept(self, sock: socket.socket) -> None:
        pair = _ConnectionPair(self, sock)
        self._pairs.append(pair)
        if self._is_cut(pair.client, self._address):
            pair.reset()
            return
        if self.fault == "reset":
            pair.reset()
        elif self.fault in ("silence", "one_way"):
            pair.drop_bytes(both_ways=self.fault == "silence")


class _ConnectionPair:
    """A client's connection and the one to the target, forwarded to each other."""

    def __init__(self, proxy: Proxy, sock: socket.socket) -> None:
        self._proxy = proxy
        self.is_open = True
        self.client: Address = sock.getpeername()
        self._forwards_requests = self._forwards_responses = True
        client_side, target_side = (
            _PairSide(self, "to_target"),
            _PairSide(self, "to_client"),
        )
        self._client = Stream(proxy.loop, sock, client_side, is_connecting=False)
        self._target = connect(proxy.loop, proxy.target, target_side)
        client_side.other, target_side.other = self._target, self._client

    def drop_bytes(self, both_ways: bool) -> None:
        """Drop all further bytes from the target, or of both directions."""
        self._forwards_responses = False
        self._forwards_requests = self._forwards_requests and not both_ways

    def close(self) -> None:
        """Close both connections."""
        self.is_open = False
        self._client.close()
        self._target.close()

    def reset(self) -> None:
        """Close both connections; the client gets a reset, not an orderly end.

        An orderly end would complete a response that has no length.
        """
        if self.is_open:
            option = struct.pack("ii", 1, 0)
            sock = self._client._sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.close()

    def forward(self, direction: str, other: Stream, data: bytes) -> None:
        """Forward, delay or drop bytes of a direction."""
        if not (
            self._forwards_requests
            if direction == "to_target"
            else self._forwards_responses
        ):
            return
        if self._proxy.fault == "delay":
            self._proxy.loop.after(DELAY_MS, lambda: other.write(data))
        else:
            other.write(data)

    def on_side_ended(self, direction: str) -> None:
        """Close both connections, unless bytes of the direction are dropped.

        A fault that drops bytes hides the end of the connection as well.
        """
        if (
            self._forwards_requests
            if direction == "to_target"
            else self._forwards_responses
        ):
            self.close()


class _PairSide:
    """Callbacks of one of the two connections.

    ``direction`` is that of the bytes which this connection receives, ``other`` is the
    connection that they are forwarded to.
    """

    def __init__(self, pair: _ConnectionPair, direction: str) -> None:
        self._pair = pair
        self._direction = direction
        self.other: Stream | None = None

    def on_connected(self) -> None:
        return

    def on_data(self, data: bytes) -> None:
        if self.other is not None:
            self._pair.forward(self._direction, self.other, data)

    def on_drained(self) -> None:
        return

    def on_ended(self, reason: str) -> None:
        self._pair.on_side_ended(self._direction)
