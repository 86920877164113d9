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

REPEATABLE_KINDS: Final = frozenset(("idempotent", "download"))
KINDS: Final = REPEATABLE_KINDS | {"non_idempotent"}
STATES: Final = frozenset(("ready", "draining"))


def decode_configuration(value: bytes) -> Result[RoutingDocument, str]:
    """Return the configuration that the operator wrote, or what is wrong in it."""
    try:
        data = json.loads(value)
        services = [_service(row) for row in _listed(data, "services")]
        document = RoutingDocument(
            # Eight hexadecimal digits, not a decimal number.
            version=int(_text(data, "version"), 16),
            routes=tuple(_route(row) for row in _listed(data, "routes")),
            service_by_name={service.name: service for service in services},
            limits=_limits(data["limits"]),
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
        address = _text(data, "address")
        parse_address(address)
        _text(info, "version")
        _whole(status, "sequence")
        state = _text(status, "state")
        if state not in STATES:
            raise ValueError(f"unknown state {state!r}")
        instance = Instance(
            address=address,
            service=_text(info, "service"),
            zone=_text(info, "zone"),
            is_leaving=state != "ready",
            id=key,
            born=_whole(data, "born") if "born" in data else 0,
            slots=_whole(info, "slots"),
            # How much longer it is slow, not the length of its cold start.
            cold_until=now + _number(status, "coldRemainingMs"),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")
    return Ok(instance)


def _route(row: dict[str, Any]) -> HostRoute:
    kind = _text(row, "kind")
    if kind not in KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    return HostRoute(
        name=_text(row, "name"),
        host=_text(row, "host").lower().encode(),
        prefix=_text(row, "prefix").encode(),
        weighted_services=_shares(row),
        is_idempotent=kind in REPEATABLE_KINDS,
        # The number of instances that a request may be sent to.
        max_attempts=max(1, _whole(row, "maxAttempts")) if "maxAttempts" in row else 1,
        total_timeout=_number(row, "timeoutMs") if row.get("timeoutMs") else None,
        target_latency=_number(row, "targetLatencyMs")
        if "targetLatencyMs" in row
        else 0.0,
        priority=_whole(row, "priority") if "priority" in row else 0,
    )


def _shares(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = row.get("trafficSplit")
    if not split:
        return (WeightedService(_text(row, "service"), 1.0),)
    return tuple(
        WeightedService(_text(part, "service"), _number(part, "weight"))
        for part in split
    )


def _service(row: dict[str, Any]) -> ServiceSettings:
    return ServiceSettings(
        name=_text(row, "name"),
        # Of one instance for all callers together, not of the whole service.
        connections_per_instance=_whole(row, "maxConnections"),
        health_path=_text(row, "healthCheckPath"),
    )


def _limits(row: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=_whole(row, "maxHeaderBytes"),
        body_bytes=_whole(row, "maxBodyBytes"),
        head_timeout=_number(row, "headerTimeoutMs"),
        idle_timeout=_number(row, "idleTimeoutMs"),
    )


def _listed(data: dict[str, Any], name: str) -> list[Any]:
    rows = data[name]
    if not isinstance(rows, list):
        raise ValueError(f"{name} is not a list")
    return rows


def _text(row: dict[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a text")
    return value


def _whole(row: dict[str, Any], name: str) -> int:
    value = row[name]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name} is not a whole number")
    return value


def _number(row: dict[str, Any], name: str) -> float:
    value = row[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name} is not a number")
    return float(value)
