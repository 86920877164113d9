"""Parsing of the JSON bodies sent to the administration interface."""

from typing import Any

from ..configuration.messages import Proposal, decode_edits

MAX_CHANGE_ID_LENGTH = 100
"""In characters."""


def parse_proposal(change_id: str, body: Any) -> Proposal:
    """Return the proposal of a configuration change in a request's JSON body.

    Raises
    ------
    ValueError
        When a field is missing or has the wrong type, or the id has a wrong length.
    """
    if not isinstance(body, dict):
        raise ValueError("the body must be a JSON object")
    if not 0 < len(change_id) <= MAX_CHANGE_ID_LENGTH:
        raise ValueError(f"the id must have 1 to {MAX_CHANGE_ID_LENGTH} characters")
    return Proposal(
        id=change_id,
        base=_read_whole_number(body, "base"),
        author=_read_text(body, "author"),
        reason=_read_text(body, "reason"),
        edits=decode_edits(body.get("edits")),
        override=_read_text(body, "override") if "override" in body else "",
    )


def _read_whole_number(body: dict[str, Any], key: str) -> int:
    value = body.get(key)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{key} must be a whole number")
    return value


def _read_text(body: dict[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str) or not value.strip():
        raise ValueError(f"{key} must be a text that is not empty")
    return value
