"""Heartbeats of this VM and the platform's list of VMs."""

from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from circuits import BaseComponent
from result import Err, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..network.loop import Loop
from ..spreading.messages import LogName, SpreadMessage
from ..spreading.spreader import Send, Spreader
from ..store.client import PlatformClient
from ..store.messages import PlatformError, VmListAnswer
from .heartbeats import HeartbeatPace, Heartbeats
from .messages import Freshness, Heartbeat, Member
from .state import MemberTable
from .vm_list import VmListLog

FLEET_READS_PER_SECOND: Final = 200.0
SHORTEST_POLL_MS: Final = 1000.0
APPLY_DELAY_MS: Final = 50.0

Describe = Callable[[], "Described"]


class Described(NamedTuple):
    """What heartbeats tell of the configuration of this VM."""

    version: int
    digest: str
    freshness: Freshness
    is_platform_down: bool


class MembershipComponent(BaseComponent):
    """The fleet's members and the VM list as this VM knows them.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    me : Member
    seeds : tuple of Member
        VMs to ask when the platform can't be reached at the start.
    random : Random
    send : callable
        Sends a message to a VM.
    describe : callable
    on_instances : callable
        Called with the instances after the VM list has changed. After the first
        call ``is_list_known`` is True.
    """

    channel = "membership"

    def __init__(
        self,
        loop: Loop,
        platform: PlatformClient,
        me: Member,
        seeds: tuple[Member, ...],
        random: Random,
        send: Callable[[str, Heartbeat | SpreadMessage], None],
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
        self._listed: frozenset[str] = frozenset()
        self._is_apply_due = False
        self.is_list_known = False
        self.table = MemberTable(me, random)
        self.table.hint(seeds, loop.clock.now())
        self.vm_list = VmListLog()
        self._spreader = Spreader(LogName.VM_LIST, self.vm_list, self.targets)
        self._heartbeats = Heartbeats(
            loop, self.table, HeartbeatPace(), self._send, self._compose
        )
        self._poll()

    @property
    def fleet_size(self) -> int:
        """Number of VMs that are listed or live, this one included."""
        live = {member.address for member in self.table.live(self._loop.clock.now())}
        return len(live | self._listed)

    def is_outage_attested(self) -> bool:
        """Whether most of the fleet says that the platform is down."""
        return self.table.is_outage_attested(self._listed, self._loop.clock.now())

    def targets(self, count: int) -> list[str]:
        """Return addresses of random live VMs."""
        return self.table.targets(count, self._loop.clock.now())[:count]

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Take over the sender's entry and its hearsay."""
        self._heartbeats.on_heartbeat(sender, heartbeat)
        now = self._loop.clock.now()
        if sender.region == self.table.me.region:
            revision = heartbeat.list_revision
            sends = self._spreader.on_version(sender.address, revision, now)
            self._send_all(sends)

    def on_spread(self, sender: Member, message: SpreadMessage) -> None:
        """Take changes of the VM list from another VM of the region."""
        if sender.region != self.table.me.region:
            return
        now = self._loop.clock.now()
        received = self._spreader.on_message(sender.address, message, now)
        if received.has_changed:
            self._schedule_apply()
        self._send_all(received.sends)

    def leave(self) -> None:
        """Tell others that this VM is about to stop."""
        self.table.me = self.table.me._replace(is_leaving=True)
        self._heartbeats.beat()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        live = self.table.live(now)
        return {
            "me": self.table.me._asdict(),
            "live": sorted(member.address for member in live),
            "known": len(self.table) + 1,
            "list_revision": self.vm_list.version,
        }

    def _compose(self, sample: tuple[Member, ...]) -> Heartbeat:
        described = self._describe()
        self.table.beat(described.version, described.is_platform_down)
        return Heartbeat(
            described.version,
            described.digest,
            described.freshness,
            self.vm_list.version,
            sample,
        )

    def _poll(self) -> None:
        region = self.table.me.region
        self._platform.list_vms(region, self.vm_list.version, self._on_list)
        interval = self._poll_interval() * (0.8 + 0.4 * self._random.random())
        self._loop.after(interval, self._poll)

    def _poll_interval(self) -> Millis:
        share = self.fleet_size / FLEET_READS_PER_SECOND * 1000.0
        return max(SHORTEST_POLL_MS, share)

    def _on_list(self, result: Result[VmListAnswer, PlatformError]) -> None:
        if isinstance(result, Err):
            return
        answer = result.ok_value
        before = self.vm_list.version
        if answer.rows is not None:
            self.vm_list.load(answer.revision, list(answer.rows))
        for change in answer.changes:
            self.vm_list.adopt(change)
        if self.vm_list.version > before:
            self._schedule_apply()
            self._send_all(self._spreader.announce(before))

    def _schedule_apply(self) -> None:
        """Apply a newer list soon; changes that come together go together."""
        if not self._is_apply_due:
            self._is_apply_due = True
            self._loop.after(APPLY_DELAY_MS, self._apply)

    def _apply(self) -> None:
        self._is_apply_due = False
        entries = self.vm_list.entries()
        self._listed = frozenset(member.address for member in entries)
        self.table.hint(entries, self._loop.clock.now())
        self._on_instances(self.vm_list.instances())
        self.is_list_known = True

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            self._send(send.address, send.message)
