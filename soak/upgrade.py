"""A run of old and new builds side by side, as while machines are replaced."""

import json
import signal
from collections import Counter
from pathlib import Path

from galenaferry.network.fetch import FetchRequest, FetchResult, fetch

from .cuts import ALLOWED_FAILURE_SHARE, ALLOWED_FAILURES, Address
from .fleet import Vm
from .run import MAX_START_WAIT_MS, REQUEST_INTERVAL_MS, Soak
from .timing import APPLY_MS, VM_RESTART_MS

POLL_MS = 100.0
BALANCER_MS = 2_000.0
"""Time for which callers still use a stopping VM; it accepts requests for 3 s."""
CHANGE_MS = 2_500.0
"""Interval of configurations, longer than ``APPLY_MS``: each must get in force."""
MIXED_MS = 3_000.0
"""Time between a replaced VM's readiness and the next replacement."""
BULK = tuple(f"/bulk-of-added-routes/row-{row}/" for row in range(1_400))
BULK_CHANGES = 4
MIN_PASSED_ON = 20


class Upgrade(Soak):
    """Replaces the old build of all VMs by the new one, then the new by the old.

    One VM is cut off from all instances. It is the first to be replaced both times, or
    the last, so that at times all others run the other build.
    """

    def upgrade_from(self, old: Path) -> None:
        """Replace all VMs twice under load, then check as after other runs."""
        self._written, self._longest_lag, self._longest_pause = [], 0.0, 0.0
        self._passed_on: Counter[tuple[str, str]] = Counter()
        self._cut, is_first = self.random.choice(self.vms), self.random.random() < 0.5
        self.callers.on_ended, self.callers.addresses = self._on_ended, []
        for vm in self.vms:
            vm.kill()
            vm.checkout = old
            vm.start()
        self.cuts.start([self._cut], self.loop.clock.now())
        self._change()
        self._poll()
        self._wait_for_all()
        order = sorted(self.vms, key=lambda vm: vm is self._cut, reverse=is_first)
        for checkout in (Path(), old):
            for number, vm in enumerate(order):
                self._replace(vm, checkout, "" if number % 2 else "refuse")
        self._end_and_check()
        print(f"  {self._longest_lag:.0f} ms late, pauses {self._longest_pause:.0f} ms")
        print(f"  passed on to the other build: {dict(self._passed_on)}")
        sent, served = self.callers.outcomes.total(), self.callers.outcomes["200"]
        if sent - served > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * sent:
            self.record.findings.append(f"{sent - served} of {sent} requests failed")
        if any(self._passed_on[str(x), "200"] < MIN_PASSED_ON for x in (Path(), old)):
            self.record.findings.append("too few requests went between unlike builds")

    def _replace(self, vm: Vm, checkout: Path, store_fault: str) -> None:
        """Replace a VM; with a store fault it gets its tables from the others."""
        self._replace_instance(self.random.choice(self.instances))
        self._signal_vm(vm, signal.SIGTERM, VM_RESTART_MS)
        self._send_for(BALANCER_MS)
        used = self.callers.addresses
        self.callers.addresses = [a for a in used if a != vm.front_address]
        vm.checkout = checkout
        self._send_for(VM_RESTART_MS - BALANCER_MS)
        self.store.fault = store_fault
        self._wait_for_all()

    def _wait_for_all(self) -> None:
        ends_at = self.loop.clock.now() + MAX_START_WAIT_MS
        while len(self.callers.addresses) < len(self.vms):
            self._send_for(REQUEST_INTERVAL_MS)
            if self.loop.clock.now() > ends_at:
                self.record.findings.append("a VM does not get ready")
                break
        self.store.fault = ""
        self._send_for(MIXED_MS)

    def _send_for(self, duration_ms: float) -> None:
        ends_at = self.loop.clock.now() + duration_ms
        while (now := self.loop.clock.now()) < ends_at:
            if now >= self._written[-1][0] + CHANGE_MS and not self.store.fault:
                self._change()
            if self.callers.addresses:
                self.callers.send_request()
            self._run_loop_for(REQUEST_INTERVAL_MS)
            self._longest_pause = max(self._longest_pause, self.loop.clock.now() - now)

    def _change(self) -> None:
        bulk = BULK if len(self._written) % BULK_CHANGES else ()
        self._write_configuration(self.random.choice(("one", "two")), bulk)
        self._written.append((self.loop.clock.now(), self._version))

    def _poll(self) -> None:
        now = self.loop.clock.now()
        for vm in self.vms:
            request = FetchRequest(vm.readiness_address, "GET", "/v1/state")
            fetch(self.loop, request, lambda x, vm=vm: self._on_state(vm, x, now))
        self.loop.after(POLL_MS, self._poll)

    def _on_state(self, vm: Vm, result: FetchResult, asked_at: float) -> None:
        state = {} if result.is_err() else json.loads(result.ok_value.body)
        if not state or not state["vm"]["ready"]:
            return
        lag = missing_for(self._written, state["configuration"]["version"], asked_at)
        self._longest_lag = max(self._longest_lag, lag)
        if lag > APPLY_MS:
            text = f"vm-{vm.number} lacks a version for {lag:.0f} ms"
            self.record.timing.add_finding(vm.front_address, asked_at, asked_at, text)
        if vm.front_address not in self.callers.addresses:
            self.callers.addresses.append(vm.front_address)

    def _on_ended(self, request: str, address: Address, outcome: str) -> None:
        if outcome == "closed":
            self.record.findings.append(f"{request} has no answer of {address[0]}")
        own, is_cut = self._cut.checkout, address == self._cut.front_address
        is_unlike = sum(vm.checkout == own for vm in self.vms) == 1
        if is_cut and is_unlike and len(self.callers.addresses) == len(self.vms):
            self._passed_on[str(own), outcome] += 1


def missing_for(written: list[tuple[float, int]], version: int, now: float) -> float:
    """Return for how long a VM with a version in force lacks a newer one."""
    return max((now - at for at, newer in written if newer > version), default=0.0)
