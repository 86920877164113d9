"""Accounting of what this VM admits and of what the others report."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import COUNT_MASK, MAX_ROWS_PER_REPORT, VmUsage, WorkspaceUsage

RECENT_SLOT_MS: Final[Millis] = 1_000.0
"""``WorkspaceUsage.recent`` counts the current slot and the one before. It covers the
time until a zone has new hubs; with 0.5 s, parts of a fleet exceeded the bound, as what
they had used at first was never deducted."""
REPEATS_MS: Final[tuple[Millis, ...]] = (300.0, 900.0)
"""Times after which a change is reported once more. The second one reaches the next
hubs of a zone when the first ones are lost, and is within ``recent``."""
OWN_IDLE_MS: Final[Millis] = 90_000.0
"""Time without a change after which an own total is dropped. Receivers drop theirs
earlier, so that a total which starts again is never compared with one from before."""
REPORTED_IDLE_MS: Final[Millis] = 30_000.0
MAX_OWN_TOTALS: Final = 10_000
MAX_REPORTED_TOTALS: Final = 40_000
"""Limit on reported totals of (VM, workspace): 165 VMs with 240 workspaces each."""
MAX_VMS: Final = 4_096
MAX_REFUNDS: Final = 64
"""Largest decrease between two reports that is taken for refunds."""


@dataclass(slots=True)
class _OwnTotal:
    total: int = 0
    slot: int = 0
    slot_count: int = 0
    previous_count: int = 0
    changed_at: Millis = 0.0
    repeats_at: tuple[Millis, ...] = ()

    def change(self, count: int, now: Millis) -> None:
        self._move_to(now)
        self.total = (self.total + count) & COUNT_MASK
        self.slot_count += count
        self.changed_at = now

    def recent(self, now: Millis) -> int:
        self._move_to(now)
        return max(0, self.slot_count + self.previous_count)

    def _move_to(self, now: Millis) -> None:
        slot = int(now // RECENT_SLOT_MS)
        if slot != self.slot:
            is_next = slot == self.slot + 1
            self.previous_count = self.slot_count if is_next else 0
            self.slot, self.slot_count = slot, 0


class OwnUsage:
    """Totals of the requests that this VM has admitted."""

    def __init__(self) -> None:
        self._total_by_key: OrderedDict[int, _OwnTotal] = OrderedDict()
        self._changed_keys: dict[int, None] = {}
        self._sequence = 0

    @property
    def has_changes(self) -> bool:
        """Whether a total has changed since the latest report."""
        return bool(self._changed_keys)

    def add(self, key: int, count: int, now: Millis) -> None:
        """Count requests of a workspace; a negative count stands for refunds."""
        total = self._total_by_key.get(key)
        if total is None:
            total = self._total_by_key[key] = _OwnTotal()
            if len(self._total_by_key) > MAX_OWN_TOTALS:
                dropped, _ = self._total_by_key.popitem(last=False)
                self._changed_keys.pop(dropped, None)
        total.change(count, now)
        self._total_by_key.move_to_end(key)
        self._changed_keys[key] = None

    def take_report(self, address: str, incarnation: int, now: Millis) -> list[VmUsage]:
        """Return what to report now: one part for each datagram, at least one."""
        changed, self._changed_keys = self._changed_keys, {}
        rows = []
        for key in changed:
            repeats_at = tuple(now + interval for interval in REPEATS_MS)
            self._total_by_key[key].repeats_at = repeats_at
            rows.append(self._row(key, now))
        for key, total in self._total_by_key.items():
            if total.repeats_at and total.repeats_at[0] <= now:
                total.repeats_at = total.repeats_at[1:]
                rows.append(self._row(key, now))
        parts = []
        for start in range(0, max(1, len(rows)), MAX_ROWS_PER_REPORT):
            self._sequence += 1
            part = tuple(rows[start : start + MAX_ROWS_PER_REPORT])
            parts.append(VmUsage(address, incarnation, self._sequence, part))
        return parts

    def drop_idle(self, now: Millis) -> None:
        """Drop the totals that have not changed for a while."""
        while self._total_by_key:
            key, total = next(iter(self._total_by_key.items()))
            # After a long pause of the process a change may not be reported yet.
            if now - total.changed_at < OWN_IDLE_MS or key in self._changed_keys:
                break
            del self._total_by_key[key]

    def _row(self, key: int, now: Millis) -> WorkspaceUsage:
        total = self._total_by_key[key]
        return WorkspaceUsage(key, total.total, total.recent(now))


class Change(NamedTuple):
    """Requests of a workspace that another VM has admitted.

    ``admitted`` is negative if requests were refunded. If not ``is_certain``, they may
    be from before the start of this VM, which holds no tokens of that time: as a debt
    they would refuse requests within the limit.
    """

    key: int
    admitted: int
    is_certain: bool


class _Reported(NamedTuple):
    """Latest row of a VM about a workspace; ``order`` is (incarnation, sequence)."""

    order: tuple[int, int]
    total: int
    received_at: Millis


class ReportedUsage:
    """Latest totals of the other VMs.

    Parameters
    ----------
    now : float
        Monotonic time in milliseconds at which this VM started.
    """

    def __init__(self, now: Millis) -> None:
        self._knows_all_from = now + 2.0 * RECENT_SLOT_MS
        self._order_by_address: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._row_by_vm_and_key: OrderedDict[tuple[str, int], _Reported] = OrderedDict()

    def is_new(self, usage: VmUsage) -> bool:
        """Whether a report is the latest of its VM, which it then is recorded as."""
        order = (usage.incarnation, usage.sequence)
        if order <= self._order_by_address.get(usage.address, (-1, 0)):
            return False
        self._order_by_address[usage.address] = order
        self._order_by_address.move_to_end(usage.address)
        if len(self._order_by_address) > MAX_VMS:
            self._order_by_address.popitem(last=False)
        return True

    def take_changes(self, usage: VmUsage, now: Millis) -> Iterator[Change]:
        """Record a report; yield what the VM has newly admitted."""
        order = (usage.incarnation, usage.sequence)
        for row in usage.rows:
            vm_and_key = (usage.address, row.key)
            known = self._row_by_vm_and_key.get(vm_and_key)
            if known is not None and order <= known.order:
                continue
            self._row_by_vm_and_key[vm_and_key] = _Reported(order, row.total, now)
            self._row_by_vm_and_key.move_to_end(vm_and_key)
            if len(self._row_by_vm_and_key) > MAX_REPORTED_TOTALS:
                self._row_by_vm_and_key.popitem(last=False)
            is_same_run = known is not None and known.order[0] == usage.incarnation
            if known is not None and is_same_run:
                count = _signed(row.total - known.total)
                if count >= -MAX_REFUNDS:
                    yield Change(row.key, min(count, row.recent), True)
                    continue
            yield Change(row.key, row.recent, now >= self._knows_all_from)

    def drop_idle(self, now: Millis) -> None:
        """Drop the rows that have not been received for a while."""
        rows = self._row_by_vm_and_key
        while rows:
            vm_and_key, row = next(iter(rows.items()))
            if now - row.received_at < REPORTED_IDLE_MS:
                break
            del rows[vm_and_key]


def own_usages(
    sender_address: str, sender_incarnation: int, usages: Iterable[VmUsage]
) -> tuple[VmUsage, ...]:
    """Return the usages of the sender itself: a VM may report only its own totals."""
    sender = (sender_address, sender_incarnation)
    return tuple(usage for usage in usages if usage[:2] == sender)


def _signed(difference: int) -> int:
    """Return a difference of totals, which are modulo 2**32, with its sign."""
    difference &= COUNT_MASK
    return difference - COUNT_MASK - 1 if difference > COUNT_MASK // 2 else difference
