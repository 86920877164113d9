"""Simulated backend server: ``python -m galenaferry.stand_ins.backend``.

``GET /health`` always succeeds, ``PUT /mode`` changes the behaviour and
``GET /counters`` returns the counters, with the executions by ``X-Booking-Id``.
Every other request occupies one of the server's slots while it is executed, or is
shed with 503 (``BackendState.must_shed``). ``/.../size/N`` responds with N bytes,
any other path with the request's method, target and body length.
"""

import argparse
import json
import socket
from typing import Final
from weakref import WeakSet

from circuits import Component

from ..framing.heads import encode_response
from ..framing.messages import FramingError, Header, RequestHead, ResponseHead
from ..framing.requests import RequestLimits, RequestReader
from ..ini import parse_address
from ..network.listener import Listener
from ..network.loop import Loop
from ..network.stream import Stream
from .backend_state import BackendMode, BackendState

LIMITS: Final = RequestLimits(head_bytes=65_536, body_bytes=1 << 40)
ZERO_BLOCK: Final = bytes(65_536)
"""Content of ``/size/N`` responses. Request bodies are kept up to the same length."""
DRAINING_HEADER: Final = (b"galenaferry-draining", b"1")
NOT_RUN_HEADER: Final = (b"galenaferry-ran", b"not-run")


class _Connection:
    """One accepted connection; a request is executed once its body is complete."""

    def __init__(self, loop: Loop, sock: socket.socket, state: BackendState) -> None:
        self._loop = loop
        self._state = state
        self._head: RequestHead | None = None
        self._body_size = 0
        self._body = b""
        self._unsent_bytes = 0
        self._reader = RequestReader(self, LIMITS)
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def stop_reading(self) -> None:
        """Stop reading without closing the connection."""
        self._stream.pause()

    def on_connected(self) -> None:
        return

    def on_data(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
        except FramingError:
            self._stream.close()

    def on_drained(self) -> None:
        while self._unsent_bytes and not self._stream.is_congested:
            block = ZERO_BLOCK[: min(len(ZERO_BLOCK), self._unsent_bytes)]
            self._unsent_bytes -= len(block)
            self._stream.write(block)

    def on_ended(self, reason: str) -> None:
        self._stream.close()

    def on_head(self, head: RequestHead) -> None:
        self._head = head
        self._body_size = 0
        self._body = b""

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size <= len(ZERO_BLOCK):
            self._body += data

    def on_complete(self) -> None:
        head = self._head
        assert head is not None
        path = head.target.partition(b"?")[0].decode()
        match f"{head.method.decode()} {path}":
            case "GET /health":
                self._respond(200, b"ok\n")
            case "GET /counters":
                self._respond(200, json.dumps(self._state.summary()).encode())
            case "PUT /mode":
                self._state.set_mode(json.loads(self._body))
                self._respond(200, b"{}\n")
            case _:
                self._start_work(head, path)

    def _start_work(self, head: RequestHead, path: str) -> None:
        state, mode = self._state, self._state.mode
        time_left = (head.header(b"galenaferry-time-left-ms") or b"").decode()
        if state.must_shed(float(time_left) if time_left.isdigit() else float("inf")):
            state.counters.shed += 1
            extra = (
                (NOT_RUN_HEADER, DRAINING_HEADER)
                if mode.is_draining
                else (NOT_RUN_HEADER,)
            )
            self._respond(503, b"busy\n", extra)
            return
        duration_ms = state.next_work_ms()
        state.record_execution((head.header(b"x-booking-id") or b"").decode())
        if state.should_inject_fault(mode.silent_part):
            # Such a request counts as executed but does not occupy a slot.
            return
        state.counters.busy_slots += 1
        self._loop.after(duration_ms, lambda: self._finish_work(head, path))

    def _finish_work(self, head: RequestHead, path: str) -> None:
        state, mode = self._state, self._state.mode
        state.counters.busy_slots -= 1
        if state.should_inject_fault(mode.reset_part):
            self._stream.close()
            return
        if state.should_inject_fault(mode.garbage_part):
            self._stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" * 2)
            return
        if state.should_inject_fault(mode.error_part):
            state.counters.errors += 1
            self._respond(500, b"fault\n")
            return
        size = path.rpartition("/size/")[2]
        if size.isdigit():
            self._respond_with_size(int(size))
            return
        body = b"%b %b %d\n" % (head.method, head.target, self._body_size)
        if state.should_inject_fault(mode.truncate_part):
            self._respond(200, body, length=len(body) + 10)
            self._stream.shutdown_write()
            return
        self._respond(200, body)

    def _respond_with_size(self, size: int) -> None:
        self._respond(200, b"", length=size)
        self._unsent_bytes = size
        self.on_drained()

    def _respond(
        self,
        status: int,
        body: bytes,
        extra: tuple[Header, ...] = (),
        length: int | None = None,
    ) -> None:
        size = len(body) if length is None else length
        extra += ((b"content-length", b"%d" % size),)
        head = ResponseHead(status, b"", (), size)
        is_head = self._head is not None and self._head.method == b"HEAD"
        data = encode_response(
            head, extra, is_chunked=False, is_connection_closing=False
        )
        self._stream.write(data if is_head else data + body)


class BackendStandIn(Component):
    """Simulated backend server on one address.

    Parameters
    ----------
    address : tuple of str and int
    mode : BackendMode
    seed : int
        Seed of the injected faults.
    loop : Loop, optional
        Loop shared with other stand-ins of the process; by default a loop of its own.

    Raises
    ------
    OSError
        When the address can't be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        mode: BackendMode,
        seed: int = 1,
        loop: Loop | None = None,
    ) -> None:
        super().__init__()
        if loop is None:
            loop = Loop()
            loop.register(self)
        self._loop = loop
        self._connections: WeakSet[_Connection] = WeakSet()
        self.state = BackendState(mode, seed)
        self.listener = Listener(loop, address, self._accept)

    def stop_reading_open_connections(self) -> None:
        """Stop reading on all open connections for good; new ones work normally."""
        for connection in self._connections:
            connection.stop_reading()

    def _accept(self, sock: socket.socket) -> None:
        self._connections.add(_Connection(self._loop, sock, self.state))


def main() -> None:
    """Serve one stand-in per address in this process until it is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=parse_address, action="append", required=True)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--slots", type=int, default=6)
    arguments = parser.parse_args()
    root = Component()
    loop = Loop()
    loop.register(root)
    for number, address in enumerate(arguments.address):
        mode = BackendMode(work_ms=arguments.work_ms, slots=arguments.slots)
        BackendStandIn(address, mode, seed=number, loop=loop).register(root)
    root.run()


if __name__ == "__main__":
    main()
