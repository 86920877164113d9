"""Numbers that come from outside the process."""

import pytest

from galenaferry.numbers import parse_decimal_number, parse_whole_number


@pytest.mark.parametrize(("text", "number"), [("0", 0), ("007", 7), ("100", 100)])
def test_whole_numbers_up_to_the_maximum_are_accepted(text, number):
    assert parse_whole_number(text, 100).unwrap() == number


@pytest.mark.parametrize(
    "text",
    ["", " 1", "+1", "-1", "1.0", "1e3", "0x1", "\u00b2", "\u0663", "101", "1" * 25],
)
def test_other_whole_numbers_are_not(text):
    assert parse_whole_number(text, 100).unwrap_err().startswith("must")


@pytest.mark.parametrize(("text", "number"), [("0", 0.0), ("1.5", 1.5), ("12", 12.0)])
def test_decimal_numbers_are_accepted(text, number):
    assert parse_decimal_number(text).unwrap() == number


@pytest.mark.parametrize(
    "text", ["", ".5", "5.", "-1", "nan", "inf", "1e9", "1,5", "\u00b2", "1" * 25]
)
def test_other_decimal_numbers_are_not(text):
    assert parse_decimal_number(text).unwrap_err().startswith("must")
