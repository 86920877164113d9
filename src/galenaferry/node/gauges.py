"""Gauges of a node: what they read of its components."""

from collections.abc import Callable
from typing import NamedTuple

from ..callers.budget import CallerBudget
from ..clock import Clock
from ..crashes.guard import CrashGuard
from ..membership.state import MemberTable
from ..network.json_server import JsonServer
from ..overload.monitor import OverloadMonitor
from ..peers.component import PeersComponent
from ..placing.component import Placement
from ..relay.backends import RelayingBackends
from ..requests.component import RequestsComponent
from ..routing.hosts import HostRouteTable
from .metrics import Gauges
from .tables import Tables


class MeasuredParts(NamedTuple):
    """Components that gauges are read from.

    ``servers`` returns the HTTP servers of the VM's own interfaces.
    """

    clock: Clock
    tables: Tables
    routes: HostRouteTable
    members: MemberTable
    peers: PeersComponent
    placement: Placement
    backends: RelayingBackends
    crash_guard: CrashGuard
    overload: OverloadMonitor
    callers: CallerBudget
    requests: RequestsComponent
    servers: Callable[[], tuple[JsonServer, ...]]


def make_gauges(parts: MeasuredParts) -> Gauges:
    """Return the gauges of a node."""

    def count_closed(reason: str) -> float:
        """Return how many connections of the interfaces were closed for a reason."""
        counters = [server.connections.counters for server in parts.servers()]
        return sum(getattr(counter, reason) for counter in counters)

    tables, peers, callers = parts.tables, parts.peers, parts.callers
    placement, backends, overload = parts.placement, parts.backends, parts.overload
    return Gauges(
        configuration_version=lambda: parts.routes.version,
        configuration_behind=lambda: float(tables.is_configuration_behind),
        configuration_behind_ms=lambda: tables.configuration_behind_for,
        configuration_missed_notices=lambda: tables.configuration.missed_notices,
        instances_missed_notices=lambda: tables.instances.missed_notices,
        configuration_confirmed_ago_ms=lambda: tables.configuration.confirmed_ago,
        instances_confirmed_ago_ms=lambda: tables.instances.confirmed_ago,
        instances_unlisted=lambda: sum(
            instance.is_unlisted
            for instances in placement.by_service.values()
            for instance in instances
        ),
        instances_version=lambda: tables.instances.version.counter,
        is_store_away=lambda: float(tables.instances.is_store_unavailable),
        live_members=lambda: len(parts.members.live(parts.clock.now())),
        requests_in_flight=lambda: parts.requests.in_flight,
        datagrams_sent=lambda: peers.dump()["datagrams_sent"],
        datagrams_dropped=lambda: peers.dump()["datagrams_dropped"],
        instances_limited=lambda: placement.limited_count,
        instances_unreachable=lambda: placement.unreachable_count,
        requests_blocked=lambda: len(parts.crash_guard.blocked),
        requests_relayed=lambda: backends.relayed_count,
        is_cut_off=lambda: float(backends.is_cut_off),
        callers_held_bytes=lambda: callers.used_bytes,
        callers_connections=lambda: callers.connection_count,
        callers_pauses=lambda: callers.pauses,
        callers_relieved=lambda: callers.relieved,
        callers_replaced=lambda: callers.replaced,
        callers_refused=lambda: callers.refused,
        interfaces_connections=lambda: sum(
            len(server.connections) for server in parts.servers()
        ),
        interfaces_held_bytes=lambda: sum(
            server.connections.used_bytes for server in parts.servers()
        ),
        interfaces_replaced=lambda: count_closed("replaced"),
        interfaces_relieved=lambda: count_closed("relieved"),
        interfaces_timed_out=lambda: count_closed("timed_out"),
        interfaces_refused=lambda: count_closed("refused"),
        interfaces_malformed=lambda: count_closed("malformed"),
        requests_suspected=lambda: parts.crash_guard.suspect_count,
        admission_overloaded_services=lambda: overload.overloaded_count,
        admission_level=lambda: overload.highest_level,
        admission_refused=lambda: overload.refused_count,
        admission_refused_late=lambda: overload.late_count,
    )
