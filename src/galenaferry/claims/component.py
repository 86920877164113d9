"""Claims of keyed requests: granted, replayed, or told to be unknown."""

from collections.abc import Callable
from typing import Any, Final

from circuits import BaseComponent
from result import Err, Result

from ..clock import Millis
from ..network.loop import Loop
from ..store.client import PlatformClient
from ..store.messages import ABSENT, Condition, PlatformError, Row
from .messages import (
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    Granted,
    KeyedRequest,
    Mismatched,
    Record,
    Replayed,
    Unavailable,
    Untold,
    decode_row,
    encode_row,
)
from .writer import RowWriter, Write

RECHECK_MS: Final = 250.0
SETTLE_FOR_MS: Final = 60_000.0

Done = Callable[[ClaimOutcome], None]


class ClaimsComponent(BaseComponent):
    """Claims through this VM.

    A claim is written before the request is sent to any backend server, and
    nobody ever takes a claim over: a VM that was paused for long, or whose
    write landed late, finds the row as it left it or finds itself refused. So
    no lease and no fencing is needed. The price is that a repeat of a request
    whose VM was lost in the middle is told ``unknown``.
    """

    channel = "claims"

    def __init__(
        self, loop: Loop, platform: PlatformClient, live_vms: Callable[[], int]
    ) -> None:
        super().__init__()
        self._loop = loop
        self._platform = platform
        self._writer = RowWriter(loop, platform, live_vms)
        self._granted = 0
        self._replayed = 0
        self._untold = 0
        self._unavailable = 0

    def claim(
        self, request: KeyedRequest, gives_up_at: Millis, does_wait: bool, done: Done
    ) -> None:
        """Ask for the right to run a request.

        Parameters
        ----------
        request : KeyedRequest
        gives_up_at : float
            Time of the caller's deadline in milliseconds.
        does_wait : bool
            Whether an outage of the platform is waited out until then.
        done : callable
            Called once with the outcome.
        """
        _Claim(self, request, gives_up_at, does_wait, done).write(ABSENT)

    def settle(
        self,
        request: KeyedRequest,
        revision: int,
        state: ClaimState,
        record: Record | None,
    ) -> None:
        """Record what became of a granted request."""
        row = ClaimRow(
            state, request.owner, request.request, self._loop.clock.wall(), record
        )
        gives_up_at = self._loop.clock.now() + SETTLE_FOR_MS
        self._writer.write(
            Write(
                Condition(request.row_key, revision),
                encode_row(row),
                lambda revision: None,
                lambda: self._loop.clock.now() < gives_up_at,
            )
        )

    def dump(self) -> dict[str, Any]:
        """Return the counters as JSON data."""
        return {
            "granted": self._granted,
            "replayed": self._replayed,
            "unknown": self._untold,
            "unavailable": self._unavailable,
            "transactions": self._writer.transactions,
            "rows": self._writer.rows,
        }

    def _count(self, outcome: ClaimOutcome) -> None:
        match outcome:
            case Granted():
                self._granted += 1
            case Replayed():
                self._replayed += 1
            case Untold():
                self._untold += 1
            case Unavailable():
                self._unavailable += 1
            case Mismatched():
                return


class _Claim:
    """One claim on its way."""

    def __init__(
        self,
        claims: ClaimsComponent,
        request: KeyedRequest,
        gives_up_at: Millis,
        does_wait: bool,
        done: Done,
    ) -> None:
        self._claims = claims
        self._loop = claims._loop
        self._request = request
        self._gives_up_at = gives_up_at
        self._does_wait = does_wait
        self._done = done
        self._is_done = False
        self._is_claimed_by_other = False
        self._deadline = gives_up_at
        if not does_wait:
            patience = float(claims._platform.timeout_ms)
            self._gives_up_at = min(gives_up_at, self._loop.clock.now() + patience)
        wait = max(0.0, self._gives_up_at - self._loop.clock.now())
        self._wanted_until = self._gives_up_at + SETTLE_FOR_MS
        self._timer = self._loop.after(wait, self._give_up)

    def write(self, revision: int) -> None:
        request = self._request
        wall = self._loop.clock.wall()
        row = ClaimRow(ClaimState.CLAIMED, request.owner, request.request, wall)
        self._claims._writer.write(
            Write(
                Condition(request.row_key, revision),
                encode_row(row),
                self._on_written,
                self._is_wanted,
            )
        )

    def _on_written(self, revision: int | None) -> None:
        if revision is None:
            self._read()
        elif not self._finish(Granted(revision)):
            # The caller was told that its request was not run; say so in the row.
            self._claims.settle(self._request, revision, ClaimState.NOT_RUN, None)

    def _is_wanted(self) -> bool:
        """Whether the row's fate still matters, if only to settle it."""
        return self._loop.clock.now() < self._wanted_until

    def _read(self) -> None:
        if self._is_wanted():
            self._claims._platform.read(self._request.row_key, self._on_row)

    def _on_row(self, result: Result[Row | None, PlatformError]) -> None:
        if isinstance(result, Err):
            self._loop.after(RECHECK_MS, self._read)
            return
        found = result.ok_value
        if found is None:
            self.write(ABSENT)
            return
        row = decode_row(found.value)
        is_mine = row.owner == self._request.owner
        if is_mine and row.state is ClaimState.CLAIMED:
            # An earlier write of this very claim took effect unseen.
            self._on_written(found.revision)
        elif self._is_done:
            return
        elif row.request != self._request.request:
            self._finish(Mismatched())
        else:
            self._judge(row, found.revision)

    def _judge(self, row: ClaimRow, revision: int) -> None:
        match row.state:
            case ClaimState.NOT_RUN:
                self.write(revision)
            case ClaimState.ANSWERED if row.record is not None:
                self._finish(Replayed(row.record))
            case ClaimState.CLAIMED if self._is_young(row):
                self._wait_for_first()
            case _:
                self._finish(Untold())

    def _wait_for_first(self) -> None:
        """Look again later; the platform answers, so only the deadline counts."""
        if not self._is_claimed_by_other:
            self._is_claimed_by_other = True
            self._timer.cancel()
            wait = max(0.0, self._deadline - self._loop.clock.now())
            self._timer = self._loop.after(wait, self._give_up)
        self._loop.after(RECHECK_MS, self._read)

    def _is_young(self, row: ClaimRow) -> bool:
        """Whether the first request may still be in progress."""
        return self._loop.clock.wall() - row.at < SETTLE_FOR_MS

    def _give_up(self) -> None:
        # Once another exchange is known to hold the key, "not run" could be wrong.
        self._finish(Untold() if self._is_claimed_by_other else Unavailable())

    def _finish(self, outcome: ClaimOutcome) -> bool:
        if self._is_done:
            return False
        self._is_done = True
        self._timer.cancel()
        self._claims._count(outcome)
        self._done(outcome)
        return True
