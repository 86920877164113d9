"""Acceptance of proposals by a conditional write: races, lost responses, outages."""

import pytest

from galenaferry.claims.tests.builders import ClaimBench
from galenaferry.configuration.acceptance import (
    CHANGE_PREFIX,
    Accepted,
    Clashing,
    ProposalCommit,
    Refused,
    Undecided,
)
from galenaferry.configuration.compact import Configuration
from galenaferry.configuration.impact import UNKNOWN_FLEET, LiveFleet, find_warnings
from galenaferry.configuration.messages import Edit, Proposal, decode_change
from galenaferry.configuration.state import ConfigurationState


class ProposalBench(ClaimBench):
    """VMs that commit proposals to one fake platform."""

    def __init__(self, vms=2):
        super().__init__(vms=0)
        self.states = [ConfigurationState() for _ in range(vms)]
        self.fleet = UNKNOWN_FLEET

    def propose(self, vm, change_id, base, key, value, section="defaults", override=""):
        proposal = Proposal(
            change_id, base, "ana", "why", (Edit(section, key, value),), override
        )
        decisions = []

        def catch_up(callback):
            rows = sorted(
                (k, v)
                for k, v in self.platform.rows.items()
                if k.startswith(CHANGE_PREFIX)
            )
            for _, (value, _) in rows:
                self.states[vm].adopt(decode_change(value))
            callback()

        ProposalCommit(
            self.loop,
            self.platform,
            self.states[vm],
            proposal,
            catch_up,
            lambda: self.fleet,
            decisions.append,
        ).begin()
        return decisions


def test_a_proposal_submitted_twice_is_accepted_once():
    bench = ProposalBench()
    first = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    again = bench.propose(1, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    assert (first[-1], again[-1]) == (Accepted(1), Accepted(1))


def test_a_lost_response_is_resolved_by_a_retry():
    bench = ProposalBench()
    bench.platform.answers_to_lose = 1
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(2000.0)
    assert isinstance(decisions[0], Undecided)
    assert decisions[-1] == Accepted(1)
    assert bench.states[0].version == 1


def test_a_delayed_write_takes_effect_once():
    bench = ProposalBench()
    bench.platform.writes_to_delay = 1
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(200.0)
    bench.platform.apply_late_writes()
    bench.run(2000.0)
    assert decisions[-1] == Accepted(1)


def test_concurrent_proposals_for_different_keys_are_both_accepted():
    bench = ProposalBench()
    one = bench.propose(0, "one", 0, "max_attempts", "5")
    two = bench.propose(1, "two", 0, "floor_percent", "50")
    bench.run(3000.0)
    assert {one[-1], two[-1]} == {Accepted(1), Accepted(2)}


def test_the_later_of_two_proposals_for_a_key_gets_the_clashing_change():
    bench = ProposalBench()
    one = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    two = bench.propose(1, "two", 0, "max_attempts", "6")
    bench.run(500.0)
    assert one[-1] == Accepted(1)
    assert isinstance(two[-1], Clashing)
    assert [change.id for change in two[-1].changes] == ["one"]


def test_an_invalid_proposal_is_refused_and_not_written():
    bench = ProposalBench()
    decisions = bench.propose(0, "one", 0, "floor_percent", "170")
    bench.run(500.0)
    assert isinstance(decisions[-1], Refused)
    assert bench.platform.rows == {}


def test_a_proposal_is_retried_until_an_outage_ends():
    bench = ProposalBench()
    bench.platform.is_down = True
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(3000.0)
    assert isinstance(decisions[-1], Undecided)
    bench.platform.is_down = False
    bench.run(2000.0)
    assert decisions[-1] == Accepted(1)


LIVE_FLEET = LiveFleet(
    True, frozenset({"bookings"}), frozenset({"north"}), frozenset({"10.0.0.1:80"}), 40
)


@pytest.mark.parametrize(
    ("edits", "text"),
    [
        ({"scope": "service tickets"}, "no instance of the service tickets is listed"),
        ({"scope": "zone moon"}, "no instance in the zone moon is listed"),
        ({"scope": "instance 10.0.0.9:80"}, "the instance 10.0.0.9:80 is not listed"),
        (
            {"scope": "route * /tickets"},
            "the route maps to tickets, which has no instance",
        ),
        (
            {"scope": "service bookings", "connections_per_instance": "30"},
            "fewer connections than VMs (40)",
        ),
        (
            {"scope": "service bookings", "floor_percent": "100"},
            "no unhealthy instance could be ejected",
        ),
        ({"scope": "service bookings"}, None),
    ],
)
def test_a_change_is_checked_against_the_live_fleet(edits, text):
    keys = {"reason": "why", "max_attempts": "2"} | edits
    proposed_edits = tuple(
        Edit("exception x", key, value) for key, value in keys.items()
    )
    findings = find_warnings(Configuration(), proposed_edits, LIVE_FLEET)
    assert [finding.text for finding in findings] == ([text] if text else [])
    assert find_warnings(Configuration(), proposed_edits, UNKNOWN_FLEET) == []


def test_a_warning_refuses_a_proposal_unless_it_is_overridden():
    bench = ProposalBench()
    bench.fleet = LIVE_FLEET
    refused = bench.propose(0, "one", 0, "floor_percent", "100")
    bench.run(500.0)
    assert [finding.text for finding in refused[-1].findings] == [
        "no unhealthy instance could be ejected"
    ]
    accepted = bench.propose(
        0, "two", 0, "floor_percent", "100", override="an audit today"
    )
    bench.run(500.0)
    assert accepted[-1] == Accepted(1)
    assert (
        bench.states[0].change_by_version[1].reason
        == "why (overridden: an audit today)"
    )
