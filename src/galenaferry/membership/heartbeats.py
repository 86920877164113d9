"""Sends heartbeats at an interval and merges those of other members."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.loop import Loop
from .messages import Heartbeat, Member
from .state import MemberTable

HEARTBEAT_INTERVAL_MS: Final = 500.0
HEARTBEAT_FANOUT: Final = 3
"""Live members that get each heartbeat."""
STARTUP_HEARTBEATS: Final = 8
STARTUP_INTERVAL_MS: Final = 150.0
"""A starting VM sends heartbeats at this shorter interval for about a second, the
time within which VMs that are started together come up."""


class HeartbeatSettings(NamedTuple):
    """Intervals of the heartbeats, in milliseconds, and their fan-out."""

    interval: Millis = HEARTBEAT_INTERVAL_MS
    fanout: int = HEARTBEAT_FANOUT
    startup_interval: Millis = STARTUP_INTERVAL_MS
    startup_heartbeats: int = STARTUP_HEARTBEATS


class Heartbeats:
    """Sends and receives the heartbeats of this VM.

    Parameters
    ----------
    loop : Loop
    table : MemberTable
    settings : HeartbeatSettings
    send : callable
        Sends a heartbeat to an address.
    compose : callable
        Advances this VM's own entry and returns its next heartbeat with the given
        sample of other members.
    """

    def __init__(
        self,
        loop: Loop,
        table: MemberTable,
        settings: HeartbeatSettings,
        send: Callable[[str, Heartbeat], None],
        compose: Callable[[tuple[Member, ...]], Heartbeat],
    ) -> None:
        self._loop = loop
        self._table = table
        self._settings = settings
        self._send = send
        self._compose = compose
        loop.every(settings.interval, self.send_heartbeats)
        for number in range(settings.startup_heartbeats):
            loop.after(number * settings.startup_interval, self.send_heartbeats)

    def send_heartbeats(self) -> None:
        """Remove expired members and send one heartbeat to random members."""
        now = self._loop.clock.now()
        self._table.remove_expired(now)
        heartbeat = self._compose(self._table.sample(now))
        for address in self._table.gossip_targets(self._settings.fanout, now):
            self._send(address, heartbeat)

    def send_to_some(self, count: int) -> None:
        """Send one heartbeat to some random members, live or not."""
        now = self._loop.clock.now()
        heartbeat = self._compose(self._table.sample(now))
        for address in self._table.random_addresses(count):
            self._send(address, heartbeat)

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Merge the sender's entry and its sample; answer a new sender at once."""
        now = self._loop.clock.now()
        is_new_or_restarted = self._table.is_new_or_restarted(sender, now)
        self._table.merge(sender, now)
        for member in heartbeat.sample:
            self._table.merge(member, now)
        # The table keeps only a few members of other regions, so most of their
        # senders would be new with every heartbeat.
        is_same_region = sender.region == self._table.me.region
        if is_new_or_restarted and is_same_region and not sender.is_leaving:
            self._send(sender.address, self._compose(self._table.sample(now)))
