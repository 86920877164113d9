"""Acceptance of proposals by a conditional write: races, lost answers, outages."""

from galenaferry.claims.tests.builders import ClaimBench
from galenaferry.configuration.acceptance import (
    CHANGE_PREFIX,
    Acceptance,
    Accepted,
    Clashing,
    Refused,
    Undecided,
)
from galenaferry.configuration.messages import Edit, Proposal, decode_change
from galenaferry.configuration.state import ConfigurationStore


class Operators(ClaimBench):
    """VMs that accept proposals before one fake platform."""

    def __init__(self, vms=2):
        super().__init__(vms=0)
        self.stores = [ConfigurationStore() for _ in range(vms)]

    def propose(self, vm, change_id, base, key, value):
        proposal = Proposal(
            change_id, base, "ana", "why", (Edit("defaults", key, value),)
        )
        decisions = []

        def catch_up(then):
            rows = sorted(
                (k, v)
                for k, v in self.platform.rows.items()
                if k.startswith(CHANGE_PREFIX)
            )
            for _, (value, _) in rows:
                self.stores[vm].adopt(decode_change(value))
            then()

        Acceptance(
            self.loop,
            self.platform,
            self.stores[vm],
            proposal,
            catch_up,
            decisions.append,
        ).begin()
        return decisions


def test_a_proposal_is_accepted_once_however_often_it_is_asked():
    bench = Operators()
    first = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    again = bench.propose(1, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    assert (first[-1], again[-1]) == (Accepted(1), Accepted(1))


def test_a_lost_answer_tells_the_truth_later():
    bench = Operators()
    bench.platform.lost_answers = 1
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(2000.0)
    assert isinstance(decisions[0], Undecided)
    assert decisions[-1] == Accepted(1)
    assert bench.stores[0].version == 1


def test_a_late_write_takes_effect_once():
    bench = Operators()
    bench.platform.delays_writes = 1
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(200.0)
    bench.platform.land_late_writes()
    bench.run(2000.0)
    assert decisions[-1] == Accepted(1)


def test_two_operators_at_once_both_take_hold_on_different_keys():
    bench = Operators()
    one = bench.propose(0, "one", 0, "max_attempts", "5")
    two = bench.propose(1, "two", 0, "floor_percent", "50")
    bench.run(3000.0)
    assert {one[-1], two[-1]} == {Accepted(1), Accepted(2)}


def test_the_later_of_two_operators_is_told_what_clashes():
    bench = Operators()
    one = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(500.0)
    two = bench.propose(1, "two", 0, "max_attempts", "6")
    bench.run(500.0)
    assert one[-1] == Accepted(1)
    assert isinstance(two[-1], Clashing)
    assert [change.id for change in two[-1].changes] == ["one"]


def test_what_fails_its_checks_is_refused_and_not_written():
    bench = Operators()
    decisions = bench.propose(0, "one", 0, "floor_percent", "170")
    bench.run(500.0)
    assert isinstance(decisions[-1], Refused)
    assert bench.platform.rows == {}


def test_an_outage_is_waited_out():
    bench = Operators()
    bench.platform.is_down = True
    decisions = bench.propose(0, "one", 0, "max_attempts", "5")
    bench.run(3000.0)
    assert isinstance(decisions[-1], Undecided)
    bench.platform.is_down = False
    bench.run(2000.0)
    assert decisions[-1] == Accepted(1)
