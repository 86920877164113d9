"""Claims in the platform's table and what a caller's repeat is told."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple


class ClaimState(Enum):
    """State of a claim's row."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RecordedAnswer(NamedTuple):
    """A recorded answer; ``body`` is its bytes as latin-1 text."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class ClaimRow(NamedTuple):
    """The row of one key.

    ``owner`` names the exchange that wrote it, ``request`` the method and target
    that the key belongs to, ``written_at`` is the wall time in milliseconds.
    """

    state: ClaimState
    owner: str
    request: str
    written_at: float
    record: RecordedAnswer | None = None


class KeyedRequest(NamedTuple):
    """A request with an idempotency key; ``row_key`` names its row."""

    row_key: str
    owner: str
    request: str


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may run; ``revision`` is that of its row."""

    revision: int


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request ran before; its recorded answer is given again."""

    record: RecordedAnswer


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was claimed before and its outcome is not known."""


@dataclass(frozen=True, slots=True)
class Mismatched:
    """The key belongs to another request."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no definite answer; the request was not run."""


ClaimOutcome = Granted | Replayed | OutcomeUnknown | Mismatched | Unavailable


def encode_row(row: ClaimRow) -> str:
    """Return a row as JSON text."""
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
    """Return the row in JSON text.

    Raises
    ------
    ValueError
        When the text is no row.
    """
    try:
        data = json.loads(text)
        return ClaimRow(
            state=ClaimState(data["state"]),
            owner=str(data["owner"]),
            request=str(data["request"]),
            written_at=float(data["at"]),
            record=_decode_record(data.get("record")),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a claim: {error!r}") from None


def _decode_record(data: Any) -> RecordedAnswer | None:
    if data is None:
        return None
    status, headers, body = data
    return RecordedAnswer(
        int(status), tuple((str(n), str(v)) for n, v in headers), str(body)
    )
