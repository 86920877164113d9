"""Decoding of rows of the store, valid and invalid ones."""

import pytest

from galenaferry.backends.messages import Instance
from galenaferry.platform.documents import decode_configuration, decode_instance
from galenaferry.platform.tests.builders import configuration_json, entry_json
from galenaferry.routing.hosts import WeightedService


def test_an_entry_decodes_to_an_instance():
    assert decode_instance("i-1", entry_json(), 1000.0).unwrap() == Instance(
        "10.128.0.9:8080", "s", "a", False, "i-1", 1787221204054, 6, 1250.0, 4, "v1"
    )


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"null",
        entry_json(address="nowhere"),
        entry_json(address=7),
        entry_json(born="1787221204054"),
        entry_json(born=1.5),
        entry_json(info={"service": "s", "version": "v1", "zone": "a"}),
        entry_json(info={"service": 5, "version": "v1", "zone": "a", "slots": 6}),
        entry_json(info={"service": "s", "version": "v1", "zone": "a", "slots": "6"}),
        entry_json(status={"state": "resting", "sequence": 4, "coldRemainingMs": 0}),
        entry_json(status={"state": "ready", "sequence": True, "coldRemainingMs": 0}),
        entry_json(status={"state": "ready", "sequence": 1, "coldRemainingMs": None}),
        entry_json(status="ready"),
    ],
)
def test_an_invalid_entry_gives_an_error(value):
    assert decode_instance("i-1", value, 0.0).is_err()


def test_a_configuration_is_decoded_completely():
    document = decode_configuration(configuration_json()).unwrap()
    split, plain = document.routes
    assert document.version == 26
    assert split.host == b"a.example"
    assert split.weighted_services == (
        WeightedService("s", 90.0),
        WeightedService("t", 10.0),
    )
    assert (split.is_idempotent, split.total_timeout, split.max_attempts) == (
        True,
        4000.0,
        2,
    )
    assert (plain.is_idempotent, plain.total_timeout) == (False, None)
    assert document.limits.idle_timeout == 15000.0
    assert document.service_by_name["s"].connections_per_instance == 330


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        configuration_json(version=26),
        configuration_json(version="xyz"),
        configuration_json(routes=None),
        configuration_json(routes=[{"name": "r"}]),
    ],
)
def test_an_invalid_configuration_gives_an_error(value):
    assert decode_configuration(value).unwrap_err()
