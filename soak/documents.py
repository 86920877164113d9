"""Documents that the operator of the soak writes."""

from typing import Any

from .instances import SLOW_PREFIX


def make_configuration(
    version: int, service: str, new_prefixes: list[str]
) -> dict[str, Any]:
    """Return a configuration that routes bookings to a service.

    ``new_prefixes`` are those of further routes of queries.
    """
    rows = [
        {"prefix": "/book/", "kind": "non_idempotent", "service": service},
    ]
    rows += [
        {"prefix": prefix, "kind": "idempotent", "service": "one"}
        for prefix in ("/query/", *new_prefixes)
    ]
    rows += [
        {"prefix": f"{SLOW_PREFIX}b/", "kind": "non_idempotent", "service": service},
        {"prefix": f"{SLOW_PREFIX}q/", "kind": "idempotent", "service": service},
    ]
    slow = {"timeoutMs": 9_000, "targetLatencyMs": 2_000}
    common = {"host": "soak.example", "timeoutMs": 2000, "targetLatencyMs": 200}
    common |= {"maxAttempts": 2, "priority": 1}
    routes = [
        row
        | common
        | {"name": f"r{number}"}
        | (slow if row["prefix"].startswith(SLOW_PREFIX) else {})
        for number, row in enumerate(rows)
    ]
    services = [
        {"name": name, "healthCheckPath": "/health", "maxConnections": 300}
        for name in ("one", "two")
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 65536}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    document: dict[str, Any] = {"version": f"{version:08x}", "routes": routes}
    return document | {"services": services, "limits": limits}
