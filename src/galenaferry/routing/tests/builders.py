"""Builders of routes by host."""

from galenaferry.framing.limits import CallerLimits
from galenaferry.routing.hosts import HostRoute, RoutingDocument, ServiceFacts, Share


def host_route(name, prefix, shares=(("bookings", 1),), **parts):
    state = {
        "host": b"a.example",
        "is_idempotent": False,
        "max_attempts": 2,
        "total_timeout": 4000.0,
        "target_latency": 2000.0,
        "priority": 1,
    }
    return HostRoute(
        name=name,
        prefix=prefix,
        shares=tuple(Share(*share) for share in shares),
        **(state | parts),
    )


def document(version, *routes):
    names = {share.service for route in routes for share in route.shares}
    services = {name: ServiceFacts(name, 330, "/health") for name in names}
    return RoutingDocument(version, routes, services, CallerLimits())
