"""Where a request comes from: a caller, or a VM that passes on its caller's request.

A VM that passes a request on adds a header with the caller's address, the instances
that the request must not reach, and a code that only VMs of the fleet can compute. Such
a request is not passed on again.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..framing.messages import Header, RequestHead

RELAY_HEADER: Final = b"galenaferry-relayed-for"
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
    """

    caller: str = ""
    is_relayed: bool = False
    is_trial: bool = False
    leaving_keys: tuple[int, ...] = ()
    error: str = ""


UNKNOWN_ORIGIN: Final = Origin()

ReadOrigin = Callable[[RequestHead, str], tuple[Origin, RequestHead]]
"""Returns the origin of a request, given the IP address of the peer, and its head
without the header of the fleet."""


def read_caller(head: RequestHead, address: str) -> tuple[Origin, RequestHead]:
    """Return the origin of a request of a caller; a forged header has no effect."""
    return Origin(address), _without_relay_header(head)


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
        stripped = _without_relay_header(head)
        match self._verify(head):
            case Ok(origin):
                return origin, stripped
            case Err(error):
                is_relayed = head.header(RELAY_HEADER) is not None
                return Origin(address, is_relayed, error=error), stripped

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


def _without_relay_header(head: RequestHead) -> RequestHead:
    if head.header(RELAY_HEADER) is None:
        return head
    headers = tuple(row for row in head.headers if row[0] != RELAY_HEADER)
    return head._replace(headers=headers)
