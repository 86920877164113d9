"""Builders of a table follower; the test responds for the store and for peers."""

from random import Random

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
from galenaferry.discovery.settings import FollowerSettings
from galenaferry.network.loop import Loop


def at(counter, era=1):
    return StoreVersion(era, counter)


def table_update(counter, is_snapshot=False, era=1, **values):
    rows = tuple(TableRow(key, value) for key, value in values.items())
    return TableUpdate(at(counter, era), rows, is_snapshot)


class FakeSource:
    """Store that gets its responses from the test."""

    def __init__(self):
        self.calls = []
        self.waits = []
        self.limits = []

    def read_all(self, table, done, answer_within=READ_TIMEOUT_MS):
        self.calls.append(("all", None, done))
        self.waits.append(0.0)
        self.limits.append(answer_within)

    def read_changes(self, table, after, wait, done, answer_within=READ_TIMEOUT_MS):
        self.calls.append(("changes", after, done))
        self.waits.append(wait)
        self.limits.append(answer_within)

    def answer(self, update):
        self.calls[-1][2](Ok(update))

    def lose_history(self):
        self.calls[-1][2](Ok(HistoryLost()))

    def time_out(self):
        self.calls[-1][2](Err(TableError("no answer in time", has_timed_out=True)))

    def fail(self):
        self.calls[-1][2](Err(TableError("status 503")))


class FollowerBench:
    """A table follower with a fake clock, store and peers."""

    def __init__(
        self,
        coalescing_delay=0.0,
        is_shared=False,
        seed=1,
        is_near=lambda address: True,
        **settings,
    ):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.source = FakeSource()
        self.peer_fetches = []
        self.changes = []
        self.notices = []
        self.restore_count = 0
        self.is_designated_reader = True
        self.follower = TableFollower(
            self.loop,
            FollowerSettings("op", coalescing_delay, is_shared, **settings),
            self.source,
            lambda address, table, after, done: self.peer_fetches.append(
                (address, done)
            ),
            Random(seed),
            self.changes.append,
            lambda: self.is_designated_reader,
            self.notices.append,
            self._count_restore,
            is_near,
        )
        self.follower.begin()

    def _count_restore(self):
        self.restore_count += 1

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            self.clock.advance(1.0)
        self.loop.poll(0.0)
