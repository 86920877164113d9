"""Non-blocking TCP connection with back-pressure in both directions."""

import errno
import socket
import struct
import termios
from collections import deque
from fcntl import ioctl
from typing import Final, Protocol

from .loop import HANGUP_OR_ERROR, READABLE, WRITABLE, Loop

READ_BYTES: Final = 65_536
"""Maximum size of a single receive call."""
HIGH_WATER_BYTES: Final = 262_144
"""Size of the write buffer from which the writer should pause."""
CONNECT_PENDING_CODES: Final = (errno.EINPROGRESS, errno.EWOULDBLOCK)
"""Results of a non-blocking connect that is still in progress."""

C_INT: Final = struct.Struct("i")
"""Result of the ioctl calls on sockets."""


class StreamOwner(Protocol):
    """Receiver of a stream's events."""

    def on_connected(self) -> None:
        """Handle the successful end of connecting."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_drained(self) -> None:
        """Handle that the kernel has accepted all buffered bytes."""

    def on_ended(self, reason: str) -> None:
        """Handle the end of the receiving direction.

        ``reason`` is empty at the end of the byte stream (a FIN of the peer), else
        the ``errno`` name of the error that closed the stream, like ``ECONNRESET``.
        """


class Stream:
    """One TCP connection on the event loop.

    Parameters
    ----------
    loop : Loop
    sock : socket.socket
        Non-blocking socket, connected or connecting.
    owner : StreamOwner
        Receives the events of the stream; may be replaced at any time.
    is_connecting : bool
        Whether the socket is still connecting.
    """

    __slots__ = (
        "_flags",
        "_loop",
        "_sock",
        "_write_buffer",
        "_write_buffer_bytes",
        "bytes_received",
        "bytes_sent",
        "is_connecting",
        "is_open",
        "owner",
    )

    def __init__(
        self, loop: Loop, sock: socket.socket, owner: StreamOwner, is_connecting: bool
    ) -> None:
        self._loop = loop
        self._sock = sock
        self.owner = owner
        self.is_connecting = is_connecting
        self.is_open = True
        self.bytes_sent = 0
        self.bytes_received = 0
        self._write_buffer: deque[memoryview | bytes] = deque()
        self._write_buffer_bytes = 0
        self._flags = WRITABLE if is_connecting else READABLE
        loop.watch(sock, self._flags, self._on_ready)

    @property
    def is_congested(self) -> bool:
        """Whether writers should pause until ``on_drained``."""
        return self._write_buffer_bytes >= HIGH_WATER_BYTES

    @property
    def has_unsent(self) -> bool:
        """Whether the write buffer holds bytes that the kernel has not accepted."""
        return bool(self._write_buffer)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted."""
        return self._write_buffer_bytes

    @property
    def delivered_bytes(self) -> int:
        """Number of bytes that the peer's kernel has acknowledged.

        Where the kernel does not tell, all bytes that it has accepted count.
        """
        try:
            queued = ioctl(self._sock, termios.TIOCOUTQ, bytes(C_INT.size))
        except OSError:
            return self.bytes_sent
        return self.bytes_sent - int(C_INT.unpack(queued)[0])

    @property
    def peer(self) -> str:
        """Address of the remote end as ``IP:PORT``, ``unconnected`` without one."""
        try:
            host, port = self._sock.getpeername()[:2]
        except OSError:
            return "unconnected"
        return f"{host}:{port}"

    def write(self, data: bytes) -> None:
        """Send ``data``, buffering what the kernel does not accept at once."""
        if not self.is_open or not data:
            return
        if self._write_buffer or self.is_connecting:
            self._queue(data)
            return
        sent = self._send(data)
        if sent < len(data) and self.is_open:
            self._queue(memoryview(data)[sent:])

    def pause(self) -> None:
        """Stop receiving, which exerts back-pressure on the sender."""
        self._set_flags(self._flags & ~READABLE)

    def resume(self) -> None:
        """Resume receiving."""
        if not self.is_connecting:
            self._set_flags(self._flags | READABLE)

    def receive_pending(self) -> None:
        """Receive bytes that the kernel holds already, without waiting for a poll."""
        if self.is_open and not self.is_connecting and self._flags & READABLE:
            self._receive()

    def close(self) -> None:
        """Close at once; buffered bytes are dropped and no callback follows."""
        if not self.is_open:
            return
        self.is_open = False
        self._write_buffer.clear()
        self._write_buffer_bytes = 0
        self._loop.unwatch(self._sock)
        self._sock.close()

    def shutdown_write(self) -> None:
        """Shut down the sending direction; receiving goes on."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _queue(self, data: memoryview | bytes) -> None:
        self._write_buffer.append(data)
        self._write_buffer_bytes += len(data)
        self._set_flags(self._flags | WRITABLE)

    def _send(self, data: memoryview | bytes) -> int:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._fail(error)
            return 0
        self.bytes_sent += sent
        return sent

    def _set_flags(self, flags: int) -> None:
        if self.is_open and flags != self._flags:
            self._flags = flags
            self._loop.modify(self._sock, flags)

    def _on_ready(self, flags: int) -> None:
        try:
            self._handle_ready(flags)
        except Exception:
            # The owner may have lost its place in the byte stream.
            self.close()
            self._loop.call_soon(lambda: self.owner.on_ended("ECONNABORTED"))
            raise

    def _handle_ready(self, flags: int) -> None:
        if self.is_connecting:
            self._finish_connect()
            return
        if flags & READABLE:
            self._receive()
        elif flags & HANGUP_OR_ERROR:
            self._fail(OSError(errno.ECONNRESET, "connection broken"))
        if self.is_open and flags & WRITABLE:
            self._flush()

    def _finish_connect(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(OSError(code, "connect failed"))
            return
        self.is_connecting = False
        self._set_flags(READABLE | (WRITABLE if self._write_buffer else 0))
        self.owner.on_connected()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if data:
            self.bytes_received += len(data)
            self.owner.on_data(data)
            return
        self._set_flags(self._flags & ~READABLE)
        self.owner.on_ended("")

    def _flush(self) -> None:
        while self._write_buffer:
            data = self._write_buffer[0]
            sent = self._send(data)
            self._write_buffer_bytes -= sent
            if not self.is_open:
                return
            if sent < len(data):
                self._write_buffer[0] = memoryview(data)[sent:]
                return
            self._write_buffer.popleft()
        self._set_flags(self._flags & ~WRITABLE)
        self.owner.on_drained()

    def _fail(self, error: OSError) -> None:
        self.close()
        self.owner.on_ended(errno.errorcode.get(error.errno or 0, "EIO"))


class _UnopenedStream(Stream):
    """Stream for which no socket could be opened; it only ends."""

    __slots__ = ()

    def __init__(self, owner: StreamOwner) -> None:
        self.owner = owner
        self.is_connecting = True
        self.is_open = True
        self.bytes_sent = 0
        self.bytes_received = 0
        self._write_buffer = deque()
        self._write_buffer_bytes = 0

    @property
    def peer(self) -> str:
        return "unconnected"

    def pause(self) -> None:
        return

    def close(self) -> None:
        self.is_open = False
        self._write_buffer.clear()

    def shutdown_write(self) -> None:
        self.close()

    def _queue(self, data: memoryview | bytes) -> None:
        return


def connect(loop: Loop, address: tuple[str, int], owner: StreamOwner) -> Stream:
    """Start to connect to ``address`` and return the connecting stream.

    ``owner.on_connected`` or ``owner.on_ended`` is called after this function has
    returned, also if connecting fails at once or the process has no file descriptor
    left.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        unopened = _UnopenedStream(owner)
        reason = errno.errorcode.get(error.errno or 0, "EIO")
        loop.after(0.0, lambda: _report_failure(unopened, reason))
        return unopened
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    stream = Stream(loop, sock, owner, is_connecting=True)
    if code and code not in CONNECT_PENDING_CODES:
        reason = errno.errorcode.get(code, "EIO")
        loop.after(0.0, lambda: _report_failure(stream, reason))
    return stream


def _report_failure(stream: Stream, reason: str) -> None:
    if stream.is_open:
        stream.close()
        stream.owner.on_ended(reason)
