"""Parsing of JSON that other processes wrote.

A value may come from any writer: a few thousand brackets exhaust the stack of the
parser, and texts may hold halves of surrogate pairs, which no encoder accepts.
"""

import json
from typing import Any, Final

FIELD_ERRORS: Final = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors that taking apart a value of any content can raise. All places that read what
another process wrote expect them, so that no callback ends with one."""
MAX_INTEGER: Final = (1 << 63) - 1
"""Largest integer that is accepted."""


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    ValueError
        When the text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(data)
    except UnicodeDecodeError as error:
        # Its representation holds the whole text, which may contain keys.
        raise ValueError(f"invalid encoding at byte {error.start}") from None
    except RecursionError:
        raise ValueError("the value is nested too deeply") from None


def check_text(value: Any, name: str) -> str:
    """Return a value that is a text and can be encoded.

    Raises
    ------
    ValueError
        When it is no text, or when it can't be encoded.
    """
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{name} can't be encoded") from None
    return value
