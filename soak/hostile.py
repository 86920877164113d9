"""Peers that use a VM in ways that are allowed but unusual, or not allowed at all.

They act beside the callers whose promises are checked. What they ask for rightly is
checked like any other request: the whole body reaches the instance, a booking runs at
most once, and the answer is its own.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random

from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect

from .callers import Callers
from .connections import ClientConnection
from .crowd import HostileCrowd
from .fleet import Vm
from .instances import ExecutionRecord
from .store import Store

PIECE_INTERVAL_MS = 3.0
AHEAD = 16
"""Requests that a peer sends ahead on one connection."""
READ_INTERVAL_MS = 100.0
SLOW_READS = 20
MAX_RSS_MB = 150.0
"""Largest resident memory of a VM, half of what its VM has."""
ODD_VALUES = (
    b"[" * 20_000,
    b'{"info": ' * 2_000,
    b'{"address": "127.0.0.1:99709", "info": {}, "status": {}}',
    b'["127.0.0.9:7", "a", ' + b"[" * 900 + b"]" * 900 + b"]",
    b'{"is_blocked": true, "crashed": 7, "serving": [1e999]}',
    b"null",
    b"\xff\xfe",
)
"""Rows of another writer."""
TABLES = ("servers", "vms", "blocked", "op")


class HostilePeers:
    """Acts of seeded peers against the VMs of one run.

    Parameters
    ----------
    loop : Loop
    vms : list of Vm
    store : Store
    callers : Callers
        Checks the answers to the requests that have some.
    record : ExecutionRecord
    seed : int
    """

    def __init__(
        self,
        loop: Loop,
        vms: list[Vm],
        store: Store,
        callers: Callers,
        record: ExecutionRecord,
        seed: int,
    ) -> None:
        self._loop = loop
        self._vms = vms
        self._store = store
        self._callers = callers
        self._record = record
        # A source of its own, so that the faults of a seed are those of before.
        self._random = Random(f"hostile {seed}")
        self._count = 0
        self._acts: tuple[Callable[[], None], ...] = (
            self._offer_upgrade,
            self._send_in_pieces,
            self._send_ahead_and_read_slowly,
            self._leave_midway,
            self._send_garbage,
            self._write_odd_row,
        )
        self._crowd = HostileCrowd(loop, vms, Random(f"crowd {seed}"))

    def act(self) -> None:
        """Perform one random act, beside a crowd that reads nothing."""
        self._random.choice(self._acts)()
        self._crowd.press()

    def find_large_vms(self) -> list[str]:
        """Return a finding for each VM that holds too much memory."""
        sizes = {vm.number: _resident_mb(vm.pid) for vm in self._vms}
        return [
            f"vm-{number} holds {size:.0f} MB"
            for number, size in sizes.items()
            if size > MAX_RSS_MB
        ]

    def _next_booking(self) -> str:
        self._count += 1
        return f"bhostile{self._count}"

    def _address(self) -> tuple[str, int]:
        return self._random.choice(self._vms).front_address

    def _body(self) -> bytes:
        return self._random.randbytes(self._random.randrange(1, 600))

    def _offer_upgrade(self) -> None:
        """Offer a protocol that the VM doesn't speak, which it may ignore."""
        offer = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        offer += "HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n"
        self._send_booking(offer, self._body(), is_chunked=self._random.random() < 0.5)

    def _send_in_pieces(self) -> None:
        """Send a body in chunks of a few bytes, and those in pieces of any size."""
        self._send_booking("", self._body(), is_chunked=True, in_pieces=True)

    def _send_booking(
        self, lines: str, body: bytes, is_chunked: bool, in_pieces: bool = False
    ) -> None:
        request = self._next_booking()
        self._record.body_by_request[request] = body
        framing = "Transfer-Encoding: chunked"
        data = self._encode_chunks(body)
        if not is_chunked:
            framing, data = f"Content-Length: {len(body)}", body
        head = (
            f"POST /book/{request} HTTP/1.1\r\nHost: soak.example\r\n{lines}"
            f"Galenaferry-Request-Id: {request}\r\n{framing}\r\n"
            "Galenaferry-Request-Deadline-Ms: 3000\r\n\r\n"
        ).encode()
        connection = self._callers.begin_booking(request, self._address())
        if not in_pieces:
            connection.send(head + data)
            return
        connection.send(head)
        self._write_pieces(connection, data)

    def _encode_chunks(self, body: bytes) -> bytes:
        data, rest = b"", body
        while rest:
            size = self._random.randrange(1, 5)
            data += b"%x\r\n%b\r\n" % (len(rest[:size]), rest[:size])
            rest = rest[size:]
        return data + b"0\r\n\r\n"

    def _write_pieces(self, connection: ClientConnection, data: bytes) -> None:
        size = self._random.randrange(1, 80)
        connection.stream.write(data[:size])
        if data[size:]:
            self._loop.after(
                PIECE_INTERVAL_MS, lambda: self._write_pieces(connection, data[size:])
            )

    def _send_ahead_and_read_slowly(self) -> None:
        """Send queries ahead on one connection, and read their answers now and then."""
        self._count += 1
        queries = b"".join(
            b"GET /query/ahead HTTP/1.1\r\nHost: soak.example\r\n"
            b"Galenaferry-Request-Id: qhostile%d-%d\r\n"
            b"Galenaferry-Request-Deadline-Ms: 3000\r\n\r\n" % (self._count, number)
            for number in range(AHEAD)
        )
        _SlowReader(self._loop, self._address(), queries)

    def _leave_midway(self) -> None:
        """Close in the midst of a head or of a body."""
        request = self._next_booking()
        data = (
            f"POST /book/{request} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Galenaferry-Request-Id: {request}\r\nContent-Length: 100\r\n\r\n"
        ).encode() + b"x" * 99
        self._send_and_leave(data[: self._random.randrange(1, len(data))])

    def _send_garbage(self) -> None:
        """Send bytes that are no request."""
        lines = (b"GET /\r\n\r\n", b"\x16\x03\x01", b"POST * HTTP/9.9\r\n\r\n")
        self._send_and_leave(self._random.choice((*lines, self._random.randbytes(500))))

    def _send_and_leave(self, data: bytes) -> None:
        connection = ClientConnection(self._loop, self._address(), lambda *_: None)
        connection.send(data)
        wait = 300.0 * self._random.random()
        self._loop.after(wait, connection.stream.close)

    def _write_odd_row(self) -> None:
        """Write a row of any bytes into one of the tables."""
        key = f"odd-{self._random.randrange(8)}"
        table, value = self._random.choice(TABLES), self._random.choice(ODD_VALUES)
        self._store.put_bytes(table, key, value)


class _SlowReader:
    """Caller that sends all its requests at once and reads in small steps."""

    def __init__(self, loop: Loop, address: tuple[str, int], data: bytes) -> None:
        self._loop = loop
        self._data = data
        self._reads = 0
        self._stream: Stream = connect(loop, address, self)

    def on_connected(self) -> None:
        self._stream.write(self._data)
        self._stream.pause()
        self._loop.after(READ_INTERVAL_MS, self._read)

    def on_data(self, data: bytes) -> None:
        self._stream.pause()

    def on_drained(self) -> None:
        return

    def on_ended(self, reason: str) -> None:
        self._stream.close()

    def _read(self) -> None:
        self._reads += 1
        if self._reads > SLOW_READS:
            self._stream.close()
        elif self._stream.is_open:
            self._stream.resume()
            self._loop.after(READ_INTERVAL_MS, self._read)


def _resident_mb(pid: int) -> float:
    """Return the resident memory of a process, 0 if it does not run."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(lines[0].split()[1]) / 1024.0 if lines else 0.0
