"""Settings of an entry VM, read from its INI file."""

import ipaddress
from typing import Final, NamedTuple

from result import Err, Ok, Result

from .findings import Finding
from .ini import IniDocument, int_parser, parse_address, parse_bool

Address = tuple[str, int]
"""IP address and port."""

KEYS_BY_SECTION: Final = {
    "vm": frozenset(("name", "zone", "region", "callers", "peers", "drain_wait_ms")),
    "admin": frozenset(("address", "token")),
    "platform": frozenset(("address", "timeout_ms")),
    "peers": frozenset(("key", "previous_key", "seeds")),
    "logs": frozenset(("json",)),
}
MIN_PEER_KEY_LENGTH: Final = 16
"""In characters."""


class Settings(NamedTuple):
    """Settings that a VM needs before it can contact the platform.

    ``callers``, ``peers`` and ``admin`` are the addresses to listen on for
    requests of callers (TCP), datagrams of other VMs (UDP) and operators (TCP).
    ``seeds`` are peer addresses of VMs to contact if the platform can't be reached
    at startup. ``drain_wait_ms`` is the time in milliseconds that the load balancer
    needs to notice a graceful shutdown. Datagrams are authenticated with ``peer_key``;
    those of VMs that still use ``previous_peer_key`` are accepted too. Operators'
    requests carry ``admin_token``, which may be empty only if ``admin`` is a loopback
    address.
    """

    name: str
    zone: str
    region: str
    callers: Address
    peers: Address
    admin: Address
    admin_token: str
    platform: Address
    platform_timeout_ms: int
    peer_key: str
    previous_peer_key: str
    seeds: tuple[Address, ...]
    drain_wait_ms: int
    logs_json: bool


def read_settings(file: str, text: str) -> Result[Settings, list[Finding]]:
    """Return the settings in ``text``, or all its findings."""
    document = IniDocument(file, text)
    _reject_unknown(document)
    name = _read_required(document, "vm", "name")
    zone = _read_required(document, "vm", "zone")
    token = document.text("admin", "token") or ""
    settings = Settings(
        name=name,
        zone=zone,
        region=document.text("vm", "region") or "default",
        callers=_read_address(document, "vm", "callers"),
        peers=_read_address(document, "vm", "peers"),
        admin=_read_address(document, "admin", "address"),
        admin_token=token,
        platform=_read_address(document, "platform", "address"),
        platform_timeout_ms=document.read(
            "platform", "timeout_ms", 2000, int_parser(10, 60_000)
        ),
        peer_key=_read_required(document, "peers", "key"),
        previous_peer_key=document.text("peers", "previous_key") or "",
        seeds=document.read("peers", "seeds", (), _parse_addresses),
        drain_wait_ms=document.read(
            "vm", "drain_wait_ms", 3000, int_parser(0, 600_000)
        ),
        logs_json=document.read("logs", "json", False, parse_bool),
    )
    _check_secrets(document, settings)
    if document.findings:
        return Err(document.findings)
    return Ok(settings)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split())


def _reject_unknown(document: IniDocument) -> None:
    for section in document.sections():
        known = KEYS_BY_SECTION.get(section)
        if known is None:
            document.add_finding(section, "", "unknown section")
        else:
            document.reject_unknown_keys(section, known)


def _read_required(document: IniDocument, section: str, key: str) -> str:
    text = document.text(section, key)
    if not text:
        document.add_finding(section, key, "a value is needed")
    return text or ""


def _read_address(document: IniDocument, section: str, key: str) -> Address:
    if document.text(section, key) is None:
        document.add_finding(section, key, "a value is needed")
    return document.read(section, key, ("127.0.0.1", 0), parse_address)


def _check_secrets(document: IniDocument, settings: Settings) -> None:
    is_local = ipaddress.ip_address(settings.admin[0]).is_loopback
    if not is_local and not settings.admin_token:
        document.add_finding(
            "admin", "token", "a token is needed on an address that is not loopback"
        )
    if settings.peer_key and len(settings.peer_key) < MIN_PEER_KEY_LENGTH:
        document.add_finding(
            "peers", "key", f"shorter than {MIN_PEER_KEY_LENGTH} characters"
        )
