"""Checks of routes that an operator is about to put in force, as pure functions."""

import re
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from .hosts import SLASH, HostRoute, ServiceSettings

HOST: Final = re.compile(rb"[a-z0-9._-]+")
"""Hosts that a request can have; the port is left out when a route is looked up."""
PREFIX: Final = re.compile(rb"/[!-~]*")


class PlacedRoute(NamedTuple):
    """A route with its number in the configuration, from 0."""

    number: int
    route: HostRoute


class RouteFinding(NamedTuple):
    """A finding; ``field`` is one of ``HostRoute``, empty for the whole route."""

    number: int
    field: str
    text: str


def check_routes(
    routes: Sequence[PlacedRoute],
    service_by_name: Mapping[str, ServiceSettings],
    instances_by_service: Mapping[str, int],
) -> list[RouteFinding]:
    """Return what is questionable in routes that can be read.

    Parameters
    ----------
    routes : sequence of PlacedRoute
    service_by_name : mapping of ServiceSettings by str
    instances_by_service : mapping of int by str
        Numbers of instances, as far as the operator states them.
    """
    findings = _find_hidden(routes)
    for number, route in routes:
        for field, text in (
            *_check_match(route),
            *_check_services(route, service_by_name),
            *_check_limits(route, instances_by_service),
        ):
            findings.append(RouteFinding(number, field, text))
    return findings


def _find_hidden(routes: Sequence[PlacedRoute]) -> list[RouteFinding]:
    """Find routes that a later one replaces, and names that are not unique."""
    findings = []
    later_by_match: dict[tuple[bytes, bytes], int] = {}
    later_by_name: dict[str, int] = {}
    for number, route in reversed(routes):
        later = later_by_match.setdefault((route.host, route.prefix), number)
        if later != number:
            text = f"can never match: route {later} has the same host and prefix"
            findings.append(RouteFinding(number, "", text))
        later = later_by_name.setdefault(route.name, number)
        if later != number:
            # Policies and latencies are kept by the name of the route.
            text = f"route {later} has the same name, so that they share their limits"
            findings.append(RouteFinding(number, "name", text))
    return findings


def _check_match(route: HostRoute) -> list[tuple[str, str]]:
    findings = []
    if not HOST.fullmatch(route.host):
        findings.append(("host", "no request can have this host"))
    if not PREFIX.fullmatch(route.prefix) or b"?" in route.prefix:
        findings.append(("prefix", "no path of a request can have this prefix"))
    elif not route.prefix.endswith(SLASH):
        findings.append(("prefix", "can never match: it does not end with a slash"))
    return findings


def _check_services(
    route: HostRoute, service_by_name: Mapping[str, ServiceSettings]
) -> list[tuple[str, str]]:
    findings = []
    field = "weighted_services"
    for weighted in route.weighted_services:
        if not weighted.weight:
            text = f"service {weighted.service!r} has weight 0 and gets no requests"
            findings.append((field, text))
        if weighted.service not in service_by_name:
            text = f"service {weighted.service!r} has no settings"
            findings.append((field, text))
    return findings


def _check_limits(
    route: HostRoute, instances_by_service: Mapping[str, int]
) -> list[tuple[str, str]]:
    findings = []
    timeout, target = route.total_timeout, route.target_latency
    if timeout is not None and timeout < target:
        text = f"{timeout:g} ms is below the target latency of {target:g} ms"
        findings.append(("total_timeout", text))
    for weighted in route.weighted_services:
        count = instances_by_service.get(weighted.service)
        if count is not None and route.max_attempts > count:
            text = (
                f"{route.max_attempts} attempts, but service {weighted.service!r} "
                f"has {count} instances"
            )
            findings.append(("max_attempts", text))
    return findings
