"""Updates of tables that VMs fetch from each other."""

import json

import pytest

from galenaferry.discovery import peer_updates
from galenaferry.discovery.messages import StoreVersion, TableRow, TableUpdate
from galenaferry.discovery.peer_updates import (
    decode_update,
    encode_update,
    respond_to_peer,
)
from galenaferry.network.json_server import JsonRequest

UPDATE = TableUpdate(
    StoreVersion(2, 2**43),
    (TableRow("a", b"\xff"), TableRow("b", None)),
    True,
    StoreVersion(2, 2**42),
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
    assert decode_update(body).changed_at == StoreVersion(0, 7)


@pytest.mark.parametrize("changed", [-1, 8, "x", None])
def test_an_update_that_changed_after_its_version_is_an_error(changed):
    data = {"version": 7, "whole": False, "rows": [], "changed": changed}
    with pytest.raises(ValueError):
        decode_update(json.dumps(data).encode())


LARGE = TableUpdate(
    StoreVersion(0, 7),
    (TableRow("config", b"route " * 9_000), TableRow("small", b"x")),
    False,
    StoreVersion(0, 5),
)


def test_a_large_value_is_sent_compressed_to_a_vm_that_asks_for_it():
    encoded = json.dumps(encode_update(LARGE, is_compressed=True)).encode()
    assert len(encoded) < 2_000
    assert decode_update(encoded) == LARGE


def test_a_vm_of_an_earlier_version_gets_a_large_value_as_before():
    for query in ({}, {"compressed": "2"}):
        request = JsonRequest("GET", "/tables/op", query, {}, None, b"")
        response = respond_to_peer({"op": lambda after: LARGE}, request)
        assert all(len(row) == 2 for row in response.body["rows"])
        assert decode_update(json.dumps(response.body).encode()) == LARGE


@pytest.mark.parametrize(
    "row",
    [
        ["a", "eJw=", "zlib"],
        ["a", "AAAA", "zlib"],
        ["a", "AAAA", "other"],
        ["a", "AAAA", "zlib", 4],
        ["a"],
        7,
    ],
)
def test_an_invalid_row_is_an_error(row):
    body = json.dumps({"version": 7, "whole": False, "rows": [row]}).encode()
    with pytest.raises(ValueError):
        decode_update(body)


def test_a_value_that_expands_without_bound_is_an_error(monkeypatch):
    monkeypatch.setattr(peer_updates, "MAX_VALUE_BYTES", 10_000)
    with pytest.raises(ValueError):
        decode_update(json.dumps(encode_update(LARGE, True)).encode())


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


@pytest.mark.parametrize("number", ["1e999", "-1", str(1 << 63)])
@pytest.mark.parametrize("name", ["version", "era"])
def test_an_update_with_a_version_out_of_range_is_an_error(name, number):
    # An exception left the VM waiting for this fetch for ever.
    data = {"version": "7", "era": "1"} | {name: number}
    fields = ", ".join(f'"{key}": {value}' for key, value in data.items())
    with pytest.raises(ValueError, match="invalid table update"):
        decode_update(b'{%b, "whole": true, "rows": []}' % fields.encode())
