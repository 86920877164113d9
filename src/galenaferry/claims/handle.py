"""Handle on a granted claim that records the outcome of its exchange."""

import hashlib
from typing import Final

from ..attempts.messages import Execution
from ..framing.heads import end_to_end_headers
from ..framing.messages import ResponseHead
from .component import ClaimsComponent
from .messages import ClaimState, KeyedRequest, RecordedAnswer

MAX_RECORD_BYTES: Final = 32_768
"""Largest body of an answer that is recorded."""


class ClaimHandle:
    """A granted claim, settled once with the answer of its exchange.

    An answer that is too large to be recorded is settled as unknown, as it can't be
    replayed completely.
    """

    def __init__(
        self, claims: ClaimsComponent, request: KeyedRequest, revision: int
    ) -> None:
        self._claims = claims
        self._request = request
        self._revision = revision
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._is_settled = False

    def on_head(self, head: ResponseHead) -> None:
        """Store the head of the answer."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the answer's body, up to the size limit."""
        if len(self._body) <= MAX_RECORD_BYTES:
            self._body += data

    def settle_answered(self) -> None:
        """Record the complete answer."""
        head = self._head
        if head is None or len(self._body) > MAX_RECORD_BYTES:
            self._settle(ClaimState.UNKNOWN, None)
            return
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in end_to_end_headers(head.headers)
            if name != b"content-length"
        )
        record = RecordedAnswer(head.status, headers, self._body.decode("latin-1"))
        self._settle(ClaimState.ANSWERED, record)

    def settle_unanswered(self, execution: Execution) -> None:
        """Record that the request was not executed, or that this is unknown."""
        is_not_run = execution is Execution.NOT_RUN
        state = ClaimState.NOT_RUN if is_not_run else ClaimState.UNKNOWN
        self._settle(state, None)

    def _settle(self, state: ClaimState, record: RecordedAnswer | None) -> None:
        if not self._is_settled:
            self._is_settled = True
            self._claims.settle(self._request, self._revision, state, record)


def row_key(service: str, authorization: bytes, key: bytes) -> str:
    """Return the row key for an idempotency key of one caller at one service.

    It is a digest of all three parts, so equal idempotency keys of different callers
    or services have different rows.

    Parameters
    ----------
    service : str
    authorization : bytes
        The request's Authorization header, which identifies the caller.
    key : bytes
        The request's Idempotency-Key header.
    """
    digest = hashlib.blake2b(digest_size=20)
    for part in (service.encode(), authorization, key):
        digest.update(len(part).to_bytes(4, "big") + part)
    return f"claim/{digest.hexdigest()}"
