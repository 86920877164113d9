"""Sending heartbeats at an interval and taking over those of others."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.loop import Loop
from .messages import Heartbeat, Member
from .state import MemberTable

HEARTBEAT_MS: Final = 500.0
HEARTBEAT_FANOUT: Final = 3
OPENING_BEATS: Final = 8
OPENING_INTERVAL_MS: Final = 150.0
"""A VM that starts beats faster for about a second, the time within which VMs that
are started together do start."""


class HeartbeatPace(NamedTuple):
    """How often a VM beats, in milliseconds, and to how many others each time."""

    interval: Millis = HEARTBEAT_MS
    fanout: int = HEARTBEAT_FANOUT
    opening_interval: Millis = OPENING_INTERVAL_MS
    opening_beats: int = OPENING_BEATS


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
        for number in range(pace.opening_beats):
            loop.after(number * pace.opening_interval, self.beat)

    def beat(self) -> None:
        """Send one heartbeat to some others."""
        now = self._loop.clock.now()
        self._table.forget(now)
        heartbeat = self._compose(self._table.sample(now))
        for address in self._table.targets(self._pace.fanout, now):
            self._send(address, heartbeat)

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Take over the sender's entry and its hearsay; greet a new sender."""
        now = self._loop.clock.now()
        is_news = self._table.is_news(sender, now)
        self._table.hear(sender, now)
        for member in heartbeat.sample:
            self._table.hear(member, now)
        # Of other regions only a few members are kept, so that most stay news.
        is_near = sender.region == self._table.me.region
        if is_news and is_near and not sender.is_leaving:
            self._send(sender.address, self._compose(self._table.sample(now)))
