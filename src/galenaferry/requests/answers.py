"""Answers of the fleet's own: refusals and replays."""

from typing import Final, NamedTuple

from ..attempts.messages import Ran
from ..claims.messages import Record
from ..framing.messages import Header, ResponseHead
from .messages import RAN, REASON, REPLAYED, REQUEST_ID, RETRY_AFTER

RETRY_AFTER_SECONDS: Final = b"1"


class OwnAnswer(NamedTuple):
    """A whole answer."""

    head: ResponseHead
    body: bytes


def refusal(status: int, reason: str, ran: Ran, request_id: bytes) -> OwnAnswer:
    """Return the answer to a request that got none from a backend server."""
    body = f"{reason}\n".encode()
    headers: list[Header] = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
        (RAN, ran.value.encode()),
        (REASON, reason.encode()),
        (REQUEST_ID, request_id),
    ]
    if status == 503:
        headers.append((RETRY_AFTER, RETRY_AFTER_SECONDS))
    return OwnAnswer(ResponseHead(status, b"", tuple(headers), len(body)), body)


def replay(record: Record, request_id: bytes) -> OwnAnswer:
    """Return the recorded answer to an earlier request with the same key."""
    body = record.body.encode("latin-1")
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in record.headers
        if name != REQUEST_ID.decode()
    ]
    headers += [
        (b"content-length", b"%d" % len(body)),
        (REPLAYED, b"1"),
        (REQUEST_ID, request_id),
    ]
    head = ResponseHead(record.status, b"", tuple(headers), len(body))
    return OwnAnswer(head, body)
