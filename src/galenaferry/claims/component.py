"""Component that claims idempotency keys and records the outcome of their requests."""

from collections.abc import Callable
from typing import Any, Final

from circuits import BaseComponent
from result import Err, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from ..store.client import PlatformClient
from ..store.messages import ABSENT_REVISION, Condition, PlatformError, Row
from .messages import (
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    Granted,
    KeyedRequest,
    Mismatched,
    OutcomeUnknown,
    RecordedAnswer,
    Replayed,
    Unavailable,
    decode_row,
    encode_row,
)
from .writer import RowWriter, Write

RECHECK_MS: Final = 250.0
"""Delay before a row is read again, after an error or while another exchange holds
the key."""
SETTLE_TIMEOUT_MS: Final = 60_000.0
"""Time for recording the outcome of a request.

A claimed row that is older counts as abandoned, and its outcome as unknown.
"""

ClaimCallback = Callable[[ClaimOutcome], None]

log = logger("claims")


class ClaimsComponent(BaseComponent):
    """Claims of idempotency keys by this VM.

    A claim is a row that is written to the platform's table (see ``store``) before the
    request is sent to any backend server. It belongs to one exchange, the handling of
    one request of a caller, and no other exchange takes it over. A VM that was paused
    for long, or whose write took effect late, finds its row unchanged or its write
    rejected, so neither leases nor fencing tokens are needed. The drawback is that a
    repeat of a request whose VM failed while it was in progress gets an unknown
    outcome.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    live_vm_count : callable
        Returns the number of live VMs, between which the write rate is divided.
    """

    channel = "claims"

    def __init__(
        self, loop: Loop, platform: PlatformClient, live_vm_count: Callable[[], int]
    ) -> None:
        super().__init__()
        self._loop = loop
        self._platform = platform
        self._writer = RowWriter(loop, platform, live_vm_count)
        self._granted = 0
        self._replayed = 0
        self._unknown = 0
        self._unavailable = 0

    def claim(
        self,
        request: KeyedRequest,
        deadline: Millis,
        is_outage_waited_out: bool,
        done: ClaimCallback,
    ) -> None:
        """Claim the key of a request before the request is executed.

        Parameters
        ----------
        request : KeyedRequest
        deadline : float
            Monotonic time of the caller's deadline in milliseconds.
        is_outage_waited_out : bool
            Whether to wait until the deadline if the platform is unavailable, instead
            of for the platform's timeout only.
        done : callable
            Called once with the outcome.
        """
        _PendingClaim(self, request, deadline, is_outage_waited_out, done).write(
            ABSENT_REVISION
        )

    def settle(
        self,
        request: KeyedRequest,
        revision: int,
        state: ClaimState,
        record: RecordedAnswer | None,
    ) -> None:
        """Record the outcome of a granted request, retrying for a limited time."""
        row = ClaimRow(
            state, request.owner, request.request, self._loop.clock.wall_time(), record
        )
        deadline = self._loop.clock.now() + SETTLE_TIMEOUT_MS
        self._writer.write(
            Write(
                Condition(request.row_key, revision),
                encode_row(row),
                lambda revision: None,
                lambda: self._loop.clock.now() < deadline,
            )
        )

    def dump(self) -> dict[str, Any]:
        """Return the counters as JSON data."""
        return {
            "granted": self._granted,
            "replayed": self._replayed,
            "unknown": self._unknown,
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
            case OutcomeUnknown():
                self._unknown += 1
            case Unavailable():
                self._unavailable += 1
            case Mismatched():
                return


class _PendingClaim:
    """A claim without an outcome yet, which is written and read until it has one."""

    def __init__(
        self,
        claims: ClaimsComponent,
        request: KeyedRequest,
        deadline: Millis,
        is_outage_waited_out: bool,
        done: ClaimCallback,
    ) -> None:
        self._claims = claims
        self._loop = claims._loop
        self._request = request
        self._timeout_at = deadline
        self._is_outage_waited_out = is_outage_waited_out
        self._done = done
        self._is_done = False
        self._is_claimed_by_other = False
        self._deadline = deadline
        if not is_outage_waited_out:
            platform_timeout = float(claims._platform.timeout_ms)
            self._timeout_at = min(deadline, self._loop.clock.now() + platform_timeout)
        wait = max(0.0, self._timeout_at - self._loop.clock.now())
        self._wanted_until = self._timeout_at + SETTLE_TIMEOUT_MS
        self._timer = self._loop.after(wait, self._on_timeout)

    def write(self, revision: int) -> None:
        request = self._request
        wall = self._loop.clock.wall_time()
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
            # The caller already got the answer that its request was not executed.
            # Recording that releases the key.
            self._claims.settle(self._request, revision, ClaimState.NOT_RUN, None)

    def _is_wanted(self) -> bool:
        """Whether to continue, if only to release a row that was written late."""
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
            self.write(ABSENT_REVISION)
            return
        try:
            row = decode_row(found.value)
        except ValueError as error:
            # Another request may hold the key.
            log.warning("invalid row of a claim", key=found.key, error=str(error))
            self._finish(OutcomeUnknown())
            return
        is_own = row.owner == self._request.owner
        if is_own and row.state is ClaimState.CLAIMED:
            # An earlier write of this claim took effect, but its response was lost.
            self._on_written(found.revision)
        elif self._is_done:
            return
        elif row.request != self._request.request:
            self._finish(Mismatched())
        else:
            self._resolve_row(row, found.revision)

    def _resolve_row(self, row: ClaimRow, revision: int) -> None:
        match row.state:
            case ClaimState.NOT_RUN:
                self.write(revision)
            case ClaimState.ANSWERED if row.record is not None:
                self._finish(Replayed(row.record))
            case ClaimState.CLAIMED if self._is_possibly_in_progress(row):
                self._wait_for_other_exchange()
            case _:
                self._finish(OutcomeUnknown())

    def _wait_for_other_exchange(self) -> None:
        """Read the row again later.

        As the platform responds, only the caller's deadline applies from now on.
        """
        if not self._is_claimed_by_other:
            self._is_claimed_by_other = True
            self._timer.cancel()
            wait = max(0.0, self._deadline - self._loop.clock.now())
            self._timer = self._loop.after(wait, self._on_timeout)
        self._loop.after(RECHECK_MS, self._read)

    def _is_possibly_in_progress(self, row: ClaimRow) -> bool:
        """Whether the request that holds the key may still be in progress."""
        return self._loop.clock.wall_time() - row.written_at < SETTLE_TIMEOUT_MS

    def _on_timeout(self) -> None:
        # ``Unavailable`` states that the request was not executed. That may be wrong
        # once another exchange is known to hold the key.
        self._finish(OutcomeUnknown() if self._is_claimed_by_other else Unavailable())

    def _finish(self, outcome: ClaimOutcome) -> bool:
        if self._is_done:
            return False
        self._is_done = True
        self._timer.cancel()
        self._claims._count(outcome)
        self._done(outcome)
        return True
