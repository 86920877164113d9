"""Updates of tables that VMs fetch from each other."""

import json

import pytest

from galenaferry.discovery.messages import StoreVersion, TableRow, TableUpdate
from galenaferry.discovery.peer_updates import (
    decode_update,
    encode_update,
    respond_to_peer,
)
from galenaferry.network.json_server import JsonRequest

UPDATE = TableUpdate(
    StoreVersion(2, 2**43), (TableRow("a", b"\xff"), TableRow("b", None)), True
)


def respond(**query):
    asked = []

    def update_since(after):
        asked.append(after)
        return UPDATE

    request = JsonRequest("GET", "/tables/op", query, {}, None, b"")
    return respond_to_peer({"op": update_since}, request), asked


def test_an_update_survives_a_round_trip():
    assert decode_update(json.dumps(encode_update(UPDATE)).encode()) == UPDATE


def test_an_update_of_a_vm_of_an_earlier_version_has_no_era():
    body = json.dumps({"version": 7, "whole": False, "rows": []}).encode()
    assert decode_update(body).version == StoreVersion(0, 7)


def test_the_version_that_a_vm_has_is_passed_on():
    response, asked = respond(after="12", era="3")
    assert response.status == 200
    assert asked == [StoreVersion(3, 12)]
    assert respond(after="12")[1] == [StoreVersion(0, 12)]


@pytest.mark.parametrize("name", ["after", "era"])
@pytest.mark.parametrize("value", ["", "-1", "\u00b2", "x", "9" * 20])
def test_an_invalid_number_is_refused_with_its_name(name, value):
    response, asked = respond(**{name: value})
    assert response.status == 400
    assert response.body["error"].startswith(name)
    assert asked == []


@pytest.mark.parametrize("body", [b"{", b"[]", b"null", b'{"version": 1}'])
def test_an_invalid_update_is_an_error(body):
    with pytest.raises(ValueError):
        decode_update(body)
