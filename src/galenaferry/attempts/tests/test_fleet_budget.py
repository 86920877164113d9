"""Division of the fleet's retry budget between VMs."""

from galenaferry.attempts.fleet_budget import BudgetBounds, FleetBudgets
from galenaferry.clock import FakeClock

BOUNDS = BudgetBounds(ratio=0.2, slack=58.0, window=10_000.0)


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
