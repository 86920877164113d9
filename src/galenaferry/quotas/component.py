"""Decides whether the requests of limited workspaces may be sent."""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from ..workspaces.messages import Workspace
from .bucket import (
    Bucket,
    Limit,
    make_bucket,
    make_limit,
    refill,
    reserve,
    size,
    spend,
    wait,
)
from .fleet_time import FleetTime
from .messages import (
    Admitted,
    OverLimit,
    QuotaBounds,
    VmUsage,
    workspace_key,
)
from .usage import Change, OwnUsage, ReportedUsage

SCARCE_REPORT_MS: Final[Millis] = 10.0
"""Time within which a change is reported while the bucket is less than half full."""
CALM_REPORT_MS: Final[Millis] = 100.0
"""The same while the bucket of the workspace is more than half full, or its limit is
small."""
SCARCE_PRESENCE_MS: Final[Millis] = 100.0
CALM_PRESENCE_MS: Final[Millis] = 250.0
"""Intervals between reports without changes. Other VMs count this one as silent after
``SILENT_MS``."""
SCARCE_SHARE: Final = 0.5
SMALL_RATE_FACTOR: Final = 0.15
"""Multiple of the bound's slack per second up to which a limit is small: its bucket is
often less than half full, and the slack covers late reports. At 0.25 and 5 requests
per second, VMs that restarted again and again admitted 55 in a window instead of 53."""
SWEEP_MS: Final[Millis] = 1_000.0
IDLE_MS: Final[Millis] = 30_000.0
REPORTING_END_MS: Final[Millis] = 60_000.0
"""Time without a request of a limited workspace after which reports end."""
MEMBERS_INTERVAL_MS: Final[Millis] = 100.0
"""Interval at which the members of the fleet are updated from the membership."""
MAX_WORKSPACES: Final = 10_000
HISTORY_SLOT_MS: Final[Millis] = 100.0
MAX_HISTORY_SLOTS: Final = 50
"""Usage of a workspace whose limit this VM has not needed yet: that of 5 s."""
RETRY_SPREAD_MS: Final[Millis] = 500.0
"""Random part of a ``Retry-After``. With the same moment for all callers, each VM would
admit the one token that it sees then."""
LIMITED_END_MS: Final[Millis] = 10_000.0
"""Time without a refusal after which a workspace is no longer limited, in the log."""
ADMITTED: Final = Admitted()
EMPTY: Final = Bucket(0.0, 0.0)

log = logger("quotas")


@dataclass(slots=True)
class QuotaCounters:
    """Counters since the start of the process.

    ``reports_sent`` counts reports of this VM, ``reports_received`` those of others.
    """

    admitted: int = 0
    over_limit: int = 0
    refunded: int = 0
    reports_sent: int = 0
    reports_received: int = 0


@dataclass(slots=True)
class _Account:
    """A workspace: its bucket, or its usage as long as the limit is not known here."""

    name: str = ""
    limit: Limit | None = None
    bucket: Bucket = EMPTY
    forfeited: float = 0.0
    history: list[tuple[Millis, Change]] = field(default_factory=list)
    used_at: Millis = 0.0
    refused_at: Millis | None = None
    refused_count: int = 0


class FleetQuotas:
    """Rate limits of workspaces at one VM.

    Nothing is reported before a workspace with a limit is known, here or at another VM.

    Parameters
    ----------
    loop : Loop
    bounds : QuotaBounds
    identity : callable
        Returns the address and the incarnation of this VM.
    send : callable
        Sends reports of this VM to all others.
    random : Random
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    update_members : callable, optional
        Updates the members of ``fleet_time``; called while this VM reports.
    """

    def __init__(
        self,
        loop: Loop,
        bounds: QuotaBounds,
        identity: Callable[[], tuple[str, int]],
        send: Callable[[VmUsage], None],
        random: Random,
        is_first_start: bool,
        update_members: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = loop
        self._bounds = bounds
        self._identity = identity
        self._send = send
        self._random = random
        now = loop.clock.now()
        self._started_at = now
        self._is_first_start = is_first_start
        self._update_members = update_members
        self.fleet_time = FleetTime(now, is_first_start)
        self.counters = QuotaCounters()
        self._own = OwnUsage()
        self._reported = ReportedUsage(now)
        self._account_by_key: OrderedDict[int, _Account] = OrderedDict()
        # All parts of a fleet that reach the share add at most half of the slack.
        self._smallest_share = 2.0 / max(2.0, bounds.slack)
        self._is_reporting = False
        self._scarce_keys: set[int] = set()
        self._active_at = now
        self._report_timer = self._sweep_timer = self._members_timer = Timer(now, None)

    @property
    def is_urgent(self) -> bool:
        """Whether reports must arrive even if one datagram of them is lost."""
        return bool(self._scarce_keys)

    @property
    def limited_count(self) -> int:
        """Number of workspaces that had requests refused here lately."""
        accounts = self._account_by_key.values()
        return sum(account.refused_at is not None for account in accounts)

    def begin_reporting(self) -> None:
        """Report to the other VMs from now on: workspaces have limits."""
        if self._is_reporting:
            return
        self._is_reporting = True
        self._active_at = now = self._loop.clock.now()
        self._refresh_members()
        has_run = now - self._started_at >= self._bounds.window
        if has_run or self._is_first_start:
            # The others have not been asked to report so far.
            self.fleet_time.assume_heard(now)
        self._sweep_timer = self._loop.after(SWEEP_MS, self._sweep)
        self._report()

    def _end_reporting(self) -> None:
        self._is_reporting = False
        for timer in (self._report_timer, self._sweep_timer, self._members_timer):
            timer.cancel()

    def _refresh_members(self) -> None:
        self._members_timer = self._loop.after(
            MEMBERS_INTERVAL_MS, self._refresh_members
        )
        self._update_members()

    def admit(self, workspace: Workspace) -> Admitted | OverLimit:
        """Charge a request of a caller, if its workspace has room."""
        limit = make_limit(
            workspace.rate_per_second, workspace.burst, self._bounds.slack
        )
        if limit is None:
            return ADMITTED
        self.begin_reporting()
        now = self._loop.clock.now()
        key = workspace_key(workspace.name)
        account = self._refilled_account(key, limit, now)
        account.name = workspace.name
        silent_share = self.fleet_time.silent_share(now)
        reserved = reserve(limit, silent_share, self._smallest_share)
        delay = wait(account.bucket, limit, reserved)
        if delay > 0.0:
            return self._refuse(account, delay, now)
        self._own.add(key, 1, now)
        self._spend(key, account, 1.0)
        self._report_change(key)
        self.counters.admitted += 1
        return ADMITTED

    def refund(self, workspace: Workspace) -> None:
        """Return the token of an admitted request that no instance ran."""
        limit = make_limit(
            workspace.rate_per_second, workspace.burst, self._bounds.slack
        )
        if limit is None:
            return
        now = self._loop.clock.now()
        key = workspace_key(workspace.name)
        known = self._account_by_key.get(key)
        if known is not None and known.limit is not None:
            # The request may have been admitted before the limit was changed.
            limit = known.limit
        account = self._refilled_account(key, limit, now)
        self._own.add(key, -1, now)
        self._spend(key, account, -1.0)
        self._report_change(key)
        self.counters.refunded += 1

    def on_usage(self, usage: VmUsage) -> None:
        """Deduct what another VM reports of itself."""
        now = self._loop.clock.now()
        if usage.address == self._identity()[0]:
            return
        if not self._is_reporting and not usage.rows:
            return
        self.counters.reports_received += 1
        self.begin_reporting()
        if self._reported.is_new(usage):
            self.fleet_time.on_heard(usage.address, now)
        for change in self._reported.take_changes(usage, now):
            self._deduct(change, now)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        return {
            "vms": len(self.fleet_time),
            "silent_share": round(self.fleet_time.silent_share(now), 3),
            "limited": sorted(
                account.name
                for account in self._account_by_key.values()
                if account.refused_at is not None
            ),
        }

    def _refuse(self, account: _Account, delay: Millis, now: Millis) -> OverLimit:
        self.counters.over_limit += 1
        if account.refused_at is None and account.limit is not None:
            log.warning(
                "workspace reached its limit",
                workspace=account.name,
                rate_per_second=round(account.limit.rate * 1000.0, 3),
                burst=round(account.limit.burst, 3),
                silent_share=round(self.fleet_time.silent_share(now), 3),
            )
        account.refused_at = now
        account.refused_count += 1
        # Tokens come more slowly while VMs are silent, who may be heard again soon.
        heard_share = 1.0 - self.fleet_time.silent_share(now)
        longest = max(delay, self._bounds.window)
        spread = RETRY_SPREAD_MS * self._random.random()
        return OverLimit(min(delay / heard_share, longest) + spread)

    def _refilled_account(self, key: int, limit: Limit, now: Millis) -> _Account:
        account = self._account(key, now)
        at = self.fleet_time.read(now)
        if account.limit is None:
            begins_at = min((since for since, _ in account.history), default=at)
            account.bucket = make_bucket(limit, begins_at)
            for since, change in account.history:
                account.bucket = refill(account.bucket, limit, since)
                count = _deductible(account.bucket, change)
                account.bucket = spend(account.bucket, limit, count)
            account.history = []
        elif account.limit != limit:
            # The largest debt depends on the limit.
            account.bucket = spend(account.bucket, limit, 0.0)
        account.limit = limit
        account.bucket = refill(account.bucket, limit, at)
        forfeited = self.fleet_time.forfeited
        if forfeited > account.forfeited:
            share = forfeited - account.forfeited
            account.bucket = spend(account.bucket, limit, share * size(limit))
            account.forfeited = forfeited
        return account

    def _deduct(self, change: Change, now: Millis) -> None:
        account = self._account(change.key, now)
        if account.limit is not None:
            self._refilled_account(change.key, account.limit, now)
            self._spend(change.key, account, _deductible(account.bucket, change))
            return
        at, history = self.fleet_time.read(now), account.history
        since, last = history[-1] if history else (-math.inf, change)
        is_same_slot = at - since < HISTORY_SLOT_MS
        if is_same_slot and last.is_certain == change.is_certain:
            history[-1] = (
                since,
                last._replace(admitted=last.admitted + change.admitted),
            )
        else:
            history.append((at, change))
            del history[:-MAX_HISTORY_SLOTS]

    def _account(self, key: int, now: Millis) -> _Account:
        account = self._account_by_key.get(key)
        if account is None:
            account = _Account(forfeited=self.fleet_time.forfeited)
            self._account_by_key[key] = account
            if len(self._account_by_key) > MAX_WORKSPACES:
                self._account_by_key.popitem(last=False)
        account.used_at = self._active_at = now
        self._account_by_key.move_to_end(key)
        return account

    def _spend(self, key: int, account: _Account, count: float) -> None:
        limit = account.limit
        assert limit is not None
        account.bucket = spend(account.bucket, limit, count)
        is_small = limit.rate * 1_000.0 <= SMALL_RATE_FACTOR * self._bounds.slack
        if account.bucket.tokens < SCARCE_SHARE * limit.burst and not is_small:
            self._scarce_keys.add(key)
            self._report_within(SCARCE_PRESENCE_MS)

    def _report_change(self, key: int) -> None:
        is_scarce = key in self._scarce_keys
        self._report_within(SCARCE_REPORT_MS if is_scarce else CALM_REPORT_MS)

    def _report_within(self, interval: Millis) -> None:
        """Report after an interval at the latest."""
        timer = self._report_timer
        due = self._loop.clock.now() + interval
        if timer.callback is None or timer.due > due:
            timer.cancel()
            self._report_timer = self._loop.after(interval, self._report)

    def _report(self) -> None:
        self._drop_refilled()
        interval = SCARCE_PRESENCE_MS if self._scarce_keys else CALM_PRESENCE_MS
        self._report_timer.cancel()
        self._report_timer = self._loop.after(interval, self._report)
        for usage in self._own.take_report(*self._identity(), self._loop.clock.now()):
            self.counters.reports_sent += 1
            self._send(usage)

    def _drop_refilled(self) -> None:
        """Forget the buckets that are half full again."""
        at = self.fleet_time.read(self._loop.clock.now())
        for key in list(self._scarce_keys):
            account = self._account_by_key.get(key)
            if account is None or account.limit is None:
                self._scarce_keys.discard(key)
                continue
            tokens = refill(account.bucket, account.limit, at).tokens
            if tokens >= SCARCE_SHARE * account.limit.burst:
                self._scarce_keys.discard(key)

    def _sweep(self) -> None:
        """Drop idle state, and log workspaces that are no longer limited."""
        now = self._loop.clock.now()
        self._sweep_timer = self._loop.after(SWEEP_MS, self._sweep)
        self._own.drop_idle(now)
        self._reported.drop_idle(now)
        for account in self._account_by_key.values():
            refused_at = account.refused_at
            if refused_at is not None and now - refused_at >= LIMITED_END_MS:
                log.info(
                    "workspace is below its limit again",
                    workspace=account.name,
                    refused=account.refused_count,
                )
                account.refused_at = None
                account.refused_count = 0
        while self._account_by_key:
            key, account = next(iter(self._account_by_key.items()))
            if now - account.used_at < IDLE_MS:
                break
            del self._account_by_key[key]
        is_idle = now - self._active_at >= REPORTING_END_MS
        if is_idle and not self._own.has_changes:
            self._end_reporting()


def _deductible(bucket: Bucket, change: Change) -> float:
    """Return what to take for a change: no more than there is unless it is certain."""
    if change.is_certain:
        return change.admitted
    return min(change.admitted, max(0.0, bucket.tokens))
