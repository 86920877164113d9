"""Holds a request until its body is complete, before an instance is chosen.

While a body arrives, a slot of the instance would wait for it.
"""

from collections.abc import Callable
from typing import Final

from ..framing.messages import RequestHead
from .body import REPLAY_LIMIT_BYTES, RequestBody

HOLD_LIMIT_BYTES: Final = 262_144
"""Size from which a body is streamed instead. The smallest VM has 152 MB: room for some
hundreds of such bodies. Reading from the caller pauses at the same size."""


class BodyHold:
    """Waits for the body of one request.

    Parameters
    ----------
    head : RequestHead
    body : RequestBody
    request_body : callable
        Asks a caller that waits for permission to send the body.
    """

    __slots__ = ("_body", "_head", "_limit", "_on_body", "_request_body")

    def __init__(
        self, head: RequestHead, body: RequestBody, request_body: Callable[[], None]
    ) -> None:
        self._head = head
        self._body = body
        self._request_body = request_body
        self._limit = HOLD_LIMIT_BYTES
        self._on_body: Callable[[], None] | None = None

    def check(self, proceed: Callable[[], None]) -> None:
        """Call ``proceed``, at once or when the body has arrived."""
        if self._is_received():
            proceed()
        else:
            self._body.replay_limit = self._limit
            self._on_body = proceed
            self._request_body()

    def on_body(self) -> None:
        """Handle that more of the body, or its end, has arrived."""
        if self._on_body is not None and self._is_received():
            on_body, self._on_body = self._on_body, None
            on_body()

    @property
    def is_waiting(self) -> bool:
        """Whether the request waits for its body."""
        return self._on_body is not None

    def stream(self) -> None:
        """Proceed with the part of the body that has arrived, and hold no more."""
        self._limit = 0
        self._body.replay_limit = REPLAY_LIMIT_BYTES
        self.on_body()

    def close(self) -> None:
        """Stop waiting."""
        self._on_body = None

    def _is_received(self) -> bool:
        body, length = self._body, self._head.length
        size = max(body.size, length or 0)
        return body.is_complete or length == 0 or size >= self._limit
