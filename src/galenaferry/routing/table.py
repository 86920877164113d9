"""Route lookup by path prefix, with the policy that applies to each route.

The process in ``entry`` uses these routes; ``node`` uses those of ``hosts``.
"""

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
"""Limit on the entries of each cache of routes and policies."""


class Route(NamedTuple):
    """The service and the policy for a request.

    Latencies are compared only between requests with the same ``name``.
    ``target_latency`` is the latency objective of an answer in milliseconds, 0 if
    the route has none. A public route needs no key of a workspace. Priority 0 is the
    most urgent. ``is_upload`` says that the bodies are large and arrive slowly.
    """

    service: str
    name: str
    policy: Policy
    is_idempotent: bool
    target_latency: Millis = 0.0
    is_public: bool = False
    priority: int = 0
    is_upload: bool = False


class NoRoute(NamedTuple):
    """The configuration in force has no route for the request."""


class UnknownRoute(NamedTuple):
    """This VM can't tell whether there is a route, for the given reason.

    It has received no configuration yet, or may lack changes of it.
    """

    reason: str


NO_CONFIGURATION: Final = UnknownRoute("no configuration is known yet")
MAY_LACK_ROUTE: Final = UnknownRoute("this VM may lack changes of the configuration")
UNREADABLE_ROUTE: Final = UnknownRoute("the services of the route can't be read")
LACKS_CHANGE: Final = UnknownRoute("this VM lacks a change of the configuration")

RouteResult = Route | NoRoute | UnknownRoute


class RouteTable:
    """Routes of a configuration whose exceptions override the default policy.

    An exception sets policy values for one zone, service, route or instance.
    The first segment of a path is the name of its service, unless an exception for
    a prefix of the path sets another service.

    Parameters
    ----------
    configuration : Configuration
    zone : str
        Availability zone of this VM, whose exceptions apply to all routes.
    """

    def __init__(self, configuration: Configuration, zone: str) -> None:
        self._zone = zone
        self.replace_configuration(configuration)

    def replace_configuration(self, configuration: Configuration) -> None:
        """Apply another configuration, or the current one after it was changed."""
        self._configuration = configuration
        self._route_by_request: dict[tuple[bytes, str], Route] = {}
        self._policy_by_service: dict[str, Policy] = {}

    def find(self, method: bytes, target: bytes) -> Route | None:
        """Return the route of a request, or None if its path names no service."""
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
        """Return the route of a request, or that there is none."""
        return self.find(head.method, head.target) or NoRoute()

    def service_policy(self, service: str) -> Policy:
        """Return the policy of a service without exceptions for routes."""
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
        """Return the longest prefix with an exception, else the first segment."""
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
        """Return the exceptions for all prefixes of a path, in order of application.

        Later ones override earlier ones: the shortest prefix comes first.
        """
        chain: list[PolicyException] = []
        ancestor = prefix
        while ancestor:
            at_prefix = [
                exception
                for exception in self._configuration.exceptions_for(ROUTE, ancestor)
                if exception.scope.method in ("*", method.decode("latin-1"))
            ]
            # An exception for one method overrides one for all methods.
            at_prefix.sort(key=lambda exception: exception.scope.method != "*")
            chain = at_prefix + chain
            ancestor = ancestor.rpartition("/")[0]
        return chain


def _is_idempotent(policy: Policy, method: bytes) -> bool:
    if policy.idempotent == BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return policy.idempotent == "yes"
