"""Sending heartbeats at an interval and taking over those of others."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.loop import Loop
from .messages import Heartbeat, Member
from .state import MemberTable

HEARTBEAT_MS: Final = 500.0
HEARTBEAT_FANOUT: Final = 3


class HeartbeatPace(NamedTuple):
    """How often a VM beats, in milliseconds, and to how many others each time."""

    interval: Millis = HEARTBEAT_MS
    fanout: int = HEARTBEAT_FANOUT


class Heartbeats:
    """Heartbeats of this VM.

    Parameters
    ----------
    loop : Loop
    table : MemberTable
    pace : HeartbeatPace
    send : callable
        Sends a heartbeat to an address.
    compose : callable
        Advances this VM's own entry and gives its next heartbeat around a sample
        of other members.
    """

    def __init__(
        self,
        loop: Loop,
        table: MemberTable,
        pace: HeartbeatPace,
        send: Callable[[str, Heartbeat], None],
        compose: Callable[[tuple[Member, ...]], Heartbeat],
    ) -> None:
        self._loop = loop
        self._table = table
        self._pace = pace
        self._send = send
        self._compose = compose
        loop.every(pace.interval, self.beat)

    def beat(self) -> None:
        """Send one heartbeat to some others."""
        now = self._loop.clock.now()
        self._table.forget(now)
        heartbeat = self._compose(self._table.sample(now))
        for address in self._table.targets(self._pace.fanout, now):
            self._send(address, heartbeat)

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Take over the sender's entry and its hearsay."""
        now = self._loop.clock.now()
        self._table.hear(sender, now)
        for member in heartbeat.sample:
            self._table.hear(member, now)
