"""Entries of another writer among those of the instances, and in the other tables."""

import json
from random import Random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.crashes.blocked_table import BlockedTable
from galenaferry.discovery.messages import StoreVersion, TableRow, TableUpdate
from galenaferry.discovery.peer_updates import decode_update
from galenaferry.discovery.registry import StoreAvailability
from galenaferry.membership.messages import Member
from galenaferry.membership.state import MemberTable
from galenaferry.network.fetch import FetchResponse
from galenaferry.network.loop import Loop
from galenaferry.node.instances import InstanceUpdater
from galenaferry.node.vm_register import VmRegister
from galenaferry.platform.__main__ import make_adapter
from galenaferry.platform.documents import decode_configuration, decode_instance
from galenaferry.platform.settings import parse_node_file
from galenaferry.platform.store import StoreClient
from galenaferry.platform.tests.builders import (
    NODE_FILE,
    configuration_json,
    entry_json,
)
from galenaferry.tests.json_values import JSON_VALUES, LONE_SURROGATE

NESTED = b"[" * 20_000
NESTED_IN_A_FIELD = (
    json.dumps(json.loads(entry_json()) | {"address": "ADDRESS"})
    .encode()
    .replace(b'"ADDRESS"', b"[" * 5_000 + b"]" * 5_000)
)
STATUS = {"state": "ready", "sequence": 4, "coldRemainingMs": 0}
INFO = {"service": "s", "version": "v1", "zone": "a", "slots": 6}
ODD_ENTRIES = {
    "nested": NESTED,
    "nested in a field": NESTED_IN_A_FIELD,
    "integer of 400 digits": entry_json(
        status=STATUS | {"coldRemainingMs": 10**400},
    ),
    "integer of 5,000 digits": entry_json().replace(b"1787221204054", b"9" * 5_000),
    "infinite number": entry_json().replace(b"250", b"1e999"),
    "sequence of 300 digits": entry_json(status=STATUS | {"sequence": 10**300}),
    "slots of 300 digits": entry_json(info=INFO | {"slots": 10**300}),
    "start of 30 digits": entry_json(born=10**30),
    "port out of range": entry_json(address="10.128.0.9:99709"),
    "negative port": entry_json(address="10.128.0.9:-1"),
    "port in other digits": entry_json(address="10.128.0.9:\u0668\u0660"),
    "zone that can't be encoded": entry_json(info=INFO | {"zone": LONE_SURROGATE}),
    "service that can't be encoded": entry_json(
        info=INFO | {"service": LONE_SURROGATE}
    ),
    "no text": b"\xff\xfe\x00",
}
SETTINGS = parse_node_file("local.toml", NODE_FILE).unwrap()


class Listener:
    """What a VM knows of the instances after updates of their table."""

    def __init__(self):
        self.loop = Loop(FakeClock(1_000.0))
        self.names = set()
        self.updater = InstanceUpdater(
            self.loop,
            make_adapter(SETTINGS, self.loop),
            lambda: StoreAvailability(False, None),
            self._on_instances,
        )

    def _on_instances(self, instances):
        self.names = {instance.id for instance in instances}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_names_no_instance_and_the_others_hold(name):
    """Guards against a fleet that serves nothing since one entry can't be parsed."""
    listener = Listener()
    listener.updater.on_change(
        (
            TableRow("i-1", entry_json()),
            TableRow("odd", ODD_ENTRIES[name]),
            TableRow("i-2", entry_json(address="10.128.0.8:8080")),
        )
    )
    assert listener.names == {"i-1", "i-2"}


def test_an_entry_whose_key_cannot_be_encoded_names_no_instance():
    """Guards against news of instances that stop at a key which no VM can send on."""
    listener = Listener()
    listener.updater.on_change(
        (TableRow(LONE_SURROGATE, entry_json()), TableRow("i-1", entry_json()))
    )
    assert listener.names == {"i-1"}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_the_error_of_an_odd_entry_is_short(name):
    """Guards against a log line as long as the entry."""
    assert len(decode_instance("odd", ODD_ENTRIES[name], 0.0).unwrap_err()) < 300


@given(JSON_VALUES, st.sampled_from(["info", "status", "address", "born"]))
@example(10**400, "status")
def test_no_entry_raises_an_exception(value, field):
    """Guards against entries whose error the reader of the table doesn't expect."""
    text = json.dumps(json.loads(entry_json()) | {field: value}).encode()
    assert isinstance(decode_instance("odd", text, 0.0), Ok | Err)
    nested = json.loads(entry_json())
    if isinstance(nested[field], dict):
        for name in nested[field]:
            parts = {field: nested[field] | {name: value}}
            decode_instance("odd", json.dumps(nested | parts).encode(), 0.0)


@given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
@example(NESTED)
@example(b'{"a":' * 5_000)
def test_no_bytes_raise_an_exception(data):
    """Guards against bytes whose error the readers of rows don't expect."""
    for decode in (
        decode_configuration,
        lambda value: decode_instance("odd", value, 0.0),
    ):
        assert decode(data).is_err()
    with pytest.raises(ValueError, match=""):
        decode_update(data)


@given(JSON_VALUES, st.sampled_from(["routes", "services", "limits", "version"]))
@example([[]], "services")
@example([10**400], "routes")
def test_no_configuration_raises_an_exception(value, field):
    """Guards against a configuration that ends the reads of its table."""
    decode_configuration(configuration_json(**{field: value}))
    decode_configuration(configuration_json(**{field: [value]}))


def test_an_odd_row_of_the_vms_does_not_stop_the_others():
    """Guards against a VM that knows no other one since one row can't be parsed."""
    loop = Loop(FakeClock(1_000.0))
    table = MemberTable(Member("10.0.0.1:7000", 1, 0, "a", "r", False, 0), Random(1))
    register = VmRegister(loop, None, "vms", "me", table, Random(1))
    deep_zone = b'["10.0.0.3:7000", ' + b"[" * 900 + b"]" * 900 + b', "r"]'
    register._add_members(
        [
            TableRow("odd", NESTED),
            TableRow("deep", deep_zone),
            TableRow(
                "surrogate",
                json.dumps(["10.0.0.4:7000", LONE_SURROGATE, "r"]).encode(),
            ),
            TableRow("vm-2", b'["10.0.0.2:7000", "a", "r"]'),
        ]
    )
    assert [member.address for member in table.other_members()] == ["10.0.0.2:7000"]


class FakeStore:
    """Store that returns rows of the test."""

    def __init__(self, rows):
        self._rows = rows

    def read_all(self, table, done):
        done(Ok(TableUpdate(StoreVersion(0, 1), tuple(self._rows), True)))


def test_an_odd_row_of_the_blocked_requests_does_not_stop_the_others():
    """Guards against requests that crash instances again after a restart."""
    blocked = b'{"is_blocked": true, "crashed": ["v1"], "serving": ["v1"]}'
    deep = b'{"is_blocked": true, "serving": [], "crashed": [' + b"[" * 900
    rows = [
        TableRow("00", NESTED),
        TableRow("01", deep + b"]" * 900 + b"]}"),
        TableRow("02", b'{"is_blocked": true, "crashed": 10, "serving": []}'),
        TableRow("03", blocked),
    ]
    found = []
    table = BlockedTable(
        Loop(FakeClock(1_000.0)),
        FakeStore(rows),
        "blocked",
        Random(1),
        lambda done: None,
        found.append,
        dict,
    )
    table.load()
    assert [set(rows) for rows in found] == [{b"\x03"}]


def answer(*rows, version=7):
    """Return a response of the store with rows."""
    body = json.dumps({"rows": rows, "ver": version, "hasMore": False}).encode()
    return Ok(FetchResponse(200, (), body))


ODD_ROWS = {
    "no row": "x",
    "no key": {"value": "eA==", "ver": 5},
    "no base64": {"key": "odd", "value": "%", "ver": 5},
    "value of another type": {"key": "odd", "value": 7, "ver": 5},
    "key that can't be encoded": {"key": LONE_SURROGATE, "value": "eA==", "ver": 5},
    "infinite version": {"key": "odd", "value": "eA==", "ver": float("inf")},
}


@pytest.mark.parametrize("name", ODD_ROWS)
@pytest.mark.parametrize("read", ["read_all", "read_changes"])
def test_an_odd_row_of_a_table_does_not_stop_the_others(monkeypatch, name, read):
    """Guards against a table that can't be read since one of its rows is odd."""
    sound = {"key": "i-1", "value": "eA==", "ver": 6}
    results = []
    client = StoreClient(Loop(FakeClock(1_000.0)), ("10.0.0.9", 80))
    monkeypatch.setattr(
        client, "_get", lambda *arguments: arguments[-1](answer(ODD_ROWS[name], sound))
    )
    if read == "read_all":
        client.read_all("servers", results.append)
    else:
        client.read_changes("servers", StoreVersion(0, 1), 1.0, results.append)
    update = results[0].unwrap()
    assert TableRow("i-1", b"x") in update.rows
    assert update.version == StoreVersion(0, 7)


def test_a_response_of_the_store_that_is_nested_deeply_is_an_error(monkeypatch):
    """Guards against a read of the store that never ends."""
    results = []
    client = StoreClient(Loop(FakeClock(1_000.0)), ("10.0.0.9", 80))
    response = Ok(FetchResponse(200, (), NESTED))
    monkeypatch.setattr(client, "_get", lambda *arguments: arguments[-1](response))
    client.read_all("servers", results.append)
    assert results[0].is_err()
