"""Parts of the fleet's retry budget."""

from galenaferry.attempts.fleet_budget import BudgetBounds, FleetBudgets
from galenaferry.clock import FakeClock

BOUNDS = BudgetBounds(ratio=0.2, slack=58.0, window=10_000.0)


def spend_all(budget):
    count = 0
    while budget.try_spend():
        count += 1
    return count


def test_the_sum_over_all_vms_keeps_to_the_bound_in_every_window():
    clock = FakeClock()
    fleet = [FleetBudgets(BOUNDS, clock, lambda: 36) for _ in range(36)]
    arrivals = []
    requests = []
    for step in range(300):
        clock.advance(100.0)
        for number, budgets in enumerate(fleet):
            budget = budgets.retry("bookings")
            if (step + number) % 5 == 0:
                budget.record_request(20)
                requests.append(clock.now())
            arrivals += [clock.now()] * spend_all(budget)
        since = clock.now() - BOUNDS.window
        spent = sum(1 for at in arrivals if at > since)
        asked = sum(1 for at in requests if at > since)
        assert spent <= BOUNDS.ratio * asked + BOUNDS.slack


def test_sheds_take_from_the_same_budget():
    budgets = FleetBudgets(BOUNDS, FakeClock(), lambda: 58)
    assert budgets.shed("bookings").try_spend()
    assert not budgets.retry("bookings").try_spend()


def test_each_service_has_its_own():
    budgets = FleetBudgets(BOUNDS, FakeClock(), lambda: 58)
    assert budgets.retry("bookings").try_spend()
    assert budgets.retry("archives").try_spend()
