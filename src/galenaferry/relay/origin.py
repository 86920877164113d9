"""Where a request comes from: a caller, or a VM that passes on its caller's request.

A VM that passes a request on adds a header with the caller's address, the instances
that the request must not reach, and a code that only VMs of the fleet can compute. Such
a request is not passed on again.
"""

import hashlib
import hmac
import re
from collections.abc import Callable
from typing import Final, NamedTuple
from urllib.parse import quote, unquote

from result import Err, Ok, Result

from ..framing.messages import Header, RequestHead
from ..workspaces.messages import RelayedWorkspace

RELAY_HEADER: Final = b"galenaferry-relayed-for"
WORKSPACE_HEADER: Final = b"galenaferry-relayed-workspace"
FLEET_HEADERS: Final = (RELAY_HEADER, WORKSPACE_HEADER)
WORKSPACE_PREFIX: Final = b"workspace "
"""Separates the codes of both headers."""
WORKSPACE_TEXT: Final = re.compile(rb"([0-9a-f]{1,16}) ([0-9a-f]{32}|-) (\S*)")
"""Version of the configuration, digest of the key, and quoted name."""
MAC_BYTES: Final = 16
KEY_DIGITS: Final = 16
HEXADECIMAL_DIGITS: Final = frozenset(b"0123456789abcdef")
REQUEST: Final = b"request"
TRIAL: Final = b"trial"
MAX_LEAVING_KEYS: Final = 32
"""Leaving instances that a request names; the header stays below 1 KiB."""


class Origin(NamedTuple):
    """Origin of a request.

    ``caller`` is the IP address of the caller, empty if unknown. ``is_trial`` says that
    the other VM tries a request that may crash instances (see ``crashes``).
    ``leaving_keys`` are the keys of instances to which the other VM sends no requests
    any more, since they have announced to it that they leave. ``error`` says why a
    request of another VM is refused, empty if it is not. ``is_relayed`` is also True if
    another VM may have passed it on with a key that this VM doesn't know yet.
    ``workspace`` is what that VM says of the workspace, None if it says nothing.
    """

    caller: str = ""
    is_relayed: bool = False
    is_trial: bool = False
    leaving_keys: tuple[int, ...] = ()
    error: str = ""
    workspace: RelayedWorkspace | None = None


UNKNOWN_ORIGIN: Final = Origin()

ReadOrigin = Callable[[RequestHead, str], tuple[Origin, RequestHead]]
"""Returns the origin of a request, given the IP address of the peer, and its head
without the headers of the fleet."""


def read_caller(head: RequestHead, address: str) -> tuple[Origin, RequestHead]:
    """Return the origin of a request of a caller; a forged header has no effect."""
    return Origin(address), _without_fleet_headers(head)


class RelayAuthentication:
    """Header that authenticates requests between VMs.

    Parameters
    ----------
    key : bytes
        Key of the fleet.
    request_id_header : bytes
        Name of the header with the id of a request.
    """

    def __init__(self, key: bytes, request_id_header: bytes) -> None:
        self._key = key[:64]
        self._request_id_header = request_id_header

    def header(self, head: RequestHead, request_id: bytes, origin: Origin) -> Header:
        """Return the header for a request that is passed on for a caller."""
        kind = TRIAL if origin.is_trial else REQUEST
        keys = b",".join(map(render_key, origin.leaving_keys[:MAX_LEAVING_KEYS]))
        text = b"%b %b %b" % (origin.caller.encode(), kind, keys)
        mac = self._compute_mac(head, request_id, text)
        return RELAY_HEADER, text + b" " + mac

    def read_origin(
        self, head: RequestHead, address: str
    ) -> tuple[Origin, RequestHead]:
        """Return the origin of a request of another VM."""
        stripped = _without_fleet_headers(head)
        match self._verify(head):
            case Ok(origin):
                return origin._replace(workspace=self._read_workspace(head)), stripped
            case Err(error):
                is_relayed = head.header(RELAY_HEADER) is not None
                return Origin(address, is_relayed, error=error), stripped

    def workspace_header(
        self, head: RequestHead, request_id: bytes, relayed: RelayedWorkspace
    ) -> Header:
        """Return the header with the workspace of a request that is passed on."""
        text = b"%x %b %b" % (
            relayed.version,
            relayed.digest.hex().encode() or b"-",
            quote(relayed.name).encode(),
        )
        mac = self._compute_mac(head, request_id, WORKSPACE_PREFIX + text)
        return WORKSPACE_HEADER, text + b" " + mac

    def _read_workspace(self, head: RequestHead) -> RelayedWorkspace | None:
        """Return what another VM says of the workspace, None if it says nothing.

        A VM of an earlier build passes on such a header of its caller, which then has
        a wrong code and counts as absent.
        """
        text, _, mac = (head.header(WORKSPACE_HEADER) or b"").rpartition(b" ")
        request_id = head.header(self._request_id_header) or b""
        expected = self._compute_mac(head, request_id, WORKSPACE_PREFIX + text)
        found = WORKSPACE_TEXT.fullmatch(text)
        if found is None or not hmac.compare_digest(mac, expected):
            return None
        version, digest, name = (part.decode() for part in found.groups())
        return RelayedWorkspace(
            int(version, 16),
            unquote(name),
            b"" if digest == "-" else bytes.fromhex(digest),
        )

    def _verify(self, head: RequestHead) -> Result[Origin, str]:
        value = head.header(RELAY_HEADER)
        if value is None:
            return Err("a request without the header of a VM of this fleet")
        text, _, mac = value.rpartition(b" ")
        request_id = head.header(self._request_id_header) or b""
        expected = self._compute_mac(head, request_id, text)
        if not hmac.compare_digest(mac, expected):
            return Err("a request with a wrong header of a VM of this fleet")
        match text.split(b" "):
            # The first build with this header names no leaving instances.
            case [caller, kind, *keys] if len(keys) <= 1:
                parsed = [parse_key(key) for part in keys for key in part.split(b",")]
                leaving_keys = tuple(key for key in parsed if key is not None)
                is_trial = kind == TRIAL
                name = caller.decode("latin-1")
                return Ok(Origin(name, True, is_trial, leaving_keys))
        return Err("a request with an unknown header of a VM of this fleet")

    def _compute_mac(self, head: RequestHead, request_id: bytes, text: bytes) -> bytes:
        digest = hashlib.blake2b(digest_size=MAC_BYTES, key=self._key)
        host = head.header(b"host") or b""
        for part in (request_id, text, head.method, host, head.target):
            digest.update(len(part).to_bytes(4, "big") + part)
        return digest.hexdigest().encode()


def render_key(key: int) -> bytes:
    """Return the key of an instance as text."""
    return b"%016x" % key


def parse_key(text: bytes) -> int | None:
    """Return the key of an instance, None if the text is none."""
    if len(text) != KEY_DIGITS or not HEXADECIMAL_DIGITS.issuperset(text):
        return None
    return int(text, 16)


def _without_fleet_headers(head: RequestHead) -> RequestHead:
    if all(head.header(name) is None for name in FLEET_HEADERS):
        return head
    headers = tuple(row for row in head.headers if row[0] not in FLEET_HEADERS)
    return head._replace(headers=headers)
