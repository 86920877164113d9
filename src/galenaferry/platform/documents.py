"""Decoding of the rows that the operator and the instances write to the store."""

from typing import Any, Final

from result import Err, Ok, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..framing.limits import UNKNOWN_LIMITS, CallerLimits
from ..ini import parse_address
from ..json_data import FIELD_ERRORS, check_text, parse_json
from ..routing.hosts import HostRoute, RoutingDocument, ServiceSettings, WeightedService
from .fields import (
    Findings,
    describe_error,
    get_boolean,
    get_integer,
    get_list,
    get_number,
    get_string,
)
from .workspaces import digest_configuration, parse_workspaces, raise_if_unreadable

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
INSTANCES_TABLE: Final = "servers"
VMS_TABLE: Final = "vms"
BLOCKED_REQUESTS_TABLE: Final = "blocked"

IDEMPOTENT_KINDS: Final = frozenset(("idempotent", "download"))
UPLOAD_KIND: Final = "upload"
ROUTE_KINDS: Final = IDEMPOTENT_KINDS | {"non_idempotent", UPLOAD_KIND}
INSTANCE_STATES: Final = frozenset(("ready", "draining"))


def decode_configuration(
    value: bytes, fleet_key: bytes = b""
) -> Result[RoutingDocument, str]:
    """Decode the configuration that the operator wrote; return the error otherwise.

    Parts that can't be read are left out, with a finding each, so that they don't cost
    the others. Without any readable route the configuration is an error. Keys of
    workspaces are digested with ``fleet_key`` unless that is done already.
    """
    findings = Findings()
    try:
        data = parse_json(digest_configuration(value, fleet_key))
        raise_if_unreadable(data)
        # The version is a string of eight hexadecimal digits.
        version = int(get_string(data, "version"), 16)
        route_rows = get_list(data, "routes")
        service_rows = get_list(data, "services")
    except FIELD_ERRORS as error:
        return Err(describe_error(error))
    routes = findings.parse_each(
        "route", route_rows, lambda row: _parse_route(row, findings)
    )
    if route_rows and not routes:
        return Err(findings.texts[0])
    services = findings.parse_each("service", service_rows, _parse_service)
    limits = findings.parse("limits", data.get("limits"), _parse_limits)
    workspaces = parse_workspaces(data, findings, fleet_key)
    return Ok(
        RoutingDocument(
            version=version,
            routes=tuple(routes),
            service_by_name={service.name: service for service in services},
            limits=UNKNOWN_LIMITS if limits is None else limits,
            findings=tuple(findings.texts),
            has_all_routes=len(routes) == len(route_rows),
            workspaces=workspaces,
        )
    )


def decode_instance(key: str, value: bytes, now: Millis) -> Result[Instance, str]:
    """Decode the row of an instance; return the error otherwise.

    Parameters
    ----------
    key : str
        Id of the instance, which ``value`` does not contain.
    value : bytes
    now : float
        Monotonic time at which the row was read.
    """
    try:
        check_text(key, "the key")
        data = parse_json(value)
        info, status = data["info"], data["status"]
        address = get_string(data, "address")
        parse_address(address)
        state = get_string(status, "state")
        if state not in INSTANCE_STATES:
            raise ValueError(f"unknown state {state!r}")
        instance = Instance(
            address=address,
            service=get_string(info, "service"),
            zone=get_string(info, "zone"),
            is_leaving=state != "ready",
            id=key,
            born=get_integer(data, "born") if "born" in data else 0,
            slots=get_integer(info, "slots"),
            # The remaining time of its cold start, not the total time.
            cold_until=now + get_number(status, "coldRemainingMs"),
            sequence=get_integer(status, "sequence"),
            version=get_string(info, "version"),
        )
    except FIELD_ERRORS as error:
        return Err(describe_error(error))
    return Ok(instance)


def _parse_route(row: dict[str, Any], findings: Findings) -> HostRoute:
    host, prefix = get_string(row, "host"), get_string(row, "prefix")
    kind = row.get("kind")
    if not isinstance(kind, str) or kind not in ROUTE_KINDS:
        # A request of an unknown kind must not be executed twice.
        findings.add(f"route for {host}{prefix}", "unknown kind")
        kind = ""
    services = findings.parse(
        f"services of {host}{prefix}", row, _parse_weighted_services
    )
    parse_optional = findings.parse_optional
    return HostRoute(
        name=get_string(row, "name"),
        host=host.lower().encode(),
        prefix=prefix.encode(),
        weighted_services=services or (),
        is_idempotent=kind in IDEMPOTENT_KINDS,
        # The number of instances that a request may be sent to, at least one.
        max_attempts=max(1, parse_optional(row, "maxAttempts", get_integer, 1)),
        # 0 stands for none.
        total_timeout=parse_optional(row, "timeoutMs", get_number, 0.0) or None,
        target_latency=parse_optional(row, "targetLatencyMs", get_number, 0.0),
        priority=parse_optional(row, "priority", get_integer, 0),
        is_public=parse_optional(row, "public", get_boolean, False),
        is_upload=kind == UPLOAD_KIND,
    )


def _parse_weighted_services(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get("trafficSplit")
    if not split:
        return (WeightedService(get_string(row, "service"), 1.0),)
    services = tuple(
        WeightedService(get_string(part, "service"), get_number(part, "weight"))
        for part in split
    )
    if not any(service.weight for service in services):
        raise ValueError("no service has a weight")
    return services


def _parse_service(row: dict[str, Any]) -> ServiceSettings:
    return ServiceSettings(
        name=get_string(row, "name"),
        # A limit per instance for all callers together, not per service.
        connections_per_instance=get_integer(row, "maxConnections"),
        health_path=get_string(row, "healthCheckPath"),
    )


def _parse_limits(row: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=get_integer(row, "maxHeaderBytes"),
        body_bytes=get_integer(row, "maxBodyBytes"),
        head_timeout=get_number(row, "headerTimeoutMs"),
        idle_timeout=get_number(row, "idleTimeoutMs"),
    )
