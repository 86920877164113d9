"""Paces datagrams, so that this VM's own link does not drop them.

A link queues a few datagrams and drops the rest. A message to all VMs of a zone in one
burst reaches the first few of them only, on a link of 10 Mbit/s.
"""

from collections import deque
from collections.abc import Callable
from enum import IntEnum
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.datagrams import Address
from ..network.loop import Loop, Timer

LINK_SHARE: Final = 0.5
"""Share of the link's bandwidth that datagrams may use."""
BURST_BYTES: Final = 8_192
"""Bytes that are sent at once after a pause; links queue at least that. Fast links
take what they carry in two of the shortest waits."""
MAX_QUEUE_MS: Final[Millis] = 500.0
"""Time in which a full queue is sent; what does not fit replaces what is older."""
MIN_WAIT_MS: Final[Millis] = 2.0
"""Shortest time between two bursts, as each costs a wake-up."""


class Priority(IntEnum):
    """Queues of a pacer, the most urgent first."""

    TABLE_NEWS = 0
    OTHER = 1


class _Queued(NamedTuple):
    data: bytes
    address: Address


class DatagramPacer:
    """Sends datagrams at a share of the link's bandwidth, in bursts of limited size.

    Parameters
    ----------
    loop : Loop
    send : callable
        Sends a datagram to an address at once.
    link_rate : float
        Bandwidth of the link in bytes per millisecond; 0 if it is not known, and
        nothing is delayed then.
    """

    def __init__(
        self,
        loop: Loop,
        send: Callable[[bytes, Address], None],
        link_rate: float,
    ) -> None:
        self._loop = loop
        self._send = send
        self._rate = LINK_SHARE * link_rate
        self._burst_bytes = max(float(BURST_BYTES), 2.0 * MIN_WAIT_MS * self._rate)
        self._allowance = self._burst_bytes
        self._updated_at: Millis = loop.clock.now()
        self._queues: tuple[deque[_Queued], ...] = tuple(deque() for _ in Priority)
        self._queued_bytes = [0 for _ in Priority]
        self._timer: Timer | None = None
        self.dropped_count = 0

    def send(
        self, data: bytes, address: Address, priority: Priority = Priority.OTHER
    ) -> None:
        """Send a datagram, now or after those of the same or a higher priority."""
        if not self._rate:
            self._send(data, address)
            return
        self._update_allowance()
        if self._timer is None and self._fits(data):
            self._send_now(data, address)
            return
        self._queues[priority].append(_Queued(data, address))
        self._queued_bytes[priority] += len(data)
        while self._queued_bytes[priority] > self._rate * MAX_QUEUE_MS:
            self._pop(priority)
            self.dropped_count += 1
        self._schedule()

    def _update_allowance(self) -> None:
        now = self._loop.clock.now()
        gained = (now - self._updated_at) * self._rate
        self._allowance = min(self._burst_bytes, self._allowance + gained)
        self._updated_at = now

    def _fits(self, data: bytes) -> bool:
        """Whether a datagram may be sent; one larger than a burst needs a full one."""
        return self._allowance >= min(len(data), self._burst_bytes)

    def _send_now(self, data: bytes, address: Address) -> None:
        self._allowance -= len(data)
        self._send(data, address)

    def _pop(self, priority: int) -> _Queued:
        queued = self._queues[priority].popleft()
        self._queued_bytes[priority] -= len(queued.data)
        return queued

    def _schedule(self) -> None:
        """Wait until the next queued datagram may be sent."""
        if self._timer is not None:
            return
        head = next((queue[0] for queue in self._queues if queue), None)
        if head is not None:
            missing = min(len(head.data), self._burst_bytes) - self._allowance
            wait = max(MIN_WAIT_MS, missing / self._rate)
            self._timer = self._loop.after(wait, self._send_queued)

    def _send_queued(self) -> None:
        self._timer = None
        self._update_allowance()
        for priority, queue in enumerate(self._queues):
            while queue and self._fits(queue[0].data):
                self._send_now(*self._pop(priority))
            if queue:
                break
        self._schedule()
