"""Where a request comes from: a caller, or a VM that passes on its caller's request.

A VM that passes a request on adds a header with the caller's address and a code that
only VMs of the fleet can compute. Such a request is not passed on again.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ..framing.messages import Header, RequestHead

RELAY_HEADER: Final = b"galenaferry-relayed-for"
MAC_BYTES: Final = 16
REQUEST: Final = b"request"
TRIAL: Final = b"trial"


class Origin(NamedTuple):
    """Origin of a request.

    ``caller`` is the IP address of the caller, empty if unknown. ``is_trial`` says that
    the other VM tries a request that may crash instances (see ``crashes``). ``error``
    says why a request of another VM is refused, empty if it is not.
    """

    caller: str = ""
    is_relayed: bool = False
    is_trial: bool = False
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
        text = b"%b %b" % (origin.caller.encode(), kind)
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
                return Origin(address, is_relayed=True, error=error), stripped

    def _verify(self, head: RequestHead) -> Result[Origin, str]:
        value = head.header(RELAY_HEADER)
        if value is None:
            return Err("a request without the header of a VM of this fleet")
        text, _, mac = value.rpartition(b" ")
        request_id = head.header(self._request_id_header) or b""
        expected = self._compute_mac(head, request_id, text)
        if not hmac.compare_digest(mac, expected):
            return Err("a request with a wrong header of a VM of this fleet")
        caller, _, kind = text.decode("latin-1").partition(" ")
        return Ok(Origin(caller, is_relayed=True, is_trial=kind == TRIAL.decode()))

    def _compute_mac(self, head: RequestHead, request_id: bytes, text: bytes) -> bytes:
        digest = hashlib.blake2b(digest_size=MAC_BYTES, key=self._key)
        host = head.header(b"host") or b""
        for part in (request_id, text, head.method, host, head.target):
            digest.update(len(part).to_bytes(4, "big") + part)
        return digest.hexdigest().encode()


def _without_relay_header(head: RequestHead) -> RequestHead:
    if head.header(RELAY_HEADER) is None:
        return head
    headers = tuple(row for row in head.headers if row[0] != RELAY_HEADER)
    return head._replace(headers=headers)
