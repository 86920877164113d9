"""Answers that the proxy generates itself: refusals and replays."""

from typing import Final, NamedTuple

from ..attempts.messages import Execution
from ..claims.messages import RecordedAnswer
from ..clock import Millis
from ..framing.messages import Header, ResponseHead
from .messages import (
    RAN_HEADER,
    REASON_HEADER,
    REPLAYED_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
)

RETRY_AFTER_MS: Final = 1000.0
"""Default delay before a refused caller retries (docs/INTERFACES.md, Callers)."""

RETRY_AFTER_STATUSES: Final = (429, 503)


class LocalAnswer(NamedTuple):
    """Head and complete body of a generated answer."""

    head: ResponseHead
    body: bytes


def make_refusal(
    status: int,
    reason: str,
    ran: Execution,
    request_id: Header,
    retry_after: Millis | None = RETRY_AFTER_MS,
) -> LocalAnswer:
    """Return the answer to a request that no backend server has answered.

    Parameters
    ----------
    status : int
    reason : str
    ran : Execution
        Whether the request was executed, as far as that is proven.
    request_id : Header
    retry_after : float or None
        Delay in milliseconds before the caller retries; sent with status 429
        and 503 only.
    """
    body = f"{reason}\n".encode()
    headers: list[Header] = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
        (RAN_HEADER, ran.value.encode()),
        (REASON_HEADER, reason.encode()),
        request_id,
    ]
    if status == 401:
        # RFC 9110 requires a challenge.
        headers.append((b"www-authenticate", b"ApiKey"))
    if status in RETRY_AFTER_STATUSES and retry_after is not None:
        seconds = b"%.3f" % (retry_after / 1000.0)
        headers.append((RETRY_AFTER_HEADER, seconds.rstrip(b"0").rstrip(b".")))
    return LocalAnswer(ResponseHead(status, b"", tuple(headers), len(body)), body)


def make_replay(record: RecordedAnswer, request_id: bytes) -> LocalAnswer:
    """Return the recorded answer to an earlier request with the same key."""
    body = record.body.encode("latin-1")
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in record.headers
        if name != REQUEST_ID_HEADER.decode()
    ]
    headers += [
        (b"content-length", b"%d" % len(body)),
        (REPLAYED_HEADER, b"1"),
        (REQUEST_ID_HEADER, request_id),
    ]
    head = ResponseHead(record.status, b"", tuple(headers), len(body))
    return LocalAnswer(head, body)
