"""Copies of a table on several VMs while the store is restored from older copies."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.discovery.follower import TableFollower
from galenaferry.discovery.messages import (
    READ_TIMEOUT_MS,
    HistoryLost,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)
from galenaferry.discovery.poll_timing import LONGEST_POLL_MS
from galenaferry.discovery.settings import FollowerSettings
from galenaferry.network.loop import Loop

VM_COUNT = 4
LATENCY_MS = 5.0


class ModelStore:
    """Store with long polls whose copies can be restored; reads take some time."""

    def __init__(self, loop):
        self._loop = loop
        self.era = 1
        self.counter = 1
        self.value_by_key = {}
        self.counter_by_key = {}
        self.is_away = False
        self._pending = []

    def put(self, key, value):
        self.counter += 1
        self.value_by_key[key] = value
        self.counter_by_key[key] = self.counter
        self._answer_pending()

    def take_copy(self):
        return self.counter, dict(self.value_by_key), dict(self.counter_by_key)

    def restore(self, copy):
        self.counter, values, counters = copy
        self.value_by_key, self.counter_by_key = dict(values), dict(counters)
        self.era += 1

    def read_all(self, table, done, answer_within=READ_TIMEOUT_MS):
        self._loop.after(LATENCY_MS, lambda: self._finish_read_all(done))

    def read_changes(self, table, after, wait, done, answer_within=READ_TIMEOUT_MS):
        self._loop.after(LATENCY_MS, lambda: self._start_poll(after, wait, done))

    def _finish_read_all(self, done):
        if self.is_away:
            done(Err(TableError("away")))
            return
        rows = tuple(
            TableRow(key, value)
            for key, value in self.value_by_key.items()
            if value is not None
        )
        version = StoreVersion(self.era, self.counter)
        self._loop.after(
            LATENCY_MS, lambda: done(Ok(TableUpdate(version, rows, is_snapshot=True)))
        )

    def _start_poll(self, after, wait, done):
        if self.is_away:
            done(Err(TableError("away")))
            return
        poll = [after, done]
        self._pending.append(poll)
        self._loop.after(wait, lambda: self._finish_poll(poll))
        self._answer_pending()

    def _answer_pending(self):
        for poll in list(self._pending):
            after = poll[0]
            if after.counter > self.counter or self._keys_since(after.counter):
                self._finish_poll(poll)

    def _keys_since(self, counter):
        return [key for key, at in self.counter_by_key.items() if at > counter]

    def _finish_poll(self, poll):
        if poll not in self._pending:
            return
        self._pending.remove(poll)
        after, done = poll
        if after.counter > self.counter or self.era > after.era:
            result = HistoryLost()
        elif self.era < after.era:
            done(Err(TableError("earlier era")))
            return
        else:
            rows = tuple(
                TableRow(key, self.value_by_key[key])
                for key in self._keys_since(after.counter)
            )
            version = StoreVersion(self.era, self.counter)
            result = TableUpdate(version, rows, is_snapshot=False)
        self._loop.after(LATENCY_MS, lambda: done(Ok(result)))


class Fleet:
    """VMs that share a table through two readers, notices and fetches."""

    def __init__(self, seed):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.random = Random(seed)
        self.store = ModelStore(self.loop)
        self.loss = 0.0
        self.versions_by_vm = [[] for _ in range(VM_COUNT)]
        self.followers = [self._make_follower(number) for number in range(VM_COUNT)]
        for follower in self.followers:
            follower.begin()
        self.loop.every(400.0, self._send_heartbeats)

    def _make_follower(self, number):
        return TableFollower(
            self.loop,
            FollowerSettings("servers", 20.0, is_shared=True),
            self.store,
            self._fetch,
            Random(number),
            lambda rows: None,
            lambda: number < 2,
            lambda notice: self._broadcast(number, notice),
        )

    def _fetch(self, address, table, after, done):
        peer = self.followers[int(address)]
        if self.random.random() < self.loss:
            self.loop.after(1_000.0, lambda: done(Err(TableError("no answer"))))
        else:
            update = peer.update_since(after)
            self.loop.after(LATENCY_MS, lambda: done(Ok(update)))

    def _broadcast(self, sender, notice):
        for number, follower in enumerate(self.followers):
            if number != sender and self.random.random() >= self.loss:
                self.loop.after(
                    LATENCY_MS * self.random.random(),
                    lambda f=follower: f.on_notice(str(sender), notice),
                )

    def _send_heartbeats(self):
        for number, follower in enumerate(self.followers):
            peer = self.random.randrange(VM_COUNT)
            if peer != number and self.random.random() >= self.loss:
                self.followers[peer].on_peer_version(
                    str(number), follower.last_change_version
                )

    def run_for(self, interval, step=5.0):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            for number, follower in enumerate(self.followers):
                versions = self.versions_by_vm[number]
                if not versions or versions[-1] != follower.version:
                    versions.append(follower.version)
            self.clock.advance(step)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "copy", "restore", "away", "loss", "wait"]),
        st.integers(0, 5),
        st.integers(1, 300),
    ),
    min_size=4,
    max_size=25,
)


@settings(max_examples=120, deadline=None, derandomize=True, database=None)
@given(STEPS, st.integers(0, 1000))
def test_every_vm_ends_on_the_rows_of_the_store(steps, seed):
    fleet = Fleet(seed)
    copy = fleet.store.take_copy()
    fleet.run_for(200.0)
    for number, (step, key, wait) in enumerate(steps):
        match step:
            case "put":
                fleet.store.put(f"k{key}", b"%d" % number)
            case "remove":
                fleet.store.put(f"k{key}", None)
            case "copy":
                copy = fleet.store.take_copy()
            case "restore":
                fleet.store.restore(copy)
            case "away":
                fleet.store.is_away = not fleet.store.is_away
            case "loss":
                fleet.loss = 0.4 if fleet.loss == 0.0 else 0.0
        fleet.run_for(float(wait))
    fleet.store.is_away = False
    fleet.loss = 0.0
    fleet.store.put("last", b"x")
    # The store may hold a long poll from before the restore until its time is over.
    fleet.run_for(LONGEST_POLL_MS + 4_000.0, step=25.0)
    expected = {k: v for k, v in fleet.store.value_by_key.items() if v is not None}
    for follower in fleet.followers:
        assert follower.value_by_key == expected
    for versions in fleet.versions_by_vm:
        assert versions == sorted(versions)
