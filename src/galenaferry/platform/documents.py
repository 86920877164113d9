"""Decoding of the rows that the operator and the instances write to the store."""

import math
from typing import Any, Final

from result import Err, Ok, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..framing.limits import CallerLimits
from ..ini import parse_address
from ..json_data import FIELD_ERRORS, MAX_INTEGER, check_text, parse_json
from ..routing.hosts import HostRoute, RoutingDocument, ServiceSettings, WeightedService

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
INSTANCES_TABLE: Final = "servers"
VMS_TABLE: Final = "vms"
BLOCKED_REQUESTS_TABLE: Final = "blocked"

IDEMPOTENT_KINDS: Final = frozenset(("idempotent", "download"))
ROUTE_KINDS: Final = IDEMPOTENT_KINDS | {"non_idempotent"}
INSTANCE_STATES: Final = frozenset(("ready", "draining"))
MAX_ERROR_LENGTH: Final = 200
"""Characters of an error, which may quote a value of any length."""


def decode_configuration(value: bytes) -> Result[RoutingDocument, str]:
    """Decode the configuration that the operator wrote; return the error otherwise."""
    try:
        data = parse_json(value)
        services = [_parse_service(row) for row in _get_list(data, "services")]
        document = RoutingDocument(
            # The version is a string of eight hexadecimal digits.
            version=int(_get_string(data, "version"), 16),
            routes=tuple(_parse_route(row) for row in _get_list(data, "routes")),
            service_by_name={service.name: service for service in services},
            limits=_parse_limits(data["limits"]),
        )
    except FIELD_ERRORS as error:
        return Err(_describe(error))
    return Ok(document)


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
        address = _get_string(data, "address")
        parse_address(address)
        state = _get_string(status, "state")
        if state not in INSTANCE_STATES:
            raise ValueError(f"unknown state {state!r}")
        instance = Instance(
            address=address,
            service=_get_string(info, "service"),
            zone=_get_string(info, "zone"),
            is_leaving=state != "ready",
            id=key,
            born=_get_integer(data, "born") if "born" in data else 0,
            slots=_get_integer(info, "slots"),
            # The remaining time of its cold start, not the total time.
            cold_until=now + _get_number(status, "coldRemainingMs"),
            sequence=_get_integer(status, "sequence"),
            version=_get_string(info, "version"),
        )
    except FIELD_ERRORS as error:
        return Err(_describe(error))
    return Ok(instance)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]


def _parse_route(row: dict[str, Any]) -> HostRoute:
    kind = _get_string(row, "kind")
    if kind not in ROUTE_KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    return HostRoute(
        name=_get_string(row, "name"),
        host=_get_string(row, "host").lower().encode(),
        prefix=_get_string(row, "prefix").encode(),
        weighted_services=_parse_weighted_services(row),
        is_idempotent=kind in IDEMPOTENT_KINDS,
        # The number of instances that a request may be sent to, at least one.
        max_attempts=max(1, _get_integer(row, "maxAttempts"))
        if "maxAttempts" in row
        else 1,
        # 0 stands for none.
        total_timeout=(_get_number(row, "timeoutMs") or None)
        if "timeoutMs" in row
        else None,
        target_latency=_get_number(row, "targetLatencyMs")
        if "targetLatencyMs" in row
        else 0.0,
        priority=_get_integer(row, "priority") if "priority" in row else 0,
    )


def _parse_weighted_services(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get("trafficSplit")
    if not split:
        return (WeightedService(_get_string(row, "service"), 1.0),)
    return tuple(
        WeightedService(_get_string(part, "service"), _get_number(part, "weight"))
        for part in split
    )


def _parse_service(row: dict[str, Any]) -> ServiceSettings:
    return ServiceSettings(
        name=_get_string(row, "name"),
        # A limit per instance for all callers together, not per service.
        connections_per_instance=_get_integer(row, "maxConnections"),
        health_path=_get_string(row, "healthCheckPath"),
    )


def _parse_limits(row: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=_get_integer(row, "maxHeaderBytes"),
        body_bytes=_get_integer(row, "maxBodyBytes"),
        head_timeout=_get_number(row, "headerTimeoutMs"),
        idle_timeout=_get_number(row, "idleTimeoutMs"),
    )


def _get_list(data: dict[str, Any], name: str) -> list[Any]:
    rows = data[name]
    if not isinstance(rows, list):
        raise ValueError(f"{name} is not a list")
    return rows


def _get_string(row: dict[str, Any], name: str) -> str:
    value = check_text(row[name], name)
    if not value:
        raise ValueError(f"{name} is empty")
    return value


def _get_integer(row: dict[str, Any], name: str) -> int:
    value = row[name]
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{name} is not an integer")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"{name} is out of range")
    return value


def _get_number(row: dict[str, Any], name: str) -> float:
    value = row[name]
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{name} is not a number")
    # NaN is in no range.
    if not 0 <= value <= MAX_INTEGER or not math.isfinite(value):
        raise ValueError(f"{name} is out of range")
    return float(value)
