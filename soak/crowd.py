"""Clients that send without an end and read nothing, at every listener of the VMs."""

from random import Random

from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect

from .fleet import Vm

MAX_OPEN = 60
"""Connections that are open at a time, so that the harness itself stays quick."""
CONNECTIONS = 4
SEND_INTERVAL_MS = 50.0
MIN_STAY_MS = 1_000.0
MAX_STAY_MS = 5_000.0
AHEAD = 40
PART = b"x" * 16_384
CHUNKED = b"Host: soak.example\r\nTransfer-Encoding: chunked\r\n\r\n"

READINESS_CHECKS = b"GET /ready HTTP/1.1\r\nHost: soak.example\r\n\r\n" * AHEAD
STATES = b"GET /v1/state HTTP/1.1\r\nHost: soak.example\r\n\r\n" * AHEAD
TABLES = b"GET /tables/servers HTTP/1.1\r\nHost: soak.example\r\n\r\n" * AHEAD

KINDS = (
    (READINESS_CHECKS, READINESS_CHECKS),
    (STATES, STATES),
    (TABLES, TABLES),
    (b"", b""),
    (b"GET /ready HTTP/1.1\r\n", b""),
    (b"GET /ready HTTP/1.1\r\nHost: soak.example\r\nFiller: ", PART),
    (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000000\r\n\r\n", PART),
    (b"POST /x HTTP/1.1\r\n" + CHUNKED + b"0\r\nFiller: ", PART),
    (b"POST /x HTTP/1.1\r\n" + CHUNKED + b"4;filler=", PART),
)
"""What a client sends first, and what it sends again and again."""


class HostileCrowd:
    """Connections of a seeded crowd to the VMs of one run.

    Parameters
    ----------
    loop : Loop
    vms : list of Vm
    random : Random
    """

    def __init__(self, loop: Loop, vms: list[Vm], random: Random) -> None:
        self._loop = loop
        self._vms = vms
        self._random = random
        self._open_count = 0

    def press(self) -> None:
        """Let some clients of one kind connect to one listener of one VM."""
        address = self._random.choice(self._random.choice(self._vms).listeners)
        first, part = self._random.choice(KINDS)
        stay_ms = self._random.uniform(MIN_STAY_MS, MAX_STAY_MS)
        for _ in range(min(CONNECTIONS, MAX_OPEN - self._open_count)):
            self._open_count += 1
            client = _Client(self._loop, address, first, part)
            self._loop.after(stay_ms, lambda client=client: self._end(client))

    def _end(self, client: "_Client") -> None:
        self._open_count -= 1
        client.stream.close()


class _Client:
    """Client that sends as fast as its connection takes it, within a rate."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], first: bytes, part: bytes
    ) -> None:
        self._loop = loop
        self._first = first
        self._part = part
        self.stream: Stream = connect(loop, address, self)

    def on_connected(self) -> None:
        self.stream.pause()
        self.stream.write(self._first)
        self._send()

    def on_data(self, data: bytes) -> None:
        return

    def on_drained(self) -> None:
        return

    def on_ended(self, reason: str) -> None:
        self.stream.close()

    def _send(self) -> None:
        if self.stream.is_open and self._part:
            if not self.stream.has_unsent:
                self.stream.write(self._part)
            self._loop.after(SEND_INTERVAL_MS, self._send)
