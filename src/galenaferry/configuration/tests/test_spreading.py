"""Spreading between stores over a bad network."""

from random import Random

from galenaferry.configuration.messages import Change, Edit, Head, Proposal, make_change
from galenaferry.configuration.spreading import Pull, Push, Spreader
from galenaferry.configuration.state import ConfigurationStore


def make_changes(count):
    store, changes = ConfigurationStore(), []
    for number in range(count):
        edits = (Edit("defaults", "floor_percent", str(number % 100)),)
        change = make_change(
            store.head, Proposal(f"c{number}", number, "ana", "why", edits), 0.0
        )
        store.adopt(change)
        changes.append(change)
    return changes


def make_fleet(count, random):
    stores = [ConfigurationStore() for _ in range(count)]
    names = [str(number) for number in range(count)]
    spreaders = [
        Spreader(store, lambda k: random.sample(names, k), random) for store in stores
    ]
    return stores, spreaders


def deliver(spreaders, sender, sends, now, random, loss):
    """Deliver messages in any order, some lost and some twice."""
    queue = [(sender, send) for send in sends]
    while queue:
        origin, send = queue.pop(random.randrange(len(queue)))
        if random.random() < loss:
            continue
        target = int(send.address)
        for _ in range(1 + (random.random() < 0.1)):
            spreader = spreaders[target]
            match send.message:
                case Push():
                    answers = spreader.on_push(str(origin), send.message, now).sends
                case Pull():
                    answers = spreader.on_pull(str(origin), send.message)
            queue += [(target, answer) for answer in answers]


def test_every_store_gets_every_change_and_none_goes_back():
    random = Random(3)
    stores, spreaders = make_fleet(30, random)
    versions = [0] * 30
    for step, change in enumerate(make_changes(200)):
        now = step * 500.0
        stores[0].adopt(change)
        deliver(spreaders, 0, spreaders[0].announce([change]), now, random, 0.3)
        for node in range(30):
            other = random.randrange(30)
            sends = spreaders[node].on_head(str(other), stores[other].head, now)
            deliver(spreaders, node, sends, now, random, 0.3)
        heads = [store.head.version for store in stores]
        assert all(new >= old for new, old in zip(heads, versions))
        versions = heads
    for round_ in range(40):
        for node in range(30):
            sends = spreaders[node].on_head("0", stores[0].head, 1e6 + round_ * 500.0)
            deliver(spreaders, node, sends, 1e6 + round_ * 500.0, random, 0.0)
    assert {store.head for store in stores} == {stores[0].head}


def test_a_fork_is_told_and_not_adopted():
    changes = make_changes(2)
    store = ConfigurationStore()
    spreader = Spreader(store, lambda k: [], Random(1))
    spreader.on_push("a", Push(tuple(changes)), 0.0)
    other = Change(2, "x", "b", "r", 0.0, (), "other")
    assert spreader.on_push("b", Push((other,)), 0.0).is_fork
    assert store.head == Head(2, changes[1].digest)
