"""Lookup of routes by path prefix and of the policy in force for them."""

from typing import Final, NamedTuple

from ..clock import Millis
from ..configuration.compact import Configuration
from ..configuration.document import (
    INSTANCE,
    ROUTE,
    SERVICE,
    ZONE,
    PolicyException,
)
from ..configuration.policy import BY_METHOD, Policy, with_values
from ..framing.messages import RequestHead

IDEMPOTENT_METHODS: Final = frozenset((b"GET", b"HEAD", b"OPTIONS"))
MAX_CACHED_ENTRIES: Final = 4096


class Route(NamedTuple):
    """Where a request goes and under which policy.

    ``name`` is the class of work that latencies are compared within.
    ``target_latency`` is the time in milliseconds within which an answer has its
    full worth, 0 where none is stated.
    """

    service: str
    name: str
    policy: Policy
    is_idempotent: bool
    target_latency: Millis = 0.0


class NoRoute(NamedTuple):
    """The configuration in force has no route for a request."""


class NoConfiguration(NamedTuple):
    """No configuration is known yet, so that nothing can be said of a route."""


RouteResult = Route | NoRoute | NoConfiguration


class RouteTable:
    """Routes of one version of the configuration.

    The first segment of a path names its service unless an exception for a
    longer prefix says otherwise.
    """

    def __init__(self, configuration: Configuration, zone: str) -> None:
        self._zone = zone
        self.replace_configuration(configuration)

    def replace_configuration(self, configuration: Configuration) -> None:
        """Take over a configuration, or the one in use after a change."""
        self._configuration = configuration
        self._route_by_request: dict[tuple[bytes, str], Route] = {}
        self._policy_by_service: dict[str, Policy] = {}

    def find(self, method: bytes, target: bytes) -> Route | None:
        """Return the route of a request, None where its path names no service."""
        path = target.partition(b"?")[0].decode("latin-1")
        prefix = self._longest_prefix(path)
        key = (method, prefix)
        route = self._route_by_request.get(key)
        if route is None:
            route = self._resolve(method, prefix)
            if route is not None and len(self._route_by_request) < MAX_CACHED_ENTRIES:
                self._route_by_request[key] = route
        return route

    def route(self, head: RequestHead) -> RouteResult:
        """Return the route of a request."""
        return self.find(head.method, head.target) or NoRoute()

    def service_policy(self, service: str) -> Policy:
        """Return the policy of a service without any route."""
        policy = self._policy_by_service.get(service)
        if policy is None:
            policy = self._configuration.defaults
            policy = self._apply(policy, ZONE, self._zone)
            policy = self._apply(policy, SERVICE, service)
            if len(self._policy_by_service) < MAX_CACHED_ENTRIES:
                self._policy_by_service[service] = policy
        return policy

    def instance_policy(self, service: str, address: str) -> Policy:
        """Return the policy of one instance of a service."""
        return self._apply(self.service_policy(service), INSTANCE, address)

    def _apply(self, policy: Policy, kind: str, name: str) -> Policy:
        for exception in self._configuration.exceptions_for(kind, name):
            policy = with_values(policy, exception.values)
        return policy

    def _longest_prefix(self, path: str) -> str:
        """Return the longest configured prefix, else the first segment."""
        prefix = path.rstrip("/") or "/"
        while prefix:
            if self._configuration.has_exceptions_for(ROUTE, prefix):
                return prefix
            prefix = prefix.rpartition("/")[0]
        return "/" + path.lstrip("/").partition("/")[0]

    def _resolve(self, method: bytes, prefix: str) -> Route | None:
        chain = self._exceptions_along(method, prefix)
        service = prefix.lstrip("/").partition("/")[0]
        for exception in chain:
            service = exception.service or service
        if not service:
            return None
        policy = self.service_policy(service)
        for exception in chain:
            policy = with_values(policy, exception.values)
        return Route(
            service=service,
            name=f"{method.decode('latin-1')} {prefix}",
            policy=policy,
            is_idempotent=_is_idempotent(policy, method),
        )

    def _exceptions_along(self, method: bytes, prefix: str) -> list[PolicyException]:
        """Return the exceptions of all prefixes of a path, the shortest first."""
        chain: list[PolicyException] = []
        ancestor = prefix
        while ancestor:
            at_prefix = [
                exception
                for exception in self._configuration.exceptions_for(ROUTE, ancestor)
                if exception.scope.method in ("*", method.decode("latin-1"))
            ]
            # One for the method goes over one for every method.
            at_prefix.sort(key=lambda exception: exception.scope.method != "*")
            chain = at_prefix + chain
            ancestor = ancestor.rpartition("/")[0]
        return chain


def _is_idempotent(policy: Policy, method: bytes) -> bool:
    if policy.idempotent == BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return policy.idempotent == "yes"
