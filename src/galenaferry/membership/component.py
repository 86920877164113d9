"""Heartbeats of this VM and the platform's list of VMs."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from circuits import BaseComponent
from result import Err, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..network.loop import Loop
from ..platform.client import PlatformClient
from ..platform.messages import PlatformError, VmList
from .messages import Freshness, Heartbeat, Member
from .state import MemberTable

HEARTBEAT_MS: Final = 500.0
HEARTBEAT_FANOUT: Final = 3
FLEET_READS_PER_SECOND: Final = 200.0
SHORTEST_POLL_MS: Final = 1000.0

Describe = Callable[[], tuple[int, str, Freshness]]
"""Gives the version, digest and freshness that heartbeats carry."""


class MembershipComponent(BaseComponent):
    """The fleet's members as this VM knows them.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    me : Member
    random : Random
    send : callable
        Sends a heartbeat to a VM.
    describe : callable
    on_instances : callable
        Called with the instances of every newer VM list.
    """

    channel = "membership"

    def __init__(
        self,
        loop: Loop,
        platform: PlatformClient,
        me: Member,
        random: Random,
        send: Callable[[str, Heartbeat], None],
        describe: Describe,
        on_instances: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        super().__init__()
        self._loop = loop
        self._platform = platform
        self._random = random
        self._send = send
        self._describe = describe
        self._on_instances = on_instances
        self._list_revision = 0
        self._listed: frozenset[str] = frozenset()
        self.table = MemberTable(me, random)
        self.is_list_known = False
        loop.every(HEARTBEAT_MS, self._beat)
        self._poll()

    @property
    def fleet_size(self) -> int:
        """Number of VMs that are listed or live, this one included."""
        live = {member.address for member in self.table.live(self._loop.clock.now())}
        return len(live | self._listed)

    def targets(self, count: int) -> list[str]:
        """Return addresses of random live VMs."""
        return self.table.targets(count, self._loop.clock.now())[:count]

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Take over the sender's entry and its hearsay."""
        now = self._loop.clock.now()
        self.table.hear(sender, now)
        for member in heartbeat.sample:
            self.table.hear(member, now)

    def leave(self) -> None:
        """Tell others that this VM is about to stop."""
        self.table.me = self.table.me._replace(is_leaving=True)
        self._beat()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        live = self.table.live(now)
        return {
            "me": self.table.me._asdict(),
            "live": sorted(member.address for member in live),
            "known": len(self.table) + 1,
            "list_revision": self._list_revision,
        }

    def _beat(self) -> None:
        now = self._loop.clock.now()
        version, digest, freshness = self._describe()
        self.table.beat(version)
        self.table.forget(now)
        heartbeat = Heartbeat(version, digest, freshness, self.table.sample(now))
        for address in self.table.targets(HEARTBEAT_FANOUT, now):
            self._send(address, heartbeat)

    def _poll(self) -> None:
        self._platform.list_vms(self._list_revision, self._on_list)
        interval = self._poll_interval() * (0.8 + 0.4 * self._random.random())
        self._loop.after(interval, self._poll)

    def _poll_interval(self) -> Millis:
        share = self.fleet_size / FLEET_READS_PER_SECOND * 1000.0
        return max(SHORTEST_POLL_MS, share)

    def _on_list(self, result: Result[VmList, PlatformError]) -> None:
        if isinstance(result, Err):
            return
        vms = result.ok_value
        self.is_list_known = True
        if vms.revision == self._list_revision:
            return
        self._list_revision = vms.revision
        live = [member for member in vms.entries if not member.is_leaving]
        self._listed = frozenset(member.address for member in live)
        self.table.hint(live, self._loop.clock.now())
        self._on_instances(vms.instances)
