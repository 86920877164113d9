"""Batched conditional writes that are repeated until their result is definite."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Result

from ..network.loop import Loop
from ..store.client import PlatformClient
from ..store.messages import (
    Committed,
    Condition,
    Conflict,
    PlatformError,
    Put,
    Transaction,
)
from .pacing import ROWS_PER_TRANSACTION, Pacer

RETRY_INTERVAL_MS: Final = 200.0
"""Delay before a batch without a definite result is sent again."""


class Write(NamedTuple):
    """A conditional write of one row.

    ``done`` is called with the new revision, or with None if the condition was not
    met. ``is_wanted`` returns whether to repeat the write after an indefinite result;
    otherwise it is dropped and ``done`` is not called.
    """

    condition: Condition
    value: str
    done: Callable[[int | None], None]
    is_wanted: Callable[[], bool]


class RowWriter:
    """Sends queued writes in batches, one transaction for each batch.

    A result is definite if the platform reports that the transaction was committed or
    that a row did not meet its condition. A transaction with such a conflict takes no
    effect: the write of that row fails and the others are sent again. After an
    indefinite result, such as a lost response, all writes are sent again until the
    result is definite. A row that an earlier transaction did write is then in conflict,
    and its owner recognizes the row as its own by the owner field.
    """

    def __init__(
        self, loop: Loop, platform: PlatformClient, live_vm_count: Callable[[], int]
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._live_vm_count = live_vm_count
        self._waiting: deque[Write] = deque()
        self._pacer = Pacer()
        self._is_scheduled = False
        self.transactions = 0
        self.rows = 0

    def write(self, write: Write) -> None:
        """Queue a write."""
        self._waiting.append(write)
        self._schedule()

    def _schedule(self) -> None:
        wait = self._pacer.wait(self._loop.clock.now())
        if wait is not None and self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.after(wait, self._send)

    def _send(self) -> None:
        self._is_scheduled = False
        batch = self._pop_batch()
        if not batch:
            return
        self._pacer.begin(self._live_vm_count(), self._loop.clock.now())
        self.transactions += 1
        self.rows += len(batch)
        transaction = Transaction(
            tuple(write.condition for write in batch),
            tuple(Put(write.condition.key, write.value) for write in batch),
        )
        self._platform.commit(
            transaction, lambda result: self._on_result(batch, result)
        )
        self._schedule()

    def _pop_batch(self) -> list[Write]:
        """Return the next writes, at most one for each row."""
        batch: list[Write] = []
        keys: set[str] = set()
        later: list[Write] = []
        while self._waiting and len(batch) < ROWS_PER_TRANSACTION:
            write = self._waiting.popleft()
            if write.condition.key in keys:
                later.append(write)
                continue
            keys.add(write.condition.key)
            batch.append(write)
        self._waiting.extendleft(reversed(later))
        return batch

    def _on_result(
        self, batch: list[Write], result: Result[Committed | Conflict, PlatformError]
    ) -> None:
        self._pacer.end()
        if isinstance(result, Err):
            wanted = [write for write in batch if write.is_wanted()]
            self._loop.after(RETRY_INTERVAL_MS, lambda: self._requeue(wanted))
            self._schedule()
            return
        match result.ok_value:
            case Committed(revision):
                for write in batch:
                    write.done(revision)
            case Conflict(key):
                self._requeue([w for w in batch if w.condition.key != key])
                for write in batch:
                    if write.condition.key == key:
                        write.done(None)
        self._schedule()

    def _requeue(self, writes: list[Write]) -> None:
        self._waiting.extendleft(reversed(writes))
        self._schedule()
