"""Rows of claims in the platform's table, and the outcomes of claiming a key."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ..json_data import FIELD_ERRORS, parse_json


class ClaimState(Enum):
    """State of the row of a claim.

    ``CLAIMED`` has no recorded outcome yet, ``ANSWERED`` has a recorded answer,
    ``NOT_RUN`` was not executed and may be claimed again, and ``UNKNOWN`` may have
    been executed but has no answer to replay.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RecordedAnswer(NamedTuple):
    """A recorded answer; ``body`` holds its bytes decoded as latin-1."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class ClaimRow(NamedTuple):
    """The row of one idempotency key.

    ``owner`` identifies the exchange that wrote the row, ``request`` is the method
    and target that the key belongs to, and ``written_at`` is the Unix time of the
    write in milliseconds.
    """

    state: ClaimState
    owner: str
    request: str
    written_at: float
    record: RecordedAnswer | None = None


class KeyedRequest(NamedTuple):
    """A request with an idempotency key.

    ``row_key`` is the key of its row, ``owner`` identifies the exchange, and
    ``request`` is its method and target.
    """

    row_key: str
    owner: str
    request: str


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be executed; ``revision`` is the revision of its row."""

    revision: int


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request was executed before; its recorded answer is replayed."""

    record: RecordedAnswer


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The key was claimed before and the outcome of its request is unknown."""


@dataclass(frozen=True, slots=True)
class Mismatched:
    """The key was used with a different method or target."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no definite result; the request was not executed."""


ClaimOutcome = Granted | Replayed | OutcomeUnknown | Mismatched | Unavailable


def encode_row(row: ClaimRow) -> str:
    """Encode a row as JSON text."""
    data: dict[str, Any] = {
        "state": row.state.value,
        "owner": row.owner,
        "request": row.request,
        "at": row.written_at,
    }
    if row.record is not None:
        data["record"] = [row.record.status, row.record.headers, row.record.body]
    return json.dumps(data)


def decode_row(text: str) -> ClaimRow:
    """Decode a row from JSON text.

    Raises
    ------
    ValueError
        If the text is not a valid row.
    """
    try:
        data = parse_json(text)
        return ClaimRow(
            state=ClaimState(data["state"]),
            owner=str(data["owner"]),
            request=str(data["request"]),
            written_at=float(data["at"]),
            record=_decode_record(data.get("record")),
        )
    except FIELD_ERRORS as error:
        raise ValueError(f"invalid claim row: {error!r}") from None


def _decode_record(data: Any) -> RecordedAnswer | None:
    if data is None:
        return None
    status, headers, body = data
    return RecordedAnswer(
        int(status), tuple((str(n), str(v)) for n, v in headers), str(body)
    )
