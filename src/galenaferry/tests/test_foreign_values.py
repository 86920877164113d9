"""Values of any content in all places that read what another process wrote."""

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from result import Ok

from galenaferry.admin.messages import parse_proposal
from galenaferry.claims.messages import decode_row
from galenaferry.configuration.acceptance import decode_head
from galenaferry.configuration.messages import decode_change
from galenaferry.configuration.state import ConfigurationState
from galenaferry.membership.vm_list import VmListLog, decode_vm_change
from galenaferry.network.fetch import FetchResponse
from galenaferry.store import client
from galenaferry.tests.json_values import JSON_VALUES

NESTED = "[" * 20_000
DEEP = "[" * 900 + "]" * 900
ODD_TEXTS = [
    NESTED,
    DEEP,
    "1e999",
    "9" * 5_000,
    "NaN",
    "null",
    "7",
    '"text"',
    "[]",
    "{}",
    "[[]]",
    '"\\ud800"',
]
FIELDS = {
    "head": {"version": 1, "digest": "d"},
    "change": {
        "version": 1,
        "id": "i",
        "author": "a",
        "reason": "r",
        "accepted_at": 1.0,
        "edits": [["s", "k", "v"]],
        "digest": "d",
    },
    "claim": {
        "state": "open",
        "owner": "o",
        "request": "r",
        "at": 1.0,
        "record": [200, [["a", "b"]], "body"],
    },
}
DECODE_BY_NAME = {
    "head": decode_head,
    "change": decode_change,
    "claim": decode_row,
    "VM list": decode_vm_change,
    "sections": lambda text: ConfigurationState().load_rows(1, "d", [text]),
    "VM rows": lambda text: VmListLog().load_rows(1, "d", [text]),
}
PARSE_BY_NAME = {
    "row": client._parse_row,
    "rows": client._parse_rows,
    "commit": client._parse_commit,
    "VM list": client._parse_vm_list,
}


def decode_or_refuse(decode, text):
    """Decode a text; an error other than ``ValueError`` fails the test."""
    try:
        decode(text)
    except ValueError:
        return


@pytest.mark.parametrize("name", DECODE_BY_NAME)
@pytest.mark.parametrize("text", ODD_TEXTS, ids=lambda text: text[:6])
def test_an_odd_value_is_refused_with_the_error_that_its_readers_expect(name, text):
    """Guards against a callback that ends with an error that nobody handles."""
    decode_or_refuse(DECODE_BY_NAME[name], text)


@pytest.mark.parametrize("name", FIELDS)
@pytest.mark.parametrize("text", ODD_TEXTS[1:], ids=lambda text: text[:6])
def test_an_odd_field_is_refused_with_the_error_that_its_readers_expect(name, text):
    """Guards against a callback that ends with an error that nobody handles."""
    for field in FIELDS[name]:
        row = json.dumps(FIELDS[name] | {field: "FIELD"}).replace('"FIELD"', text)
        decode_or_refuse(DECODE_BY_NAME[name], row)


@given(JSON_VALUES, st.sampled_from(sorted(DECODE_BY_NAME)))
def test_no_value_raises_an_unexpected_error(value, name):
    """Guards against a callback that ends with an error that nobody handles."""
    decode_or_refuse(DECODE_BY_NAME[name], json.dumps(value))


@pytest.mark.parametrize("name", PARSE_BY_NAME)
@pytest.mark.parametrize(
    "text",
    [
        *ODD_TEXTS,
        '{"rows": 7}',
        '{"rows": [7]}',
        '{"rows": [], "revision": 1e999}',
        '{"changes": [[1e999, "a", null]]}',
        '{"conflict": []}',
    ],
    ids=lambda text: text[:24],
)
@pytest.mark.parametrize("status", [200, 409])
def test_an_odd_response_of_the_store_is_an_error(name, text, status):
    """Guards against calls to the store whose callers never hear of their end."""
    response = Ok(FetchResponse(status, (), text.encode()))
    client._to_platform_result(response, PARSE_BY_NAME[name])


@given(JSON_VALUES)
@example({"base": 10**400})
@example({"edits": [[]]})
def test_no_body_of_an_operator_raises_an_unexpected_error(value):
    """Guards against 500 instead of 400 for a wrong body."""
    decode_or_refuse(lambda body: parse_proposal("id", body), value)
