"""Entry daemon: the proxy process that runs on each of galenaferry's VMs."""

import argparse
import gc
import sys
from random import Random
from typing import Any, Final

from circuits import Component, handler
from result import Err

from .admin.component import AdminComponent
from .admin.interface import AdminSources
from .backends.directory import InstanceDirectory
from .backends.messages import Instance
from .backends.ownership import Vm
from .claims.component import ClaimsComponent
from .configuration.component import ConfigurationComponent
from .configuration.impact import LiveFleet
from .discovery.messages import TableNotice
from .drain.admission import UNKNOWN_TIMES
from .drain.component import DrainComponent
from .findings import format_findings
from .health.component import HealthComponent
from .health.messages import Outcomes, Report, Verdicts
from .logs import logger, set_up_logs
from .membership.component import ConfigurationStatus, MembershipComponent
from .membership.messages import Heartbeat, Member
from .membership.state import MemberTable
from .metrics.registry import Metrics
from .network.loop import Loop
from .peers.codec import Message, PeerKeys
from .peers.component import PeersComponent
from .quotas.messages import UsageReport
from .requests.component import RequestsComponent
from .requests.context import RequestContext
from .requests.shutdown import ShutdownPolicy
from .routing.table import RouteTable
from .settings import Settings, read_settings
from .spreading.messages import GossipMessage, LogName
from .store.client import PlatformClient

EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_SERVE: Final = 1
CAPACITY_SHARE_INTERVAL_MS: Final = 500.0
"""Interval at which slots and connections are divided among the live VMs."""
YOUNG_COLLECTION_THRESHOLD: Final = 10_000
"""Net allocations after which the youngest generation is garbage-collected."""

log = logger("entry")


class EntryNode(Component):
    """Root component of an entry VM, which creates and connects all others.

    ``node.component.Node`` is its counterpart for VMs on the users' platform.

    Parameters
    ----------
    settings : Settings

    Raises
    ------
    OSError
        When an address of the settings can't be bound.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        random = Random()
        self.loop = Loop(is_fault_tolerant=True).register(self)
        platform = PlatformClient(
            self.loop, settings.platform, settings.platform_timeout_ms
        )
        self.peers = PeersComponent(
            self.loop,
            settings.peers,
            PeerKeys(settings.peer_key.encode(), settings.previous_peer_key.encode()),
            self._own_member,
            self,
        ).register(self)
        self.configuration = ConfigurationComponent(
            self.loop, platform, self._gossip_targets, self._send_to_peer, random
        ).register(self)
        self.membership = MembershipComponent(
            self.loop,
            platform,
            self._build_own_member(),
            self._seed_members(),
            random,
            self._send_to_peer,
            self._configuration_status,
            self._on_instances_changed,
        ).register(self)
        self.health = HealthComponent(
            self.loop, self.membership.table, self._send_to_peer, self._on_health_change
        ).register(self)
        self.directory = InstanceDirectory(
            self.loop, settings.zone, self.health, random
        )
        self.claims = ClaimsComponent(
            self.loop, platform, lambda: self.directory.live_vm_count
        ).register(self)
        self._routes = self._build_route_table()
        self.context = RequestContext(
            self.loop,
            self.directory,
            self._routes,
            self.health,
            random,
            self.claims,
        )
        self.loop.every(CAPACITY_SHARE_INTERVAL_MS, self._share_capacity)
        self.health.routes = self._routes
        self.configuration.live_fleet = self._live_fleet
        self.configuration.is_outage_confirmed = self.membership.is_outage_confirmed
        self.health.is_cold = self.directory.is_cold
        self.requests = RequestsComponent(self.context, settings.callers).register(self)
        self.drain = DrainComponent(
            self.loop,
            float(settings.drain_wait_ms),
            lambda: self.requests.unfinished_count,
            self._on_drain_announced,
            self.requests.stop_accepting,
            on_check=self.requests.refuse_late_starts,
            cut_unanswered=self.requests.cut_unanswered,
        ).register(self)
        self._admin = AdminComponent(
            self.loop, settings.admin, settings.admin_token, self._admin_sources()
        ).register(self)

    @property
    def table(self) -> MemberTable:
        """Table of the fleet's members as known to this VM."""
        return self.membership.table

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Pass a heartbeat to membership and configuration."""
        self.membership.on_heartbeat(sender, heartbeat)
        configuration = self.configuration
        if heartbeat.version <= configuration.state.head.version:
            # A member with a newer version can't confirm that this one is current.
            now = self.loop.clock.now()
            configuration.lease.on_heartbeat(heartbeat.freshness, now)
        configuration.on_peer_version(sender.address, heartbeat.version)

    def on_gossip(self, sender: Member, message: GossipMessage) -> None:
        """Pass a gossip message to the owner of the log that it belongs to."""
        match message.log:
            case LogName.CONFIGURATION:
                self.configuration.on_gossip(sender.address, message)
            case LogName.VM_LIST:
                self.membership.on_gossip(sender, message)

    def on_report(self, sender: Member, report: Report) -> None:
        """Pass evidence about instances to the health component."""
        self.health.on_report(sender, report)

    def on_verdicts(self, sender: Member, verdicts: Verdicts) -> None:
        """Pass health verdicts to the health component."""
        self.health.on_verdicts(sender, verdicts)

    def on_outcomes(self, sender: Member, outcomes: Outcomes) -> None:
        """Ignore outcomes: this daemon sends its evidence in reports to home VMs.

        The home VMs of a service judge the health of its instances.
        """

    def on_table_notice(self, sender: Member, notice: TableNotice) -> None:
        """Ignore notices: this daemon receives the VM list by gossip."""

    def on_usage(self, sender: Member, report: UsageReport) -> None:
        """Ignore usage: this daemon has no workspaces."""

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self) -> None:
        self._routes.replace_configuration(self.configuration.state.configuration)
        self.directory.invalidate_candidates()

    def is_ready(self) -> tuple[bool, str]:
        """Return whether callers may be routed to this VM, and the reason."""
        if self.drain.is_shutdown_requested:
            return False, "stopping"
        if not self.membership.is_list_known:
            return False, "the VM list is not known yet"
        if not self.configuration.is_lease_held():
            return False, "the configuration may be outdated"
        return True, "ready"

    def dump(self) -> dict[str, Any]:
        """Return the state of all components as JSON data."""
        is_ready, reason = self.is_ready()
        return {
            "vm": {
                "name": self._settings.name,
                "zone": self._settings.zone,
                "region": self._settings.region,
                "ready": is_ready,
                "reason": reason,
            },
            "configuration": self.configuration.dump(),
            "membership": self.membership.dump(),
            "health": self.health.dump(),
            "peers": self.peers.dump(),
            "claims": self.claims.dump(),
            "requests": self._dump_requests(),
        }

    def _dump_requests(self) -> dict[str, Any]:
        counters = self.context.counters
        fields = counters.__dataclass_fields__
        return {
            "counters": {name: getattr(counters, name) for name in fields},
            "callers": self.requests.caller_count,
            "in_flight": self.requests.in_flight,
            "instances": {
                address: {"in_flight": pool.in_flight, "open": pool.open_count}
                for address, pool in sorted(self.directory.pool_by_address.items())
            },
        }

    def _admin_sources(self) -> AdminSources:
        metrics = Metrics(self._settings.name, self._settings.zone)
        metrics.add_request_counters(self.context.counters)
        metrics.add_gauge(
            "configuration.version",
            "version in force",
            lambda: self.configuration.state.head.version,
        )
        metrics.add_gauge(
            "requests.in_flight", "in progress", lambda: self.requests.in_flight
        )
        return AdminSources(
            is_ready=self.is_ready,
            dump=self.dump,
            metrics=metrics.collect,
            fleet=self._dump_fleet,
            drain=self.drain.request_shutdown,
            configuration=self.configuration,
        )

    def _dump_fleet(self) -> dict[str, Any]:
        now = self.loop.clock.now()
        live = {member.address for member in self.table.live(now)}
        rows = [
            {
                "vm": member.address,
                "zone": member.zone,
                "version": member.version,
                "live": member.address in live,
                "leaving": member.is_leaving,
            }
            for member in [self.table.me, *self.table.other_members()]
        ]
        return {
            "version": self.configuration.state.head.version,
            "members": sorted(rows, key=lambda row: str(row["vm"])),
        }

    def _build_own_member(self) -> Member:
        settings = self._settings
        address = f"{settings.peers[0]}:{settings.peers[1]}"
        incarnation = int(self.loop.clock.wall_time())
        return Member(address, incarnation, 0, settings.zone, settings.region, False, 0)

    def _live_fleet(self) -> LiveFleet:
        instances = self.membership.vm_list.instances()
        return LiveFleet(
            is_known=self.membership.is_list_known,
            services=frozenset(instance.service for instance in instances),
            zones=frozenset(instance.zone for instance in instances),
            instances=frozenset(instance.address for instance in instances),
            vm_count=self.membership.fleet_size,
        )

    def _seed_members(self) -> tuple[Member, ...]:
        settings = self._settings
        return tuple(
            Member(f"{host}:{port}", 0, 0, settings.zone, settings.region, False, 0)
            for host, port in settings.seeds
        )

    def _own_member(self) -> Member:
        return self.membership.table.me

    def _gossip_targets(self, count: int) -> list[str]:
        return self.membership.gossip_targets(count)

    def _send_to_peer(self, address: str, message: Message) -> None:
        self.peers.send(address, message)

    def _configuration_status(self) -> ConfigurationStatus:
        head = self.configuration.state.head
        lease = self.configuration.lease
        freshness = lease.freshness(self.loop.clock.now())
        return ConfigurationStatus(
            head.version, head.digest, freshness, lease.is_platform_down
        )

    def _on_instances_changed(self, instances: tuple[Instance, ...]) -> None:
        self.directory.replace_instances(instances)
        self.health.replace_instances(instances)
        self._share_capacity()

    def _share_capacity(self) -> None:
        fleet_size = self.membership.fleet_size
        self.configuration.fleet_size = fleet_size
        self.directory.live_vm_count = fleet_size
        me = self._own_member()
        live = sorted(
            Vm(member.address, member.zone)
            for member in self.table.live_in_region(self.loop.clock.now())
        )
        self.directory.set_live_vms(Vm(me.address, me.zone), tuple(live))

    def _on_health_change(self) -> None:
        self.directory.invalidate_candidates()

    def _on_drain_announced(self) -> None:
        schedule = self.drain.schedule
        self.context.begin_shutdown(
            ShutdownPolicy(self.loop.clock, schedule, lambda route: UNKNOWN_TIMES)
        )
        self.membership.leave()

    def _build_route_table(self) -> RouteTable:
        return RouteTable(self.configuration.state.configuration, self._settings.zone)


def run(settings: Settings) -> None:
    """Serve until the graceful shutdown is complete.

    Objects that live since startup are excluded from garbage collection.
    """
    node = EntryNode(settings)
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_COLLECTION_THRESHOLD)
    log.info("serving", vm=settings.name, callers=settings.callers)
    node.run()


def main() -> None:
    """Read the settings file and run the daemon."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings", type=argparse.FileType(encoding="utf-8"))
    arguments = parser.parse_args()
    result = read_settings(arguments.settings.name, arguments.settings.read())
    if isinstance(result, Err):
        sys.stderr.write(format_findings(result.err_value) + "\n")
        raise SystemExit(EXIT_BAD_SETTINGS)
    settings = result.ok_value
    set_up_logs(settings.logs_json)
    try:
        run(settings)
    except OSError as error:
        sys.stderr.write(f"{arguments.settings.name}: can't serve: {error}\n")
        raise SystemExit(EXIT_CANNOT_SERVE) from None


if __name__ == "__main__":
    main()
