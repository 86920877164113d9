"""Load balancing, slot ownership, borrowing and concurrency windows."""

from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.backends.borrowing import MIN_BORROW_PROBABILITY, BorrowingPolicy
from galenaferry.backends.choice import (
    Busy,
    Candidate,
    Candidates,
    Chosen,
    NoInstance,
    choose,
    choose_owned,
    cold_start_weight,
)
from galenaferry.backends.messages import Instance, Load
from galenaferry.backends.ownership import Vm, owned_slots
from galenaferry.backends.window import MAX_PAUSE_MS, ConcurrencyWindow


def instance(number, zone="north"):
    return Instance(f"10.0.0.{number}:80", "s", zone, False)


def candidates(local, remote=0, weight=1.0):
    return Candidates(
        tuple(Candidate(instance(n), weight) for n in range(local)),
        tuple(Candidate(instance(100 + n, "south"), weight) for n in range(remote)),
    )


def idle(_):
    return Load(0, 4, 0.0)


zone_names = st.sampled_from(["north", "middle", "south", "lost"])


@seed(21)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.lists(zone_names, min_size=1, max_size=12),
    st.lists(zone_names, min_size=1, max_size=8),
    st.integers(1, 7),
)
def test_every_slot_has_exactly_one_owner(vm_zones, instance_zones, slots):
    vms = [Vm(f"vm{n}", zone) for n, zone in enumerate(vm_zones)]
    instances = [instance(n, zone) for n, zone in enumerate(instance_zones)]
    total = {}
    for vm in vms:
        for address, count in owned_slots(vm, vms, "s", instances, slots).items():
            total[address] = total.get(address, 0) + count
    assert total == {i.address: slots for i in instances}


def test_slots_of_a_zone_are_divided_evenly():
    vms = [Vm(f"vm{n}", "north") for n in range(13)]
    instances = [instance(n) for n in range(5)]
    counts = [sum(owned_slots(vm, vms, "s", instances, 6).values()) for vm in vms]
    assert (min(counts), max(counts)) == (2, 3)


def test_own_slots_are_used_first():
    owned = {instance(3).address: 1}
    for number in range(20):
        assert choose_owned(
            candidates(5), owned, idle, 0.0, Random(number)
        ) == instance(3)
    chosen = choose_owned(
        candidates(5), owned, lambda i: Load(1, 4, 0.0), 0.0, Random(1)
    )
    assert chosen is None


def test_own_zone_is_preferred_until_it_is_loaded():
    random = Random(2)
    chosen = [
        choose(candidates(3, 3), frozenset(), idle, 0.0, random) for _ in range(200)
    ]
    assert all(choice.instance.zone == "north" for choice in chosen)

    def load_of(i):
        return Load(3 if i.zone == "north" else 0, 4, 0.0)

    chosen = [
        choose(candidates(3, 3), frozenset(), load_of, 0.0, random) for _ in range(200)
    ]
    assert all(choice.instance.zone == "south" for choice in chosen)


def test_choice_distinguishes_no_instance_from_busy_instances():
    tried = {instance(0).address}
    assert choose(candidates(1), tried, idle, 0.0, Random(1)) == NoInstance()
    paused = choose(
        candidates(1), frozenset(), lambda i: Load(0, 4, 80.0), 0.0, Random(1)
    )
    assert paused == Busy(80.0)


def test_cold_instance_gets_few_requests():
    cold_and_warm = Candidates(
        (Candidate(instance(0), 0.1), Candidate(instance(1), 1.0)), ()
    )
    random = Random(3)
    chosen = [
        choose(cold_and_warm, frozenset(), idle, 0.0, random) for _ in range(1000)
    ]
    cold = sum(choice == Chosen(instance(0), True) for choice in chosen)
    assert 0 < cold < 150
    assert [cold_start_weight(age, 1000.0) for age in (0.0, 500.0, 1000.0)] == [
        0.1,
        0.5,
        1.0,
    ]


def test_borrowing_decreases_after_sheds_and_recovers_after_successes():
    borrowing, random = BorrowingPolicy(), Random(4)
    for _ in range(60):
        borrowing.on_shed()
    tries = sum(borrowing.is_borrowing_allowed(random) for _ in range(2000))
    assert 0 < tries < 2000 * MIN_BORROW_PROBABILITY * 2
    for _ in range(60):
        borrowing.on_success()
    assert sum(borrowing.is_borrowing_allowed(random) for _ in range(100)) > 90


def test_window_halves_on_sheds_and_grows_on_successes():
    window, random = ConcurrencyWindow(4), Random(5)
    window.on_shed(True, 0.0, random)
    assert window.size(6) == 2
    for number in range(10):
        window.on_shed(True, number * 1000.0, random)
        assert window.paused_until - number * 1000.0 <= MAX_PAUSE_MS * 1.5
    assert window.size(6) == 1
    for _ in range(200):
        window.on_success(6)
    assert window.size(6) == 6
