"""Replication over a lossy network, and snapshots in pages."""

from random import Random

from galenaferry.configuration.messages import (
    Change,
    Edit,
    Head,
    Proposal,
    encode_change,
    make_change,
)
from galenaferry.configuration.state import ConfigurationState
from galenaferry.membership.vm_list import VmChange, VmListLog, VmRow
from galenaferry.spreading.messages import LogName, Push
from galenaferry.spreading.replicator import (
    PAGES_PER_PULL,
    ROWS_PER_PAGE,
    GossipReplicator,
)

CONFIGURATION = LogName.CONFIGURATION


def make_changes(count):
    state, changes = ConfigurationState(), []
    for number in range(count):
        edits = (Edit("defaults", "floor_percent", str(number % 100)),)
        change = make_change(
            state.head, Proposal(f"c{number}", number, "ana", "why", edits), 0.0
        )
        state.adopt(change)
        changes.append(change)
    return changes


class Fleet:
    """Logs and replicators whose messages are lost, duplicated and reordered."""

    def __init__(self, logs, random, name=CONFIGURATION):
        self.logs, self.random = logs, random
        names = [str(number) for number in range(len(logs))]
        self.replicators = [
            GossipReplicator(
                name, log, lambda k: random.sample(names, min(k, len(names)))
            )
            for log in logs
        ]

    def deliver(self, sender, outgoing, now, loss):
        queue = [(sender, outgoing_message) for outgoing_message in outgoing]
        while queue:
            origin, outgoing_message = queue.pop(self.random.randrange(len(queue)))
            if self.random.random() < loss:
                continue
            target = int(outgoing_message.address)
            for _ in range(1 + (self.random.random() < 0.1)):
                received = self.replicators[target].on_message(
                    str(origin), outgoing_message.message, now
                )
                queue += [(target, answer) for answer in received.outgoing]

    def compare(self, node, other, now, loss):
        outgoing = self.replicators[node].on_version(
            str(other), self.logs[other].version, now
        )
        self.deliver(node, outgoing, now, loss)


def test_all_stores_converge_and_no_version_decreases():
    random = Random(3)
    fleet = Fleet([ConfigurationState() for _ in range(30)], random)
    versions = [0] * 30
    for step, change in enumerate(make_changes(200)):
        now = step * 500.0
        fleet.logs[0].adopt(change)
        fleet.deliver(0, fleet.replicators[0].pushes_since(step), now, 0.3)
        for node in range(30):
            fleet.compare(node, random.randrange(30), now, 0.3)
        heads = [state.version for state in fleet.logs]
        assert all(new >= old for new, old in zip(heads, versions))
        versions = heads
    for round_ in range(40):
        for node in range(30):
            fleet.compare(node, 0, 1e6 + round_ * 500.0, 0.0)
    assert {state.head for state in fleet.logs} == {fleet.logs[0].head}


def test_fork_is_reported_and_not_applied():
    changes = make_changes(2)
    state = ConfigurationState()
    replicator = GossipReplicator(CONFIGURATION, state, lambda k: [])
    replicator.on_message(
        "a", Push(CONFIGURATION, tuple(encode_change(c) for c in changes)), 0.0
    )
    other = encode_change(Change(2, "x", "b", "r", 0.0, (), "other"))
    assert replicator.on_message("b", Push(CONFIGURATION, (other,)), 0.0).is_fork
    assert state.head == Head(2, changes[1].digest)


def make_list(rows, changes):
    log = VmListLog()
    log.load(
        5,
        [
            VmRow(f"10.0.0.{n}:80", "backend", "s", "z", "r", "live")
            for n in range(rows)
        ],
    )
    for number in range(changes):
        log.apply(VmChange(6 + number, "10.0.0.0:80", None))
    return log


def test_vm_with_an_empty_log_gets_a_snapshot_from_a_peer():
    # A VM that starts during a platform outage has no other source.
    rows = ROWS_PER_PAGE * PAGES_PER_PULL * 2 + 7
    for loss in (0.0, 0.2):
        fleet = Fleet([make_list(rows, 3), VmListLog()], Random(4), LogName.VM_LIST)
        for step in range(200):
            fleet.compare(1, 0, step * 500.0, loss)
            fleet.compare(0, 1, step * 500.0, loss)
        assert fleet.logs[1].version == 8
        assert fleet.logs[1].row_by_address == fleet.logs[0].row_by_address


def test_configuration_from_snapshot_pages_equals_the_source():
    source, target = ConfigurationState(), ConfigurationState()
    for number in range(50):
        edits = tuple(
            Edit(f"exception e{number}", key, value)
            for key, value in (
                ("scope", f"service s{number}"),
                ("reason", "r"),
                ("max_attempts", "2"),
            )
        )
        source.adopt(
            make_change(
                source.head, Proposal(str(number), number, "ana", "why", edits), 0.0
            )
        )
    source.change_by_version.clear()
    fleet = Fleet([source, target], Random(5))
    for step in range(20):
        fleet.compare(1, 0, step * 500.0, 0.0)
    assert target.head == source.head
    assert target.configuration.sections() == source.configuration.sections()


def test_change_after_a_gap_and_older_list_are_not_applied():
    log = make_list(3, 0)
    log.apply(VmChange(8, "10.0.0.1:80", None))
    assert log.version == 5
    assert not log.load(4, [])
    assert len(log.instances()) == 3
