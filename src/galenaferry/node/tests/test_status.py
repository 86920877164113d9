"""Responses of a VM to operators."""

import pytest

from galenaferry.network.json_server import JsonRequest
from galenaferry.node.status import StatusInterface

KEY = b"headheadbodybody"
LIFT = "/v1/crashing-requests/lift"


def respond(fingerprint, authorization="Bearer secret", token="secret"):
    known = {KEY}
    status = StatusInterface(
        lambda: (True, "ready"), dict, str, lambda key: key in known, token
    )
    headers = {"authorization": authorization} if authorization else {}
    query = {"fingerprint": fingerprint}
    response = status.respond(JsonRequest("POST", LIFT, query, headers, None, b""))
    return response.status


def test_an_operator_lifts_a_blocked_request():
    assert respond(KEY.hex()) == 200


@pytest.mark.parametrize(("fingerprint", "expected"), [("zz", 400), ("00", 404)])
def test_a_fingerprint_that_is_not_known_is_refused(fingerprint, expected):
    assert respond(fingerprint) == expected


@pytest.mark.parametrize(
    ("authorization", "token"),
    [("", "secret"), ("Bearer other", "secret"), ("Bearer ", ""), ("", "")],
)
def test_nobody_lifts_a_block_without_the_token(authorization, token):
    assert respond(KEY.hex(), authorization, token) == 401
