"""Rows of the platform's table that can't be decoded."""

import pytest
from result import Ok

from galenaferry.clock import FakeClock
from galenaferry.configuration.acceptance import (
    CHANGE_PREFIX,
    HEAD_KEY,
    ID_PREFIX,
    Accepted,
    change_key,
)
from galenaferry.configuration.component import ConfigurationComponent
from galenaferry.configuration.messages import (
    Edit,
    Head,
    Proposal,
    encode_change,
    make_change,
)
from galenaferry.configuration.tests.test_acceptance import ProposalBench
from galenaferry.network.loop import Loop
from galenaferry.store.messages import Row

ODD_VALUES = ["[" * 20_000, '{"version": 1e999, "digest": "d"}', "null", "x"]
CHANGE = make_change(
    Head(0, ""),
    Proposal("one", 0, "ana", "why", (Edit("defaults", "a", "b"),), ""),
    1.0,
)


class Table:
    """Table whose calls are answered by the test."""

    timeout_ms = 500

    def __init__(self):
        self.reads = []
        self.scans = []

    def read(self, key, done):
        self.reads.append(done)

    def scan(self, prefix, after, limit, done):
        self.scans.append(done)

    def get_object(self, name, done):
        done(Ok(None))


def make_component():
    clock, table = FakeClock(1_000.0), Table()
    loop = Loop(clock)
    component = ConfigurationComponent(
        loop, table, lambda count: [], lambda address, message: None, None
    )
    return component, table


@pytest.fixture
def component_and_table(monkeypatch):
    monkeypatch.setattr(ConfigurationComponent, "_poll", lambda self: None)
    return make_component()


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: value[:8])
def test_the_table_is_read_again_after_a_head_that_cannot_be_decoded(
    component_and_table, value
):
    """Guards against a VM that takes itself for one that reads, for good."""
    component, table = component_and_table
    ended = []
    component._catch_up(lambda: ended.append(1))
    table.reads[-1](Ok(Row(HEAD_KEY, value, 1)))
    component._catch_up(lambda: ended.append(2))
    assert ended == [1]
    assert len(table.reads) == 2
    assert "can't be read" in component.alarms[-1]


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: value[:8])
def test_the_table_is_read_again_after_a_change_that_cannot_be_decoded(
    component_and_table, value
):
    """Guards against a VM that takes itself for one that reads, for good."""
    component, table = component_and_table
    component._catch_up(lambda: None)
    table.reads[-1](Ok(Row(HEAD_KEY, '{"version": 2, "digest": "d"}', 1)))
    rows = [
        Row(change_key(1), encode_change(CHANGE), 1),
        Row(f"{CHANGE_PREFIX}2", value, 2),
    ]
    table.scans[-1](Ok(rows))
    assert component.state.version == 1
    component._catch_up(lambda: None)
    assert len(table.reads) == 2


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: value[:8])
@pytest.mark.parametrize("key", [HEAD_KEY, f"{ID_PREFIX}one"])
def test_a_proposal_is_decided_once_its_rows_can_be_decoded(key, value):
    """Guards against a proposal that stays undecided without a further try."""
    bench = ProposalBench()
    bench.platform.rows[key] = (value, 7)
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    del bench.platform.rows[key]
    bench.run(3_000.0)
    assert decisions[-1] == Accepted(1)
