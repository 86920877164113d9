"""Membership of this VM: heartbeats and the VM list of the platform.

Only the process in ``entry`` uses this component. ``node`` uses ``Heartbeats`` and
``MemberTable`` directly and reads instances with ``discovery``.
"""

from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from circuits import BaseComponent
from result import Err, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..network.loop import Loop
from ..spreading.messages import GossipMessage, LogName
from ..spreading.replicator import GossipReplicator, OutgoingMessage
from ..store.client import PlatformClient
from ..store.messages import PlatformError, VmListUpdate
from .heartbeats import Heartbeats, HeartbeatSettings
from .messages import Freshness, Heartbeat, Member
from .state import MemberTable
from .vm_list import VmListLog

FLEET_READS_PER_SECOND: Final = 200.0
"""Reads of the VM list by all VMs together."""
MIN_POLL_INTERVAL_MS: Final = 1000.0
"""Minimum interval of a VM's reads of the VM list, before jitter. The interval grows
with the fleet."""
APPLY_DELAY_MS: Final = 50.0
"""Time for which changes of the VM list are collected and then applied together."""

GetConfigurationStatus = Callable[[], "ConfigurationStatus"]


class ConfigurationStatus(NamedTuple):
    """State of this VM's configuration that its heartbeats carry."""

    version: int
    digest: str
    freshness: Freshness
    is_platform_down: bool


class MembershipComponent(BaseComponent):
    """Keeps the member table and the VM list of this VM up to date.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    me : Member
        Entry of this VM.
    seeds : tuple of Member
        VMs to contact at the start, also when the platform is unreachable.
    random : Random
    send : callable
        Sends a message to a VM.
    get_configuration_status : callable
        Returns the configuration state for the next heartbeat.
    on_instances : callable
        Called with the instances after the VM list has changed. ``is_list_known``
        becomes True after the first call.
    """

    channel = "membership"

    def __init__(
        self,
        loop: Loop,
        platform: PlatformClient,
        me: Member,
        seeds: tuple[Member, ...],
        random: Random,
        send: Callable[[str, Heartbeat | GossipMessage], None],
        get_configuration_status: GetConfigurationStatus,
        on_instances: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        super().__init__()
        self._loop = loop
        self._platform = platform
        self._random = random
        self._send = send
        self._get_configuration_status = get_configuration_status
        self._on_instances = on_instances
        self._listed_addresses: frozenset[str] = frozenset()
        self._is_apply_scheduled = False
        self.is_list_known = False
        self.table = MemberTable(me, random)
        self.table.add_unconfirmed(seeds, loop.clock.now())
        self.vm_list = VmListLog()
        self._replicator = GossipReplicator(
            LogName.VM_LIST, self.vm_list, self.gossip_targets
        )
        self._heartbeats = Heartbeats(
            loop, self.table, HeartbeatSettings(), self._send, self._compose
        )
        self._poll()

    @property
    def fleet_size(self) -> int:
        """Number of VMs that are listed or live, including this VM."""
        live = {member.address for member in self.table.live(self._loop.clock.now())}
        return len(live | self._listed_addresses)

    def is_outage_confirmed(self) -> bool:
        """Whether a majority of the regions reports that the platform is down."""
        return self.table.is_outage_confirmed(
            self._listed_addresses, self._loop.clock.now()
        )

    def gossip_targets(self, count: int) -> list[str]:
        """Return addresses of up to ``count`` random members, preferably live ones."""
        return self.table.gossip_targets(count, self._loop.clock.now())[:count]

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Merge the sender's members and compare its revision of the VM list."""
        self._heartbeats.on_heartbeat(sender, heartbeat)
        now = self._loop.clock.now()
        if sender.region == self.table.me.region:
            revision = heartbeat.list_revision
            outgoing = self._replicator.on_version(sender.address, revision, now)
            self._send_all(outgoing)

    def on_gossip(self, sender: Member, message: GossipMessage) -> None:
        """Handle a message of VM list replication from a VM of the same region."""
        if sender.region != self.table.me.region:
            return
        now = self._loop.clock.now()
        result = self._replicator.on_message(sender.address, message, now)
        if result.has_changed:
            self._schedule_apply()
        self._send_all(result.outgoing)

    def leave(self) -> None:
        """Announce in a heartbeat that this VM is about to stop."""
        self.table.me = self.table.me._replace(is_leaving=True)
        self._heartbeats.send_heartbeats()

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
        status = self._get_configuration_status()
        self.table.advance_own_entry(status.version, status.is_platform_down)
        return Heartbeat(
            status.version,
            status.digest,
            status.freshness,
            self.vm_list.version,
            sample,
        )

    def _poll(self) -> None:
        region = self.table.me.region
        self._platform.list_vms(region, self.vm_list.version, self._on_vm_list)
        interval = self._poll_interval() * (0.8 + 0.4 * self._random.random())
        self._loop.after(interval, self._poll)

    def _poll_interval(self) -> Millis:
        interval = self.fleet_size / FLEET_READS_PER_SECOND * 1000.0
        return max(MIN_POLL_INTERVAL_MS, interval)

    def _on_vm_list(self, result: Result[VmListUpdate, PlatformError]) -> None:
        if isinstance(result, Err):
            return
        update = result.ok_value
        previous_revision = self.vm_list.version
        if update.rows is not None:
            self.vm_list.load(update.revision, list(update.rows))
        for change in update.changes:
            self.vm_list.apply(change)
        if self.vm_list.version > previous_revision:
            self._schedule_apply()
            self._send_all(self._replicator.pushes_since(previous_revision))

    def _schedule_apply(self) -> None:
        """Apply the list after a short delay, so that a burst is applied once."""
        if not self._is_apply_scheduled:
            self._is_apply_scheduled = True
            self._loop.after(APPLY_DELAY_MS, self._apply)

    def _apply(self) -> None:
        self._is_apply_scheduled = False
        entry_vms = self.vm_list.entry_vms()
        self._listed_addresses = frozenset(member.address for member in entry_vms)
        self.table.add_unconfirmed(entry_vms, self._loop.clock.now())
        self._on_instances(self.vm_list.instances())
        self.is_list_known = True

    def _send_all(self, outgoing: list[OutgoingMessage]) -> None:
        for outgoing_message in outgoing:
            self._send(outgoing_message.address, outgoing_message.message)
