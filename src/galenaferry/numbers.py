"""Parsing of numbers that come from outside the process."""

import math
import re
from typing import Final

from result import Err, Ok, Result

# ``str.isdigit`` also accepts digits that ``int`` rejects, such as superscripts.
WHOLE_NUMBER: Final = re.compile(r"[0-9]{1,20}")
DECIMAL_NUMBER: Final = re.compile(r"[0-9]{1,20}(\.[0-9]{1,20})?")


def parse_whole_number(text: str, maximum: int) -> Result[int, str]:
    """Return the number that ASCII digits state, or why it is not accepted.

    Parameters
    ----------
    text : str
    maximum : int
        Largest number that is accepted.
    """
    if WHOLE_NUMBER.fullmatch(text) is None:
        return Err("must be a whole number")
    number = int(text)
    if number > maximum:
        return Err(f"must not be greater than {maximum}")
    return Ok(number)


def parse_decimal_number(text: str) -> Result[float, str]:
    """Return a non-negative number with an optional fraction, or why it is invalid.

    Signs, exponents, infinity and values that are not numbers are invalid.
    """
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return Err("must be a non-negative decimal number")
    number = float(text)
    assert math.isfinite(number)
    return Ok(number)
