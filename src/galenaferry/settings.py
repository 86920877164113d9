"""Settings of one entry VM, read from its INI file."""

import ipaddress
from typing import Final, NamedTuple

from result import Err, Ok, Result

from .findings import Finding
from .ini import Document, parse_address, parse_flag, parse_whole

Address = tuple[str, int]

KEYS_BY_SECTION: Final = {
    "vm": frozenset(("name", "zone", "region", "callers", "peers", "drain_wait_ms")),
    "admin": frozenset(("address", "token")),
    "platform": frozenset(("address", "timeout_ms")),
    "peers": frozenset(("key", "previous_key", "seeds")),
    "logs": frozenset(("json",)),
}
SHORTEST_KEY: Final = 16


class Settings(NamedTuple):
    """What a VM must know before it can ask the platform.

    ``callers``, ``peers`` and ``admin`` are the addresses that it listens on
    for requests (TCP), other VMs (UDP) and operators (TCP). ``seeds`` are peer
    addresses of VMs to ask when the platform can't be reached at the start.
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
    """Return the settings in ``text``, or all findings together."""
    document = Document(file, text)
    _refuse_unknown(document)
    name = _needed(document, "vm", "name")
    zone = _needed(document, "vm", "zone")
    token = document.text("admin", "token") or ""
    settings = Settings(
        name=name,
        zone=zone,
        region=document.text("vm", "region") or "default",
        callers=_address(document, "vm", "callers"),
        peers=_address(document, "vm", "peers"),
        admin=_address(document, "admin", "address"),
        admin_token=token,
        platform=_address(document, "platform", "address"),
        platform_timeout_ms=document.read(
            "platform", "timeout_ms", 2000, parse_whole(10, 60_000)
        ),
        peer_key=_needed(document, "peers", "key"),
        previous_peer_key=document.text("peers", "previous_key") or "",
        seeds=document.read("peers", "seeds", (), _parse_addresses),
        drain_wait_ms=document.read(
            "vm", "drain_wait_ms", 3000, parse_whole(0, 600_000)
        ),
        logs_json=document.read("logs", "json", False, parse_flag),
    )
    _check_secrets(document, settings)
    if document.findings:
        return Err(document.findings)
    return Ok(settings)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split())


def _refuse_unknown(document: Document) -> None:
    for section in document.sections():
        known = KEYS_BY_SECTION.get(section)
        if known is None:
            document.find(section, "", "unknown section")
        else:
            document.refuse_unknown(section, known)


def _needed(document: Document, section: str, key: str) -> str:
    text = document.text(section, key)
    if not text:
        document.find(section, key, "a value is needed")
    return text or ""


def _address(document: Document, section: str, key: str) -> Address:
    if document.text(section, key) is None:
        document.find(section, key, "a value is needed")
    return document.read(section, key, ("127.0.0.1", 0), parse_address)


def _check_secrets(document: Document, settings: Settings) -> None:
    is_local = ipaddress.ip_address(settings.admin[0]).is_loopback
    if not is_local and not settings.admin_token:
        document.find(
            "admin", "token", "a token is needed on an address that is not loopback"
        )
    if settings.peer_key and len(settings.peer_key) < SHORTEST_KEY:
        document.find("peers", "key", f"shorter than {SHORTEST_KEY} characters")
