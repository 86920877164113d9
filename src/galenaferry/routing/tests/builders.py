"""Builders of host routes and routing documents."""

from galenaferry.framing.limits import CallerLimits
from galenaferry.routing.hosts import (
    HostRoute,
    RoutingDocument,
    ServiceSettings,
    WeightedService,
)


def host_route(name, prefix, weighted_services=(("bookings", 1),), **parts):
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
        weighted_services=tuple(
            WeightedService(*weighted) for weighted in weighted_services
        ),
        **(state | parts),
    )


def document(version, *routes):
    names = {
        weighted.service for route in routes for weighted in route.weighted_services
    }
    services = {name: ServiceSettings(name, 330, "/health") for name in names}
    return RoutingDocument(version, routes, services, CallerLimits())
