"""Time that passes at the share of the fleet's VMs that are heard.

A VM contributes to it when it reports, for the time since its previous report. Its
share of the tokens so comes together with the news of what it has used, and the parts
of a partitioned fleet have one limit together from the first moment on.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ..clock import Millis

SILENT_MS: Final[Millis] = 500.0
"""Time after its latest report from which the burst of a VM is reserved for it. Reports
come every 250 ms at least."""
MAX_CATCH_UP_MS: Final[Millis] = 1_500.0
"""Largest contribution of one report. Reports tell the usage of the last 1 to 2 s, so
that older tokens have to be left out as well."""
MEMBERSHIP_MS: Final[Millis] = 300_000.0
"""Time for which a VM belongs to the fleet after it was last heard."""
FULL: Final[Millis] = 1e12
"""Fleet time at the first start of a fleet: all buckets are full."""


@dataclass(slots=True)
class _Vm:
    """Another VM.

    ``seen_at`` is the latest time of a sign of life of any kind, ``heard_at`` that of a
    report, and ``credited_until`` the time up to which the VM has contributed.
    """

    seen_at: Millis
    heard_at: Millis
    credited_until: Millis


class FleetTime:
    """Fleet time of one VM, from the reports that it hears of the others.

    Parameters
    ----------
    now : float
        Monotonic time in milliseconds.
    is_first_start : bool
        Whether the whole fleet starts for the first time.

    Attributes
    ----------
    forfeited : float
        Sum of the shares of VMs that were heard again after a silence whose usage is
        not fully known. Their part of each bucket counts as spent.
    """

    def __init__(self, now: Millis, is_first_start: bool) -> None:
        self._vm_by_address: dict[str, _Vm] = {}
        self._leaving_addresses: frozenset[str] = frozenset()
        self._time = FULL if is_first_start else 0.0
        self.forfeited = 0.0
        self._own_credited_until = now
        self._is_settled = is_first_start

    def __len__(self) -> int:
        return len(self._vm_by_address) + 1

    def settle(self, since: Millis) -> None:
        """Begin: this VM knows the others of its fleet since a time."""
        if not self._is_settled:
            self._is_settled = True
            self._own_credited_until = since
            for vm in self._vm_by_address.values():
                vm.credited_until = max(vm.credited_until, since)

    def update_members(
        self,
        live: Iterable[str],
        listed: Iterable[str],
        leaving: Iterable[str],
        now: Millis,
    ) -> None:
        """Add live and listed VMs; remove leaving ones and those long not seen."""
        self.read(now)
        self._leaving_addresses = frozenset(leaving)
        for address in live:
            self._add(address, now).seen_at = now
        for address in listed:
            self._add(address, now)
        self._vm_by_address = {
            address: vm
            for address, vm in self._vm_by_address.items()
            if address not in self._leaving_addresses
            and now - max(vm.seen_at, vm.heard_at) < MEMBERSHIP_MS
        }

    def assume_heard(self, now: Millis) -> None:
        """Count VMs that have lately been seen as heard, before reports have begun."""
        for vm in self._vm_by_address.values():
            if now - vm.seen_at < MAX_CATCH_UP_MS:
                vm.heard_at = vm.credited_until = now

    def on_heard(self, address: str, now: Millis) -> None:
        """Record a report of another VM."""
        if address in self._leaving_addresses:
            return
        vm = self._add(address, now)
        vm.heard_at = now
        if self._is_settled:
            passed = now - vm.credited_until
            if passed > MAX_CATCH_UP_MS:
                self.forfeited += 1.0 / len(self)
            self._time += max(0.0, min(passed, MAX_CATCH_UP_MS)) / len(self)
            vm.credited_until = now

    def was_heard(self, address: str, since: Millis) -> bool:
        """Whether a VM was heard since a time."""
        vm = self._vm_by_address.get(address)
        return vm is not None and vm.heard_at >= since

    def read(self, now: Millis) -> Millis:
        """Return the fleet time, which never decreases."""
        if self._is_settled:
            self._time += max(0.0, now - self._own_credited_until) / len(self)
            self._own_credited_until = now
        return self._time

    def silent_share(self, now: Millis) -> float:
        """Return the share of the fleet's VMs that are silent."""
        since = now - SILENT_MS
        silent_count = sum(vm.heard_at < since for vm in self._vm_by_address.values())
        return silent_count / len(self)

    def _add(self, address: str, now: Millis) -> _Vm:
        vm = self._vm_by_address.get(address)
        if vm is None:
            # A VM that is new here is not silent before it had time to report.
            vm = self._vm_by_address[address] = _Vm(now, now, now)
        return vm
