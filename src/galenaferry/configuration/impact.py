"""Warnings about a change that does not fit the live fleet.

An operator may override them with a reason.
"""

from typing import NamedTuple

from ..findings import Finding
from .compact import Configuration
from .document import (
    DEFAULTS,
    INSTANCE,
    ROUTE,
    SERVICE,
    ZONE,
    PolicyException,
    apply_edits,
    parse_exception,
)
from .messages import Edit


class LiveFleet(NamedTuple):
    """The fleet according to the VM list.

    ``is_known`` is False until the list has been read. ``services``, ``zones`` and
    ``instances`` are those of the backend servers, the instances as IP:PORT.
    ``vm_count`` is the number of proxy VMs.
    """

    is_known: bool
    services: frozenset[str]
    zones: frozenset[str]
    instances: frozenset[str]
    vm_count: int


UNKNOWN_FLEET = LiveFleet(False, frozenset(), frozenset(), frozenset(), 0)


def find_warnings(
    configuration: Configuration, edits: tuple[Edit, ...], fleet: LiveFleet
) -> list[Finding]:
    """Return the warnings about a change that has passed validation."""
    if not fleet.is_known:
        return []
    touched = {edit.section for edit in edits}
    before = {name: configuration.section(name) for name in touched}
    findings: list[Finding] = []
    for section, keys in apply_edits(before, edits).items():
        findings += _value_warnings(section, keys, fleet)
        if section != DEFAULTS and keys:
            exception = parse_exception(section, keys)
            text = _scope_warning(exception, fleet)
            if text:
                findings.append(Finding("proposed", section, "scope", 0, text))
    return findings


def _scope_warning(exception: PolicyException, fleet: LiveFleet) -> str:
    """Return why an exception would match nothing, empty if it matches."""
    name = exception.scope.name
    match exception.scope.kind:
        case "service" if name not in fleet.services:
            return f"no instance of the {SERVICE} {name} is listed"
        case "zone" if name not in fleet.zones:
            return f"no instance in the {ZONE} {name} is listed"
        case "instance" if name not in fleet.instances:
            return f"the {INSTANCE} {name} is not listed"
        case "route":
            service = exception.service or name.lstrip("/").partition("/")[0]
            if service not in fleet.services:
                return f"the {ROUTE} maps to {service}, which has no instance"
    return ""


def _value_warnings(
    section: str, keys: dict[str, str], fleet: LiveFleet
) -> list[Finding]:
    texts: list[tuple[str, str]] = []
    match keys.get("floor_percent"):
        case "100":
            texts.append(("floor_percent", "no unhealthy instance could be ejected"))
        case "0":
            texts.append(("floor_percent", "every instance could be ejected"))
    # Every VM may open at least one connection to an instance.
    connections = keys.get("connections_per_instance")
    if connections is not None and int(connections) < fleet.vm_count:
        text = f"fewer connections than VMs ({fleet.vm_count})"
        texts.append(("connections_per_instance", text))
    return [Finding("proposed", section, key, 0, text) for key, text in texts]
