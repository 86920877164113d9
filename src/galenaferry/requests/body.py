"""A request body between the caller and the attempts: buffer and limit."""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from ..crashes.fingerprint import body_digest
from ..framing.limits import CallerLimits
from ..framing.messages import RequestHead
from ..relay.origin import Origin
from ..routing.table import Route

if TYPE_CHECKING:
    from .context import Routes

REPLAY_LIMIT_BYTES: Final = 65_536
"""Largest body that is kept after sending, for another attempt, unless all of it was
received before; size of the part that the digest covers."""


class RequestBody:
    """Bytes of a request body that have arrived from the caller.

    Sent bytes are kept until the body exceeds ``replay_limit``, so that another attempt
    can send them again. ``size`` is the number of bytes that have arrived.
    ``queued_bytes`` are those that wait on the connection to the instance.
    """

    __slots__ = (
        "_data",
        "_digest",
        "_sent_bytes",
        "is_complete",
        "is_replayable",
        "queued_bytes",
        "replay_limit",
        "size",
    )

    def __init__(self) -> None:
        self._data = bytearray()
        self._sent_bytes = 0
        self._digest = b""
        self.is_complete = False
        self.is_replayable = True
        self.replay_limit = REPLAY_LIMIT_BYTES
        self.size = 0
        self.queued_bytes = 0

    @property
    def has_unsent(self) -> bool:
        """Whether a byte has not been sent yet."""
        return self._sent_bytes < len(self._data)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are kept in memory."""
        return len(self._data) + self.queued_bytes

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that have not been sent yet."""
        return len(self._data) - self._sent_bytes

    def append(self, part: bytes) -> None:
        """Add a part that has arrived from the caller."""
        self.size += len(part)
        self._data += part

    def take_unsent(self) -> list[bytes]:
        """Return the unsent bytes in parts, and mark them as sent."""
        unsent = bytes(self._data[self._sent_bytes :])
        if self.size > self.replay_limit:
            self._digest = self.digest()
            self.is_replayable = False
            self._data.clear()
        self._sent_bytes = len(self._data)
        return [unsent] if unsent else []

    @property
    def is_digest_final(self) -> bool:
        """Whether further parts of the body don't change the digest."""
        return self.is_complete or self.size >= REPLAY_LIMIT_BYTES

    def digest(self) -> bytes:
        """Return the digest of the first ``REPLAY_LIMIT_BYTES`` that have arrived."""
        return self._digest or body_digest(bytes(self._data[:REPLAY_LIMIT_BYTES]))

    def rewind(self) -> None:
        """Mark all kept bytes as unsent, for another attempt."""
        self._sent_bytes = 0


def is_body_too_large(
    routes: "Routes", route: Route | None, head: RequestHead, body: RequestBody
) -> bool:
    """Whether more of a body has arrived than its route permits.

    Parameters
    ----------
    routes : Routes
        The routes in force, whose limit may be higher by now.
    route : Route or None
        The route that the request was given, None while it has none.
    head : RequestHead
    body : RequestBody
    """
    if route is None or body.size <= route.policy.max_body_bytes:
        return False
    match routes.route(head):
        case Route(policy=policy):
            return body.size > policy.max_body_bytes
        case _:
            return True


def refuse_body(limits: CallerLimits, refuse: Callable[[int, str], None]) -> None:
    """Refuse a body beyond the limits, which may have been raised meanwhile."""
    if limits.is_known:
        refuse(413, "the body is too large")
    else:
        refuse(503, "the limits are not known yet: the body is too large")


def lift_body_limit(route: Route, origin: Origin) -> Route:
    """Return the route, without its body limit for a request of another VM.

    That VM has checked the limit, and may know a higher one already.
    """
    if not origin.is_relayed:
        return route
    return route._replace(policy=route.policy._replace(max_body_bytes=sys.maxsize))
