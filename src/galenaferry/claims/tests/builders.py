"""Fake platform with the client's interface, and claims on a fake clock."""

from circuits import Component
from result import Err, Ok

from galenaferry.claims.component import ClaimsComponent
from galenaferry.claims.messages import KeyedRequest
from galenaferry.clock import FakeClock
from galenaferry.network.loop import Loop
from galenaferry.store.messages import Committed, Conflict, PlatformError, Row

LOST_ANSWER = PlatformError("the answer was lost", True)
ANSWER_DELAY_MS = 2.0


class FakePlatform:
    """Rows in memory; the next responses can be lost, delayed or replaced by errors."""

    timeout_ms = 500

    def __init__(self, loop):
        self._loop = loop
        self.rows = {}
        self.revision = 0
        self.is_down = False
        self.answers_to_lose = 0
        self.late_writes = []
        self.writes_to_delay = 0
        self.transactions = 0

    def _answer(self, done, result):
        self._loop.after(ANSWER_DELAY_MS, lambda: done(result))

    def read(self, key, done):
        if self.is_down:
            self._answer(done, Err(PlatformError("down", True)))
            return
        row = self.rows.get(key)
        self._answer(done, Ok(None if row is None else Row(key, *row)))

    def commit(self, transaction, done):
        self.transactions += 1
        if self.is_down:
            self._answer(done, Err(PlatformError("down", True)))
        elif self.writes_to_delay > 0:
            self.writes_to_delay -= 1
            self.late_writes.append(transaction)
            self._answer(done, Err(LOST_ANSWER))
        elif self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            self.apply(transaction)
            self._answer(done, Err(LOST_ANSWER))
        else:
            self._answer(done, Ok(self.apply(transaction)))

    def apply(self, transaction):
        for key, revision in transaction.conditions:
            if self.rows.get(key, ("", 0))[1] != revision:
                return Conflict(key)
        self.revision += 1
        for key, value in transaction.puts:
            self.rows[key] = (value, self.revision)
        return Committed(self.revision)

    def apply_late_writes(self):
        late, self.late_writes = self.late_writes, []
        for transaction in late:
            self.apply(transaction)


class ClaimBench:
    """Claims of one or more VMs on one platform."""

    def __init__(self, vms=1):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.loop.register(Component())
        self.platform = FakePlatform(self.loop)
        self.vms = [
            ClaimsComponent(self.loop, self.platform, lambda: 40) for _ in range(vms)
        ]
        self.outcomes = []

    def claim(
        self,
        key="k",
        vm=0,
        owner="one",
        request="POST /a",
        is_outage_waited_out=False,
        within=5000.0,
    ):
        self.vms[vm].claim(
            KeyedRequest(key, owner, request),
            self.clock.now() + within,
            is_outage_waited_out,
            self.outcomes.append,
        )
        return self

    def run(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            self.clock.advance(1.0)
        return self.outcomes
