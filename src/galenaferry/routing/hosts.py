"""Route lookup by host and longest path prefix, with weighted services.

The process in ``node`` uses these routes; ``entry`` uses those of ``table``.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from ..configuration.policy import DEFAULT_POLICY, Policy
from ..framing.limits import UNKNOWN_LIMITS, CallerLimits
from ..framing.messages import RequestHead
from ..workspaces.directory import NO_ACCESS_RULES, AccessRules, WorkspaceDirectory
from .table import (
    LACKS_CHANGE,
    MAY_LACK_ROUTE,
    NO_CONFIGURATION,
    UNREADABLE_ROUTE,
    NoRoute,
    Route,
    RouteResult,
)

SLASH: Final = b"/"
CONNECT_TIMEOUT_MS: Final = 300
"""About three round trips between the most distant zones (55 ms one way), and less
than the 1 s after which the kernel retransmits a lost SYN packet."""


class WeightedService(NamedTuple):
    """A service of a route and its weight relative to the route's other services."""

    service: str
    weight: float


class HostRoute(NamedTuple):
    """One route of the configuration; times in milliseconds.

    It applies to requests whose Host header in lower case, without the port, is
    ``host`` and whose path starts with ``prefix``, which has to end with a slash to
    match. ``weighted_services`` is empty if its services could not be read.
    ``max_attempts`` counts the first attempt. ``total_timeout`` is None if the
    operator sets none. Priority 0 is the most urgent. A public route needs no key of a
    workspace. ``is_upload`` says that its bodies are large and arrive slowly.
    """

    name: str
    host: bytes
    prefix: bytes
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    max_attempts: int
    total_timeout: Millis | None
    target_latency: Millis
    priority: int
    is_public: bool = False
    is_upload: bool = False


class ServiceSettings(NamedTuple):
    """Settings of a service in the configuration.

    ``connections_per_instance`` is an instance's limit for all VMs together, and
    ``health_path`` the path of the instances' health checks, which show whether a VM
    reaches any instance.
    """

    name: str
    connections_per_instance: int
    health_path: str


class RoutingDocument(NamedTuple):
    """One version of the configuration.

    ``findings`` tell what could not be read in it. ``has_all_routes`` is False if there
    are routes among that. ``workspaces`` is None if the configuration has no tenants.
    """

    version: int
    routes: tuple[HostRoute, ...]
    service_by_name: dict[str, ServiceSettings]
    limits: CallerLimits
    findings: tuple[str, ...] = ()
    has_all_routes: bool = True
    workspaces: WorkspaceDirectory | None = None


class HostRouteTable:
    """Routes of the newest configuration; an older version is never applied.

    Parameters
    ----------
    retry_percent : int
        Limit on the retries of the fleet, in percent of its requests.
    random : Random
        Chooses between the weighted services of a route.
    is_current : callable
        Whether this VM is sure that there is no newer configuration.
    is_outdated : callable
        Whether other VMs have had a newer configuration in force for so long that this
        VM must not act on its own.
    """

    def __init__(
        self,
        retry_percent: int,
        random: Random,
        is_current: Callable[[], bool] = lambda: True,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_current = is_current
        self._is_outdated = is_outdated
        self._retry_percent = retry_percent
        self._random = random
        self._document: RoutingDocument | None = None
        self._routes_by_host: dict[bytes, dict[bytes, HostRoute]] = {}
        self._policy_by_route: dict[tuple[str, str], Policy] = {}
        self._priorities_by_service: dict[str, tuple[int, ...]] = {}

    @property
    def version(self) -> int:
        """The version in force, 0 if there is none."""
        return 0 if self._document is None else self._document.version

    @property
    def services(self) -> frozenset[str]:
        """Names of all services of all routes."""
        if self._document is None:
            return frozenset()
        return frozenset(
            weighted.service
            for route in self._document.routes
            for weighted in route.weighted_services
        )

    @property
    def limits(self) -> CallerLimits:
        """Limits on the requests of callers, which may have been raised meanwhile."""
        if self._document is None:
            return UNKNOWN_LIMITS
        limits = self._document.limits
        return limits if self._is_current() else limits._replace(is_known=False)

    def health_path(self, service: str) -> str:
        """Return the path of a service's health checks, empty if it is not known."""
        if self._document is None:
            return ""
        settings = self._document.service_by_name.get(service)
        return "" if settings is None else settings.health_path

    def priorities(self, service: str) -> tuple[int, ...]:
        """Return the priorities of a service's routes in ascending order."""
        return self._priorities_by_service.get(service, ())

    def replace_if_newer(self, document: RoutingDocument) -> bool:
        """Apply a newer version; return False if ``document`` is not newer."""
        if document.version <= self.version:
            return False
        routes_by_host: dict[bytes, dict[bytes, HostRoute]] = {}
        for route in document.routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        self._document = document
        self._routes_by_host = routes_by_host
        self._policy_by_route.clear()
        self._priorities_by_service = _collect_priorities(document.routes)
        return True

    def route(self, head: RequestHead) -> RouteResult:
        """Return the route of a request, or why there is none."""
        if self._document is None:
            return NO_CONFIGURATION
        if self._is_outdated():
            return LACKS_CHANGE
        host = (head.header(b"host") or b"").partition(b":")[0].lower()
        route = _find_longest_prefix(self._routes_by_host.get(host, {}), head.target)
        if route is None:
            is_sure = self._document.has_all_routes and self._is_current()
            return NoRoute() if is_sure else MAY_LACK_ROUTE
        if not route.weighted_services:
            return UNREADABLE_ROUTE
        service = self._pick_service(route)
        return Route(
            service=service,
            name=route.name,
            policy=self._policy(route, service),
            is_idempotent=route.is_idempotent,
            target_latency=route.target_latency,
            is_public=route.is_public,
            priority=route.priority,
            is_upload=route.is_upload,
        )

    def access_rules(self) -> AccessRules:
        """Return who may use the routes that are not public."""
        document = self._document
        if document is None:
            return NO_ACCESS_RULES
        if document.workspaces is None:
            return NO_ACCESS_RULES._replace(version=document.version)
        is_certain = document.has_all_routes and self._is_current()
        return AccessRules(document.version, document.workspaces, is_certain)

    def _pick_service(self, route: HostRoute) -> str:
        """Choose one of the route's services at random in proportion to the weights."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        point = self._random.random() * sum(
            weighted.weight for weighted in route.weighted_services
        )
        for weighted in route.weighted_services:
            point -= weighted.weight
            if point < 0.0:
                return weighted.service
        # Rounding errors left ``point`` at 0 or above.
        return next(
            s.service for s in reversed(route.weighted_services) if s.weight > 0.0
        )

    def _policy(self, route: HostRoute, service: str) -> Policy:
        policy = self._policy_by_route.get((route.name, service))
        if policy is None:
            assert self._document is not None
            settings = self._document.service_by_name.get(service)
            policy = _build_policy(route, settings, self._document.limits)._replace(
                retry_budget_percent=self._retry_percent
            )
            self._policy_by_route[route.name, service] = policy
        return policy


def _build_policy(
    route: HostRoute, settings: ServiceSettings | None, limits: CallerLimits
) -> Policy:
    total = route.total_timeout or float(DEFAULT_POLICY.total_timeout_ms)
    return DEFAULT_POLICY._replace(
        total_timeout_ms=int(total),
        attempt_timeout_ms=int(total),
        idle_timeout_ms=int(total),
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        shed_retry_percent=0,
        max_attempts=route.max_attempts,
        max_body_bytes=limits.body_bytes,
        connections_per_instance=(
            settings.connections_per_instance
            if settings is not None
            else DEFAULT_POLICY.connections_per_instance
        ),
    )


def _collect_priorities(routes: Iterable[HostRoute]) -> dict[str, tuple[int, ...]]:
    by_service: dict[str, set[int]] = {}
    for route in routes:
        for weighted in route.weighted_services:
            by_service.setdefault(weighted.service, set()).add(route.priority)
    return {service: tuple(sorted(found)) for service, found in by_service.items()}


def _find_longest_prefix(
    route_by_prefix: dict[bytes, HostRoute], target: bytes
) -> HostRoute | None:
    path = target.partition(b"?")[0]
    end = path.rfind(SLASH)
    while end >= 0:
        route = route_by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind(SLASH, 0, end)
    return None
