"""One VM of the fleet, composed of all its components."""

import signal
from random import Random
from typing import Final

from circuits import Component

from ..attempts.fleet_budget import FleetBudgets
from ..backends.messages import Instance
from ..backends.ownership import Vm
from ..callers.budget import CallerBudget
from ..discovery.messages import TableNotice
from ..discovery.readers import is_reader
from ..drain.component import DrainComponent
from ..health.messages import Outcomes
from ..hedging.second_attempts import SecondAttempts
from ..logs import logger
from ..membership.heartbeats import Heartbeats
from ..membership.messages import Freshness, Heartbeat, Member
from ..membership.state import MemberTable
from ..network.loop import Loop
from ..overload.monitor import OverloadMonitor
from ..peers.codec import PeerKeys
from ..peers.component import PeersComponent
from ..placing.component import Placement
from ..relay.origin import RelayAuthentication
from ..requests.admission_check import AdmissionCheck
from ..requests.component import RequestsComponent
from ..requests.context import RequestContext
from ..requests.shutdown import ShutdownPolicy
from ..requests.startup import StartupQueue
from ..requests.summary import RequestSummary
from ..routing.hosts import HostRouteTable
from .adapter import Adapter
from .broadcasts import Broadcasts
from .crash_protection import CrashProtection
from .gauges import MeasuredParts, make_gauges
from .interfaces import Interfaces
from .list_state import ListStateReader
from .listeners import Listeners
from .membership_times import HEARTBEAT_SETTINGS, LIVENESS
from .metrics import NodeMetrics
from .own_members import own_member, seed_members
from .pauses import PauseGuard
from .quotas import NodeQuotas
from .relaying import Relaying
from .reload import ReadSettings, SettingsReloader
from .request_settings import make_request_settings
from .retry_after import RetryAfter
from .settings import NodeSettings
from .state import NodeState
from .status import StatusInterface
from .tables import FleetAccess, TableListeners, Tables
from .unused_messages import UnusedMessages
from .vm_register import VmRegister

CAPACITY_SHARE_INTERVAL_MS: Final = 500.0
"""Interval at which slots and connections are divided among the live VMs."""
FIRST_LOAD_FANOUT: Final = 4
"""Members that a VM tells at once that it knows the tables; each does the same, so that
all of a fleet learn of it in a few steps."""
BALANCER_DETECTION_MS: Final = 3_000.0
"""Time in which the load balancer notices that this VM is no longer ready: two
readiness checks, one second apart, plus their timeout."""
STOP_MARGIN_MS: Final = 700.0
"""Part of the grace period that is left for process exit, also on a slow machine."""
request_log = logger("requests")


class Node(UnusedMessages, Component):
    """Root component of a VM, which creates and connects all others.

    ``entry.EntryNode`` is its counterpart for VMs that use the client in ``store``.

    Parameters
    ----------
    settings : NodeSettings
    loop : Loop
    adapter : Adapter
    peer_key : bytes
        Key that authenticates the datagrams between VMs.
    read_settings : callable
        Reads the settings file again.
    metrics_port : int
        Additional port of the status interface for operators, 0 for none.
    admin_token : str
        Bearer token of operators; empty if they may only read.
    """

    def __init__(
        self,
        settings: NodeSettings,
        loop: Loop,
        adapter: Adapter,
        peer_key: bytes,
        read_settings: ReadSettings,
        metrics_port: int = 0,
        admin_token: str = "",
    ) -> None:
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self.loop = loop.register(self)
        random = Random()
        self._random = random
        self.table = MemberTable(
            own_member(settings, loop.clock.wall_time()), random, LIVENESS
        )
        self.table.add_unconfirmed(seed_members(settings), loop.clock.now())
        self.peers = PeersComponent(
            loop,
            settings.peers,
            PeerKeys(peer_key),
            lambda: self.table.me,
            self,
            settings.link_rate,
        ).register(self)
        self._broadcasts = Broadcasts(loop, self.table, self.peers, random)
        self._overload = OverloadMonitor(
            loop, random, lambda service: self.routes.priorities(service)
        )
        self.placement = Placement(
            loop,
            settings.placement,
            random,
            self._broadcasts.send_outcomes,
            self._overload if settings.has_admission_control else None,
        )
        self._relaying = Relaying(
            loop,
            self.placement,
            self.table,
            random,
            RelayAuthentication(peer_key, adapter.headers.request_id),
            lambda count: self._heartbeats.send_to_some(count),
            lambda service: self.routes.health_path(service),
        )
        self.crashes = CrashProtection(
            loop,
            adapter,
            self.table,
            self._broadcasts,
            self.placement.is_leaving,
            self._relaying.backends.check_own_links,
            random,
        )
        self.routes = HostRouteTable(
            int(settings.budget.ratio * 100.0),
            random,
            lambda: self.tables.is_configuration_current,
            lambda: self.tables.is_configuration_outdated,
        )
        self._register = VmRegister(
            loop, adapter.store, adapter.tables.vms, settings.name, self.table, random
        )
        self.tables = Tables(
            loop,
            adapter,
            self.routes,
            FleetAccess(
                self._is_designated_reader,
                self._broadcasts.send_notice,
                self.table.is_in_own_zone,
            ),
            TableListeners(
                self._on_instances,
                self._release_startup_queue_if_ready,
                self._on_restored,
            ),
            random,
            settings.is_first_start,
            settings.configuration_timeout,
            settings.drain_timeout,
        )
        self.tables.add_peer_table(
            adapter.tables.blocked_requests, self.crashes.table.update_since
        )
        self._quotas = NodeQuotas(
            loop,
            self.table,
            self.peers,
            random,
            settings.quota,
            settings.is_first_start,
            lambda: self._register.has_read,
        )
        self.on_usage = self._quotas.on_usage
        self._heartbeats = Heartbeats(
            loop,
            self.table,
            HEARTBEAT_SETTINGS,
            self.peers.send,
            self._compose_heartbeat,
        )
        backends = self._relaying.backends
        retry_after = RetryAfter(self.placement, loop.clock, random).delay
        self.context = RequestContext(
            loop,
            backends,
            self.routes,
            backends,
            random,
            settings=make_request_settings(
                adapter.headers, settings.has_admission_control
            ),
            budgets=self._make_budgets(settings.is_first_start),
            limits=lambda: self.routes.limits,
            access_rules=self.routes.access_rules,
            retry_after=retry_after,
            overdue_policy=backends,
            startup_queue=StartupQueue(
                loop,
                on_first_request=self.tables.end_startup_delay,
                is_newest_first=settings.has_admission_control,
            ),
            on_request_finished=self._on_request_finished,
            crash_guard=self.crashes.guard,
            relay_authentication=self._relaying.authentication,
            quotas=self._quotas.quotas,
            second_attempts=SecondAttempts.make(
                settings.second_attempts_percent, self.placement
            ),
            callers=CallerBudget(settings.listener_bounds.callers),
            list_state=ListStateReader(self.tables.instances, self.placement).read,
        )
        if settings.has_admission_control:
            self.context.admission = AdmissionCheck(
                loop.clock, self._overload, self.placement.response_times, retry_after
            )
        self.requests = RequestsComponent(self.context, settings.callers).register(self)
        self._relaying.listen(self.context, settings.relay, self)
        listeners = Listeners(self.requests, self._relaying)
        self.drain = DrainComponent(
            loop,
            BALANCER_DETECTION_MS,
            listeners.count_unfinished,
            self._on_drain_announced,
            listeners.stop_accepting,
            settings.grace_period - BALANCER_DETECTION_MS - STOP_MARGIN_MS,
            listeners.refuse_late_starts,
            listeners.cut_unanswered,
        ).register(self)
        self._has_been_loaded = False
        parts = MeasuredParts(
            loop.clock,
            self.tables,
            self.routes,
            self.table,
            self.peers,
            self.placement,
            self._relaying.backends,
            self.crashes.guard,
            self._overload,
            self.context.callers,
            self.requests,
            lambda: self._interfaces.servers,
        )
        self._metrics = NodeMetrics(
            settings.name,
            settings.zone,
            self.context.counters,
            make_gauges(parts),
            self._quotas.quotas,
        )
        state = NodeState(settings, parts, self.drain, self._quotas)
        status = StatusInterface(
            state.is_ready,
            state.dump,
            self._metrics.text,
            self.crashes.guard.lift,
            admin_token,
        )
        self._interfaces = Interfaces(
            loop, settings, status.respond, self.tables.respond_to_peer, metrics_port
        )
        loop.every(CAPACITY_SHARE_INTERVAL_MS, self._share_capacity)
        self._reload = SettingsReloader(
            loop, settings, read_settings, self._apply_settings
        )
        # The default action of SIGHUP terminates the process.
        signal.signal(
            signal.SIGHUP, lambda number, frame: loop.call_soon(self._reload.check)
        )
        self._register.begin(settings.is_first_start)
        self.crashes.begin(settings.is_first_start)
        PauseGuard(
            loop,
            self.context,
            (*self.tables.refreshes, self.crashes.table.load),
            lambda: self.context.is_stopping,
            settings.has_admission_control,
        )
        self.tables.begin()

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Update the membership and catch up with the sender's tables if needed."""
        self._heartbeats.on_heartbeat(sender, heartbeat)
        self.tables.on_heartbeat(sender.address, heartbeat)

    def on_outcomes(self, sender: Member, outcomes: Outcomes) -> None:
        """Handle outcomes of attempts that another VM observed."""
        self.table.merge(sender, self.loop.clock.now())
        new = self._broadcasts.accept_outcomes(outcomes)
        self.placement.on_outcomes(sender.address, new.instance_outcomes)
        self.crashes.guard.on_notes(sender.address, new.crash_notes)

    def _apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        The addresses to listen on, this VM's membership entry, its row in the store
        and the grace period stay as they were at the start.
        """
        self._settings = settings
        self._adapter.store.set_address(settings.store)
        self.table.add_unconfirmed(seed_members(settings), self.loop.clock.now())
        self.context.budgets = self._make_budgets(is_first_start=False)
        self.context.callers.bounds = settings.listener_bounds.callers
        self._interfaces.replace_limits(settings.listener_bounds)
        self.placement.settings = settings.placement

    def _make_budgets(self, is_first_start: bool) -> FleetBudgets:
        return FleetBudgets(
            self._settings.budget, self.loop.clock, self._fleet_size, is_first_start
        )

    def on_table_notice(self, sender: Member, notice: TableNotice) -> None:
        """Handle changes of a table that another VM has read."""
        self.table.merge(sender, self.loop.clock.now())
        self.tables.on_notice(sender.address, notice)

    def _is_designated_reader(self) -> bool:
        live = self.table.live_in_region(self.loop.clock.now())
        return is_reader(self.table.me, live)

    def _on_instances(self, instances: tuple[Instance, ...]) -> None:
        self.placement.replace_instances(instances)
        self.crashes.on_instances(instances)
        self._release_startup_queue_if_ready()

    def _on_restored(self) -> None:
        self._register.on_restored()
        if self._is_designated_reader():
            self.crashes.table.on_restored()

    def _release_startup_queue_if_ready(self) -> None:
        startup_queue = self.context.startup_queue
        if (
            startup_queue is not None
            and self.routes.version
            and self.placement.by_service
        ):
            self.loop.call_soon(startup_queue.release)
            if not self._has_been_loaded:
                self._has_been_loaded = True
                # After an outage that all VMs started in, others still know nothing.
                self._heartbeats.send_to_some(FIRST_LOAD_FANOUT)

    def _compose_heartbeat(self, sample: tuple[Member, ...]) -> Heartbeat:
        # Both versions are those of the store at the latest change of the table. No
        # node reads the digest or the freshness.
        version = self.tables.configuration.last_change_version.encode()
        list_revision = self.tables.instances.last_change_version.encode()
        self.table.advance_own_entry(version, self.tables.is_store_unavailable)
        return Heartbeat(
            version, "", Freshness(0), list_revision, sample, self.routes.version
        )

    def _fleet_size(self) -> int:
        """Return how many VMs may be retrying requests now."""
        return len(self.table.other_members()) + 1

    def _share_capacity(self) -> None:
        live = self.table.live_in_region(self.loop.clock.now())
        vms = tuple(sorted(Vm(member.address, member.zone) for member in live))
        me = self.table.me
        self.placement.set_live_vms(Vm(me.address, me.zone), vms)

    def _on_request_finished(self, summary: RequestSummary) -> None:
        if summary.is_single_attempt_success and summary.buffered_body_bytes:
            self.placement.record_response_size(
                summary.route, summary.buffered_body_bytes
            )
        now = self.loop.clock.now()
        self._metrics.record_request(summary, now)
        fields = summary.log_fields(now) | {"configuration": self.routes.version}
        if summary.is_rejection:
            fields |= self.tables.describe_configuration_age()
        request_log.info("request", is_minor=summary.is_ordinary, **fields)

    def _on_drain_announced(self) -> None:
        clock, placement = self.loop.clock, self.placement
        self.context.begin_shutdown(
            ShutdownPolicy(clock, self.drain.schedule, placement.response_times)
        )
        self.table.me = self.table.me._replace(is_leaving=True)
        self._heartbeats.send_heartbeats()
