"""Rows of the store that the operator and the instances write."""

import json
from typing import Any, Final

from result import Err, Ok, Result

from ..backends.messages import Instance
from ..clock import Millis
from ..framing.limits import CallerLimits
from ..ini import parse_address
from ..routing.hosts import HostRoute, RoutingDocument, ServiceSettings, WeightedService

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
INSTANCES_TABLE: Final = "servers"
VMS_TABLE: Final = "vms"

IDEMPOTENT_KINDS: Final = frozenset(("idempotent", "download"))
ROUTE_KINDS: Final = IDEMPOTENT_KINDS | {"non_idempotent"}
INSTANCE_STATES: Final = frozenset(("ready", "draining"))


def decode_configuration(value: bytes) -> Result[RoutingDocument, str]:
    """Return the configuration that the operator wrote, or what is wrong in it."""
    try:
        data = json.loads(value)
        services = [_parse_service(row) for row in _get_list(data, "services")]
        document = RoutingDocument(
            # Eight hexadecimal digits, not a decimal number.
            version=int(_get_text(data, "version"), 16),
            routes=tuple(_parse_route(row) for row in _get_list(data, "routes")),
            service_by_name={service.name: service for service in services},
            limits=_parse_limits(data["limits"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")
    return Ok(document)


def decode_instance(key: str, value: bytes, now: Millis) -> Result[Instance, str]:
    """Return the instance that an entry names, or why it names none.

    Parameters
    ----------
    key : str
        The instance's id, which stands nowhere else.
    value : bytes
    now : float
        Monotonic time at which the entry was read.
    """
    try:
        data = json.loads(value)
        info, status = data["info"], data["status"]
        address = _get_text(data, "address")
        parse_address(address)
        _get_text(info, "version")
        _get_whole_number(status, "sequence")
        state = _get_text(status, "state")
        if state not in INSTANCE_STATES:
            raise ValueError(f"unknown state {state!r}")
        instance = Instance(
            address=address,
            service=_get_text(info, "service"),
            zone=_get_text(info, "zone"),
            is_leaving=state != "ready",
            id=key,
            born=_get_whole_number(data, "born") if "born" in data else 0,
            slots=_get_whole_number(info, "slots"),
            # How much longer it is slow, not the length of its cold start.
            cold_until=now + _get_number(status, "coldRemainingMs"),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")
    return Ok(instance)


def _parse_route(row: dict[str, Any]) -> HostRoute:
    kind = _get_text(row, "kind")
    if kind not in ROUTE_KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    return HostRoute(
        name=_get_text(row, "name"),
        host=_get_text(row, "host").lower().encode(),
        prefix=_get_text(row, "prefix").encode(),
        weighted_services=_parse_shares(row),
        is_idempotent=kind in IDEMPOTENT_KINDS,
        # The number of instances that a request may be sent to.
        max_attempts=max(1, _get_whole_number(row, "maxAttempts"))
        if "maxAttempts" in row
        else 1,
        total_timeout=_get_number(row, "timeoutMs") if row.get("timeoutMs") else None,
        target_latency=_get_number(row, "targetLatencyMs")
        if "targetLatencyMs" in row
        else 0.0,
        priority=_get_whole_number(row, "priority") if "priority" in row else 0,
    )


def _parse_shares(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get("trafficSplit")
    if not split:
        return (WeightedService(_get_text(row, "service"), 1.0),)
    return tuple(
        WeightedService(_get_text(part, "service"), _get_number(part, "weight"))
        for part in split
    )


def _parse_service(row: dict[str, Any]) -> ServiceSettings:
    return ServiceSettings(
        name=_get_text(row, "name"),
        # Of one instance for all callers together, not of the whole service.
        connections_per_instance=_get_whole_number(row, "maxConnections"),
        health_path=_get_text(row, "healthCheckPath"),
    )


def _parse_limits(row: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=_get_whole_number(row, "maxHeaderBytes"),
        body_bytes=_get_whole_number(row, "maxBodyBytes"),
        head_timeout=_get_number(row, "headerTimeoutMs"),
        idle_timeout=_get_number(row, "idleTimeoutMs"),
    )


def _get_list(data: dict[str, Any], name: str) -> list[Any]:
    rows = data[name]
    if not isinstance(rows, list):
        raise ValueError(f"{name} is not a list")
    return rows


def _get_text(row: dict[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a text")
    return value


def _get_whole_number(row: dict[str, Any], name: str) -> int:
    value = row[name]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name} is not a whole number")
    return value


def _get_number(row: dict[str, Any], name: str) -> float:
    value = row[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name} is not a number")
    return float(value)
