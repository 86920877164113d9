"""Parsing of the node file, which holds a VM's settings in the platform's format."""

import math
import tomllib
from collections.abc import Callable
from typing import Any, Final, TypeVar

from result import Err, Ok, Result

from ..attempts.fleet_budget import BudgetBounds
from ..callers.decisions import derive_bounds
from ..findings import Finding
from ..ini import parse_address
from ..node.settings import (
    DEFAULT_CONFIGURATION_TIMEOUT_MS,
    Address,
    NodeSettings,
)
from ..quotas.messages import QuotaBounds

ADMISSION_CONTRACT: Final = "pressure"
"""Entry of ``contracts`` that asks for admission control."""
BYTES_PER_MS_OF_MBPS: Final = 125.0

T = TypeVar("T")


class _Fields:
    """Fields of one TOML table; adds findings for missing and invalid fields."""

    def __init__(self, file: str, data: Any, section: str, findings: list[Finding]):
        self._file = file
        self._data = data if isinstance(data, dict) else {}
        self._section = section
        self._findings = findings
        if not isinstance(data, dict):
            self.add_finding("", "a table is needed")

    def add_finding(self, key: str, text: str) -> None:
        """Add a finding for a key of this table."""
        self._findings.append(Finding(self._file, self._section, key, 0, text))

    def read(self, key: str, parse: Callable[[Any], T], default: T) -> T:
        """Return a parsed field, or ``default`` with a finding if that fails."""
        if key not in self._data:
            self.add_finding(key, "a value is needed")
            return default
        try:
            return parse(self._data[key])
        except ValueError as error:
            self.add_finding(key, str(error))
            return default

    def read_optional(self, key: str, parse: Callable[[Any], T], default: T) -> T:
        """Return a parsed field, or ``default`` if it is absent."""
        return self.read(key, parse, default) if key in self._data else default

    def table(self, key: str) -> "_Fields":
        """Return the fields of a nested table."""
        return _Fields(self._file, self._data.get(key), key, self._findings)


def parse_node_file(file: str, text: str) -> Result[NodeSettings, list[Finding]]:
    """Return the settings in a node file, or all findings together.

    Unknown fields are ignored.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Finding(file, "", "", 0, str(error))])
    except RecursionError:
        return Err([Finding(file, "", "", 0, "the values are nested too deeply")])
    findings: list[Finding] = []
    fields = _Fields(file, data, "", findings)
    listen = fields.table("listen")
    platform = fields.table("platform")
    limits = _Fields(file, data.get("limits", {}), "limits", findings)
    bounds = _Fields(file, _parse_bounds(fields), "bounds", findings)
    ports = fields.read("internalPortRange", _parse_port_range, (0, 0))
    ip = fields.read("ip", _parse_string, "127.0.0.1")
    no_seeds: tuple[Address, ...] = ()
    no_address = ("127.0.0.1", 0)
    settings = NodeSettings(
        name=fields.read("nodeName", _parse_string, ""),
        zone=fields.read("zone", _parse_string, ""),
        region=fields.read("region", _parse_string, ""),
        callers=listen.read("front", _parse_address, no_address),
        readiness=listen.read("ready", _parse_address, no_address),
        peers=(ip, ports[0]),
        # The ports of these addresses belong to an interface that no VM of this fleet
        # serves, so only the hosts are used. The peer port is the same on all VMs.
        seeds=tuple(
            (host, ports[0])
            for host, _ in fields.read("seedNodes", _parse_address_list, no_seeds)
        ),
        store=platform.read("address", _parse_address, no_address),
        drain_timeout=bounds.read("drainTimeoutMs", _parse_number, 0.0),
        grace_period=bounds.read("gracePeriodS", _parse_number, 0.0) * 1000.0,
        floor_share=bounds.read("floorShare", _parse_number, 0.0),
        budget=BudgetBounds(
            ratio=bounds.read("retryBudgetRatio", _parse_number, 0.0),
            slack=bounds.read("retryBudgetSlack", _parse_number, 0.0),
            window=bounds.read("budgetWindowS", _parse_number, 0.0) * 1000.0,
        ),
        configuration_timeout=bounds.read_optional(
            "configApplyMs", _parse_number, DEFAULT_CONFIGURATION_TIMEOUT_MS
        ),
        relay=(ip, ports[0] + 1) if ports[1] > ports[0] else None,
        link_rate=BYTES_PER_MS_OF_MBPS
        * limits.read_optional("linkMbps", _parse_number, 0.0),
        quota=_parse_quota(bounds),
        caller_bounds=derive_bounds(
            limits.read_optional("memoryMb", _parse_number, 0.0),
            limits.read_optional("fileDescriptors", _parse_number, 0.0),
        ),
        is_first_start=fields.read_optional("bootstrap", _parse_bool, False),
        has_admission_control=_has_contract(data, ADMISSION_CONTRACT),
    )
    return Err(findings) if findings else Ok(settings)


def _parse_bounds(fields: _Fields) -> dict[str, str]:
    """Return the bounds, which are strings of the form NAME=VALUE, by name."""
    no_strings: tuple[str, ...] = ()
    strings = fields.read("bounds", _parse_string_list, no_strings)
    return dict(text.split("=", 1) for text in strings if "=" in text)


def _parse_quota(bounds: _Fields) -> QuotaBounds | None:
    """Return the bounds of rate limits, None without a window."""
    window = bounds.read_optional("quotaWindowS", _parse_number, 0.0) * 1000.0
    overage = bounds.read_optional("quotaOverage", _parse_number, 0.0)
    slack = bounds.read_optional("quotaSlack", _parse_number, 0.0)
    return QuotaBounds(window, overage, slack) if window > 0.0 else None


def _has_contract(data: dict[str, Any], name: str) -> bool:
    """Whether ``contracts`` holds a name; other content of it is ignored."""
    contracts = data.get("contracts")
    return isinstance(contracts, list) and name in contracts


def _parse_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _parse_bool(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _parse_string_list(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return tuple(_parse_string(item) for item in value)


def _parse_address(value: Any) -> tuple[str, int]:
    return parse_address(_parse_string(value))


def _parse_address_list(value: Any) -> tuple[tuple[str, int], ...]:
    return tuple(parse_address(text) for text in _parse_string_list(value))


def _parse_port_range(value: Any) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError(f"{value!r} is not a range of ports [FIRST, LAST]")
    first, last = value
    if not isinstance(first, int) or not isinstance(last, int) or first > last:
        raise ValueError(f"{value!r} is not a range of ports [FIRST, LAST]")
    return first, last


def _parse_number(value: Any) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise ValueError(f"{value!r} is not a number") from None
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    if number < 0.0:
        raise ValueError(f"{value!r} is negative")
    return number
