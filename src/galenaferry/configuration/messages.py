"""Types of configuration changes, their JSON encoding and digests."""

import hashlib
import json
from typing import NamedTuple, TypedDict

from ..json_data import FIELD_ERRORS, parse_json


class Edit(NamedTuple):
    """A new value for one key of one section; None removes the key."""

    section: str
    key: str
    value: str | None


class Proposal(NamedTuple):
    """A change proposed by an operator.

    ``id`` makes the proposal idempotent: submitting it again with the same id never
    applies it twice. ``base`` is the version that the edits were made against.
    ``override`` is the operator's reason for ignoring warnings; if it is empty, a
    proposal with warnings is refused.
    """

    id: str
    base: int
    author: str
    reason: str
    edits: tuple[Edit, ...]
    override: str = ""


class Change(NamedTuple):
    """An accepted change; ``digest`` covers it and all earlier changes.

    ``accepted_at`` is the time since the Unix epoch in milliseconds.
    """

    version: int
    id: str
    author: str
    reason: str
    accepted_at: float
    edits: tuple[Edit, ...]
    digest: str


class Head(NamedTuple):
    """The newest version and its digest."""

    version: int
    digest: str


class ChangeDict(TypedDict):
    """A change as a JSON object."""

    version: int
    id: str
    author: str
    reason: str
    accepted_at: float
    edits: list[list[str | None]]
    digest: str


EMPTY_HEAD = Head(0, "")


def chain_digest(
    previous: str, version: int, change_id: str, edits: tuple[Edit, ...]
) -> str:
    """Return the digest of a change, chained to the ``previous`` digest."""
    text = json.dumps([previous, version, change_id, edits])
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def make_change(head: Head, proposal: Proposal, accepted_at: float) -> Change:
    """Return the change that appends ``proposal`` after ``head``."""
    version = head.version + 1
    return Change(
        version=version,
        id=proposal.id,
        author=proposal.author,
        reason=_reason_with_override(proposal),
        accepted_at=accepted_at,
        edits=proposal.edits,
        digest=chain_digest(head.digest, version, proposal.id, proposal.edits),
    )


def _reason_with_override(proposal: Proposal) -> str:
    if not proposal.override:
        return proposal.reason
    return f"{proposal.reason} (overridden: {proposal.override})"


def encode_change(change: Change) -> str:
    """Encode a change as one line of JSON."""
    return json.dumps(change_to_dict(change), separators=(",", ":"))


def change_to_dict(change: Change) -> ChangeDict:
    """Return a change as a JSON object."""
    return ChangeDict(
        version=change.version,
        id=change.id,
        author=change.author,
        reason=change.reason,
        accepted_at=change.accepted_at,
        edits=[[edit.section, edit.key, edit.value] for edit in change.edits],
        digest=change.digest,
    )


def decode_change(text: str) -> Change:
    """Decode a change from one line of JSON.

    Raises
    ------
    ValueError
        If the text is not a change.
    """
    try:
        row = parse_json(text)
        return Change(
            version=int(row["version"]),
            id=str(row["id"]),
            author=str(row["author"]),
            reason=str(row["reason"]),
            accepted_at=float(row["accepted_at"]),
            edits=decode_edits(row["edits"]),
            digest=str(row["digest"]),
        )
    except FIELD_ERRORS as error:
        raise ValueError(f"invalid configuration change: {error!r}") from None


def decode_edits(rows: object) -> tuple[Edit, ...]:
    """Decode edits from JSON data.

    Raises
    ------
    ValueError
        If ``rows`` is not a list of edits.
    """
    if not isinstance(rows, list):
        raise ValueError("edits must be a list")
    return tuple(_decode_edit(row) for row in rows)


def _decode_edit(row: object) -> Edit:
    if not isinstance(row, list) or len(row) != 3:
        raise ValueError("an edit is [section, key, text or null]")
    section, key, value = row
    is_text = isinstance(section, str) and isinstance(key, str)
    if not is_text or not (value is None or isinstance(value, str)):
        raise ValueError("an edit is [section, key, text or null]")
    return Edit(section, key, value)
