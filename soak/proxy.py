"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import socket

from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect

FAULTS = ("delay", "reset", "silence", "one_way")
DELAY_MS = 300.0


class Proxy:
    """Forwards connections to a target; ``fault`` is empty or one of ``FAULTS``.

    A silenced connection stays silent for good, as where something between the two
    ends has lost track of it; new ones are whole again after the fault.
    """

    def __init__(
        self, loop: Loop, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.loop = loop
        self.target = target
        self.fault = ""
        self._pipes: list[_Pipe] = []
        self._listener = Listener(loop, address, self._accept)

    def begin(self, fault: str) -> None:
        """Begin a fault on all connections, open and new."""
        self.fault = fault
        self._pipes = [pipe for pipe in self._pipes if pipe.is_open]
        for pipe in self._pipes:
            if fault == "reset":
                pipe.close()
            elif fault in ("silence", "one_way"):
                pipe.silence(both_ways=fault == "silence")

    def end(self) -> None:
        """Forward new connections again."""
        self.fault = ""

    def _accept(self, sock: socket.socket) -> None:
        pipe = _Pipe(self, sock)
        self._pipes.append(pipe)
        if self.fault == "reset":
            pipe.close()
        elif self.fault in ("silence", "one_way"):
            pipe.silence(both_ways=self.fault == "silence")


class _Pipe:
    """Two connections whose bytes are passed on."""

    def __init__(self, proxy: Proxy, sock: socket.socket) -> None:
        self._proxy = proxy
        self.is_open = True
        self._is_there = self._is_back = True
        near, far = _End(self, "there"), _End(self, "back")
        self._near = Stream(proxy.loop, sock, near, is_connecting=False)
        self._far = connect(proxy.loop, proxy.target, far)
        near.other, far.other = self._far, self._near

    def silence(self, both_ways: bool) -> None:
        """Lose all further bytes: the answers, or both ways."""
        self._is_back = False
        self._is_there = self._is_there and not both_ways

    def close(self) -> None:
        """Close both connections."""
        self.is_open = False
        self._near.close()
        self._far.close()

    def forward(self, direction: str, other: Stream, data: bytes) -> None:
        """Pass bytes on, or lose or delay them."""
        if not (self._is_there if direction == "there" else self._is_back):
            return
        if self._proxy.fault == "delay":
            self._proxy.loop.after(DELAY_MS, lambda: other.write(data))
        else:
            other.write(data)

    def on_end(self, direction: str) -> None:
        """Close both ends, unless the end can't be seen on the other side."""
        if self._is_there if direction == "there" else self._is_back:
            self.close()


class _End:
    def __init__(self, pipe: _Pipe, direction: str) -> None:
        self._pipe = pipe
        self._direction = direction
        self.other: Stream | None = None

    def on_connected(self) -> None:
        return

    def on_data(self, data: bytes) -> None:
        if self.other is not None:
            self._pipe.forward(self._direction, self.other, data)

    def on_drained(self) -> None:
        return

    def on_ended(self, reason: str) -> None:
        self._pipe.on_end(self._direction)
