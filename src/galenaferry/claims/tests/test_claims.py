"""Claims under lost responses, late writes, platform outages and failed VMs."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.claims.messages import (
    ClaimState,
    Granted,
    KeyedRequest,
    Mismatched,
    OutcomeUnknown,
    RecordedAnswer,
    Replayed,
    Unavailable,
    decode_row,
)
from galenaferry.claims.pacing import FLEET_TRANSACTIONS_PER_SECOND
from galenaferry.claims.tests.builders import ClaimBench

RECORD = RecordedAnswer(201, (("x-a", "b"),), "slot 7")


def state_of(bench, key="k"):
    return decode_row(bench.platform.rows[key][0]).state


def settle(bench, revision, state, record=None, owner="one"):
    bench.vms[0].settle(KeyedRequest("k", owner, "POST /a"), revision, state, record)
    bench.run(1000.0)


def test_a_repeat_through_another_vm_gets_the_recorded_answer():
    bench = ClaimBench(vms=2).claim()
    (granted,) = bench.run(500.0)
    settle(bench, granted.revision, ClaimState.ANSWERED, RECORD)
    bench.claim(vm=1, owner="two").run(500.0)
    assert bench.outcomes[1] == Replayed(RECORD)


def test_a_repeat_after_a_vm_failure_is_unknown_and_never_granted():
    bench = ClaimBench(vms=2).claim()
    bench.run(500.0)
    bench.claim(vm=1, owner="two", within=100_000.0).run(90_000.0)
    assert bench.outcomes[1:] == [OutcomeUnknown()]


def test_a_repeat_is_unknown_while_the_first_request_is_in_progress():
    bench = ClaimBench(vms=2).claim()
    bench.run(500.0)
    bench.claim(vm=1, owner="two", within=1500.0).run(3000.0)
    assert bench.outcomes[1:] == [OutcomeUnknown()]


def test_a_key_can_be_claimed_again_if_its_request_was_not_executed():
    bench = ClaimBench(vms=2).claim()
    (granted,) = bench.run(500.0)
    settle(bench, granted.revision, ClaimState.NOT_RUN)
    bench.claim(vm=1, owner="two").run(500.0)
    assert isinstance(bench.outcomes[1], Granted)


def test_a_key_of_another_request_is_rejected():
    bench = ClaimBench().claim()
    bench.run(500.0)
    bench.claim(owner="two", request="POST /b").run(500.0)
    assert bench.outcomes[1] == Mismatched()


def test_a_claim_is_granted_although_the_response_to_its_write_was_lost():
    bench = ClaimBench()
    bench.platform.answers_to_lose = 1
    assert [type(outcome) for outcome in bench.claim().run(2000.0)] == [Granted]


def test_a_late_write_does_not_grant_a_key_twice():
    bench = ClaimBench(vms=2)
    bench.platform.writes_to_delay = 1
    bench.claim(owner="one", within=100.0).run(150.0)
    assert bench.outcomes == [Unavailable()]
    bench.claim(vm=1, owner="two", within=60_000.0)
    bench.platform.apply_late_writes()
    bench.run(5000.0)
    assert [type(outcome) for outcome in bench.outcomes] == [Unavailable, Granted]
    assert decode_row(bench.platform.rows["k"][0]).owner == "two"


def test_an_outage_fails_soon_or_is_waited_out_as_requested():
    bench = ClaimBench()
    bench.platform.is_down = True
    bench.claim(key="refuse").claim(
        key="wait", owner="two", is_outage_waited_out=True, within=4000.0
    )
    assert bench.run(1000.0) == [Unavailable()]
    bench.platform.is_down = False
    assert [type(outcome) for outcome in bench.run(1000.0)] == [Unavailable, Granted]


def test_a_key_granted_after_its_caller_was_refused_is_released():
    bench = ClaimBench()
    bench.platform.is_down = True
    bench.claim(within=400.0).run(1000.0)
    bench.platform.is_down = False
    bench.run(2000.0)
    assert bench.outcomes == [Unavailable()]
    assert state_of(bench) is ClaimState.NOT_RUN


def test_claims_are_batched_within_the_transaction_rate():
    bench = ClaimBench()
    for number in range(500):
        bench.claim(key=f"k{number}", owner=str(number), is_outage_waited_out=True)
    bench.run(2000.0)
    assert sum(isinstance(outcome, Granted) for outcome in bench.outcomes) == 500
    assert bench.platform.transactions <= 2.0 * FLEET_TRANSACTIONS_PER_SECOND / 40 + 1


@seed(9)
@settings(max_examples=60, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["lose", "delay", "down", "up", "land", "claim"]),
        ),
        max_size=25,
    )
)
def test_at_most_one_exchange_holds_a_key_at_a_time(steps):
    bench = ClaimBench(vms=3)
    for number, (vm, step) in enumerate(steps):
        match step:
            case "lose":
                bench.platform.answers_to_lose += 1
            case "delay":
                bench.platform.writes_to_delay += 1
            case "down" | "up":
                bench.platform.is_down = step == "down"
            case "land":
                bench.platform.apply_late_writes()
            case "claim":
                bench.claim(vm=vm, owner=str(number), within=3000.0)
        bench.run(120.0)
    bench.platform.is_down = False
    bench.platform.apply_late_writes()
    bench.run(5000.0)
    assert sum(isinstance(outcome, Granted) for outcome in bench.outcomes) <= 1


@pytest.mark.parametrize("value", ["[" * 20_000, "null", "x", '{"state": []}'])
def test_a_row_that_cannot_be_decoded_gives_no_promise(value):
    """Guards against "not run" of a request whose key another one may hold."""
    bench = ClaimBench()
    bench.platform.rows["k"] = (value, 7)
    assert bench.claim().run(1_000.0) == [OutcomeUnknown()]
