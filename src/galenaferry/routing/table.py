"""Lookup of routes by path prefix and of the policy in force for them."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ..configuration.document import (
    INSTANCE,
    ROUTE,
    SERVICE,
    ZONE,
    Configuration,
    PolicyException,
)
from ..configuration.policy import BY_METHOD, Policy, with_values

IDEMPOTENT_METHODS: Final = frozenset((b"GET", b"HEAD", b"OPTIONS"))
CACHE_LIMIT: Final = 4096


class Route(NamedTuple):
    """Where a request goes and under which policy.

    ``name`` is the class of work that latencies are compared within.
    """

    service: str
    name: str
    policy: Policy
    is_idempotent: bool


class RouteTable:
    """Routes of one version of the configuration.

    The first segment of a path names its service unless an exception for a
    longer prefix says otherwise.
    """

    def __init__(self, configuration: Configuration, zone: str) -> None:
        self._defaults = configuration.defaults
        self._zone = zone
        self._exception_by_name: dict[str, PolicyException] = {}
        self._routes_by_prefix: dict[str, list[PolicyException]] = {}
        self._by_service: dict[str, list[PolicyException]] = {}
        self._by_instance: dict[str, list[PolicyException]] = {}
        self._by_zone: dict[str, list[PolicyException]] = {}
        self._route_by_request: dict[tuple[bytes, str], Route] = {}
        self._index_by_kind = {
            ROUTE: self._routes_by_prefix,
            SERVICE: self._by_service,
            INSTANCE: self._by_instance,
            ZONE: self._by_zone,
        }
        self.update(configuration, configuration.exceptions_by_name)

    def update(self, configuration: Configuration, names: Iterable[str]) -> None:
        """Take over the defaults and the exceptions called ``names``."""
        self._defaults = configuration.defaults
        self._route_by_request.clear()
        for name in names:
            self._remove(name)
            exception = configuration.exceptions_by_name.get(name)
            if exception is not None:
                self._exception_by_name[name] = exception
                index = self._index_by_kind[exception.scope.kind]
                index.setdefault(exception.scope.name, []).append(exception)

    def find(self, method: bytes, target: bytes) -> Route | None:
        """Return the route of a request, None where its path names no service."""
        path = target.partition(b"?")[0].decode("latin-1")
        prefix = self._longest_prefix(path)
        key = (method, prefix)
        route = self._route_by_request.get(key)
        if route is None:
            route = self._resolve(method, prefix)
            if route is not None and len(self._route_by_request) < CACHE_LIMIT:
                self._route_by_request[key] = route
        return route

    def service_policy(self, service: str) -> Policy:
        """Return the policy of a service without any route."""
        policy = self._defaults
        for exception in self._by_zone.get(self._zone, ()):
            policy = _apply(policy, exception)
        for exception in self._by_service.get(service, ()):
            policy = _apply(policy, exception)
        return policy

    def instance_policy(self, service: str, address: str) -> Policy:
        """Return the policy of one instance of a service."""
        policy = self.service_policy(service)
        for exception in self._by_instance.get(address, ()):
            policy = _apply(policy, exception)
        return policy

    def _remove(self, name: str) -> None:
        exception = self._exception_by_name.pop(name, None)
        if exception is None:
            return
        index = self._index_by_kind[exception.scope.kind]
        index[exception.scope.name].remove(exception)
        if not index[exception.scope.name]:
            del index[exception.scope.name]

    def _longest_prefix(self, path: str) -> str:
        """Return the longest configured prefix, else the first segment."""
        if self._routes_by_prefix:
            prefix = path.rstrip("/") or "/"
            while prefix:
                if prefix in self._routes_by_prefix:
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
            policy = _apply(policy, exception)
        return Route(
            service=service,
            name=f"{method.decode('latin-1')} {prefix}",
            policy=policy,
            is_idempotent=_is_idempotent(policy, method),
        )

    def _exceptions_along(self, method: bytes, prefix: str) -> list[PolicyException]:
        """Return the exceptions of all prefixes of a path, the shortest first."""
        chain: list[PolicyException] = []
        place = prefix
        while place:
            for exception in self._routes_by_prefix.get(place, ()):
                if exception.scope.method in ("*", method.decode("latin-1")):
                    chain.insert(0, exception)
            place = place.rpartition("/")[0]
        return chain


def _apply(policy: Policy, exception: PolicyException) -> Policy:
    return with_values(policy, exception.values)


def _is_idempotent(policy: Policy, method: bytes) -> bool:
    if policy.idempotent == BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return policy.idempotent == "yes"
