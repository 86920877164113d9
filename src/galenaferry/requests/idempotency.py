"""Requests with an idempotency key: their claims and refusals."""

from random import Random
from typing import NamedTuple

from ..attempts.messages import Execution
from ..claims.handle import row_key
from ..claims.messages import (
    ClaimOutcome,
    KeyedRequest,
    Mismatched,
    OutcomeUnknown,
    Unavailable,
)
from ..framing.messages import RequestHead
from ..routing.table import Route


class Refusal(NamedTuple):
    """Why a keyed request is refused, and whether it was executed before."""

    status: int
    reason: str
    ran: Execution


def make_keyed_request(
    head: RequestHead, route: Route, key: bytes, random: Random
) -> KeyedRequest:
    """Return the row key, owner and request line of a request's claim."""
    authorization = head.header(b"authorization") or b""
    return KeyedRequest(
        row_key=row_key(route.service, authorization, key),
        owner=f"{random.getrandbits(128):032x}",
        request=f"{head.method.decode()} {head.target.decode('latin-1')}",
    )


def refusal_for(outcome: ClaimOutcome) -> Refusal | None:
    """Return the refusal for the outcome of a claim, None if there is none."""
    match outcome:
        case OutcomeUnknown():
            reason = "the key was used and its outcome is not known"
            return Refusal(409, reason, Execution.UNKNOWN)
        case Mismatched():
            reason = "the key belongs to another request"
            return Refusal(422, reason, Execution.NOT_RUN)
        case Unavailable():
            return Refusal(503, "claims can't be recorded now", Execution.NOT_RUN)
        case _:
            return None
