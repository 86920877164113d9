"""Division of the fleet's retry budget between VMs."""

from bisect import bisect_left
from random import Random

import pytest

from galenaferry.attempts.fleet_budget import BudgetBounds, FleetBudgets
from galenaferry.clock import FakeClock

BOUNDS = BudgetBounds(ratio=0.2, slack=58.0, window=10_000.0)
STEP_MS = 20.0
TOKEN_WAIT_MS = 1_000.0
"""Time for which a shed request waits for a token of its next attempt."""
ARRIVAL_DELAY_MS = 350.0
"""Longest time from the token of an attempt to its arrival at the instance."""


def spend_all(budget):
    count = 0
    while budget.try_spend():
        count += 1
    return count


def test_retries_of_all_vms_stay_within_the_bound_in_every_window():
    clock = FakeClock()
    fleet = [
        FleetBudgets(BOUNDS, clock, lambda: 36, is_first_start=True) for _ in range(36)
    ]
    retries = []
    requests = []
    for step in range(300):
        clock.advance(100.0)
        for number, budgets in enumerate(fleet):
            budget = budgets.retry("bookings")
            if (step + number) % 5 == 0:
                budget.record_request(20)
                requests.append(clock.now())
            retries += [clock.now()] * spend_all(budget)
        since = clock.now() - BOUNDS.window
        spent = sum(1 for at in retries if at > since)
        received = sum(1 for at in requests if at > since)
        assert spent <= BOUNDS.ratio * received + BOUNDS.slack


def test_shed_retries_use_the_same_budget():
    budgets = FleetBudgets(BOUNDS, FakeClock(), lambda: 58, is_first_start=True)
    assert budgets.shed("bookings").try_spend()
    assert not budgets.retry("bookings").try_spend()


def test_each_service_has_its_own_budget():
    budgets = FleetBudgets(BOUNDS, FakeClock(), lambda: 58, is_first_start=True)
    assert budgets.retry("bookings").try_spend()
    assert budgets.retry("archives").try_spend()


def test_a_fleet_that_restarts_as_a_whole_does_not_spend_its_slack_twice():
    clock = FakeClock()

    def start_fleet(is_first_start):
        return [
            FleetBudgets(BOUNDS, clock, lambda: 36, is_first_start) for _ in range(36)
        ]

    fleet = start_fleet(is_first_start=True)
    spent = sum(spend_all(budgets.retry("bookings")) for budgets in fleet)
    clock.advance(2_000.0)
    fleet = start_fleet(is_first_start=False)
    spent += sum(spend_all(budgets.retry("bookings")) for budgets in fleet)
    assert 0 < spent <= BOUNDS.slack
    clock.advance(BOUNDS.window)
    assert sum(spend_all(budgets.retry("bookings")) for budgets in fleet) > 0


def test_a_restarted_vm_spends_what_its_requests_earn():
    budgets = FleetBudgets(BOUNDS, FakeClock(), lambda: 36, is_first_start=False)
    for _ in range(10):
        budgets.retry("bookings").record_request(20)
    assert spend_all(budgets.retry("bookings")) == 2


def play_shed_requests(vms, per_second, seed):
    """Return the times of requests and retries while all instances shed for 30 s.

    Each request comes to a random VM and wants two retries as soon as it has tokens.
    """
    clock, random = FakeClock(), Random(seed)
    fleet = [FleetBudgets(BOUNDS, clock, lambda: vms, True) for _ in range(vms)]
    wanted = [[] for _ in range(vms)]
    requests, arrivals = [], []
    for step in range(2_500):
        clock.advance(STEP_MS)
        now = clock.now()
        count = sum(
            random.random() < per_second * STEP_MS / 10_000.0 for _ in range(10)
        )
        for _ in range(count):
            number = random.randrange(vms)
            fleet[number].retry("bookings").record_request(20)
            requests.append(now)
            if 500 <= step < 2_000:
                wanted[number] += [now + TOKEN_WAIT_MS] * 2
        for number, budgets in enumerate(fleet):
            waiting = [until for until in wanted[number] if until >= now]
            while waiting and budgets.shed("bookings").try_spend():
                waiting.pop()
                arrivals.append(now + random.random() * ARRIVAL_DELAY_MS)
            wanted[number] = waiting
    return requests, sorted(arrivals)


def most_retries_beyond_bound(requests, arrivals):
    """Return by how many retries the worst window breaks the bound.

    Requests count in the window, the one before it or half a window before it,
    whichever has the most.
    """

    def count(times, since):
        return bisect_left(times, since + BOUNDS.window) - bisect_left(times, since)

    return max(
        count(arrivals, since)
        - BOUNDS.ratio
        * max(count(requests, since - BOUNDS.window * n / 2) for n in range(3))
        - BOUNDS.slack
        for since in arrivals
    )


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("vms", "per_second"), [(20, 50), (36, 92), (44, 92), (98, 92)]
)
def test_retries_of_vms_whose_requests_come_unevenly_stay_within_the_bound(
    vms, per_second, seed
):
    requests, arrivals = play_shed_requests(vms, per_second, seed)
    assert most_retries_beyond_bound(requests, arrivals) <= 0.0
    assert len(arrivals) > 0.5 * BOUNDS.ratio * per_second * 30.0
