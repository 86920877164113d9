"""Sending heartbeats at an interval and taking over those of others."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.loop import Loop
from .messages import Heartbeat, Member
from .state import MemberTable

HEARTBEAT_INTERVAL_MS: Final = 500.0
HEARTBEAT_FANOUT: Final = 3
STARTUP_HEARTBEATS: Final = 8
STARTUP_INTERVAL_MS: Final = 150.0
"""A VM that starts beats faster for about a second, the time within which VMs that
are started together do start."""


class HeartbeatSettings(NamedTuple):
    """How often a VM beats, in milliseconds, and to how many others each time."""

    interval: Millis = HEARTBEAT_INTERVAL_MS
    fanout: int = HEARTBEAT_FANOUT
    startup_interval: Millis = STARTUP_INTERVAL_MS
    startup_heartbeats: int = STARTUP_HEARTBEATS


class Heartbeats:
    """Heartbeats of this VM.

    Parameters
    ----------
    loop : Loop
    table : MemberTable
    settings : HeartbeatSettings
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
        """Send one heartbeat to some others."""
        now = self._loop.clock.now()
        self._table.remove_expired(now)
        heartbeat = self._compose(self._table.sample(now))
        for address in self._table.gossip_targets(self._settings.fanout, now):
            self._send(address, heartbeat)

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Take over the sender's entry and its hearsay; greet a new sender."""
        now = self._loop.clock.now()
        is_new_or_restarted = self._table.is_new_or_restarted(sender, now)
        self._table.merge(sender, now)
        for member in heartbeat.sample:
            self._table.merge(member, now)
        # Of other regions only a few members are kept, so that most stay news.
        is_same_region = sender.region == self._table.me.region
        if is_new_or_restarted and is_same_region and not sender.is_leaving:
            self._send(sender.address, self._compose(self._table.sample(now)))
