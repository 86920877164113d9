"""What must have happened within a time: leaving instances, configuration, stops.

A check leaves out times in which a fault could be the reason: a store that fails or is
out of reach, and the VM that took the request having been killed or paused.
"""

import math

from galenaferry.clock import Millis

Address = tuple[str, int]

DRAIN_TIMEOUT_MS = 2_000.0
"""Time after which a leaving instance gets nothing new (the node file's bound)."""
APPLY_MS = 2_000.0
"""Time after which every VM routes by a new configuration (the users' bound)."""
RECOVERY_MS = 4_000.0
"""A fault's effects: a failing store is called again within 3 s, and a VM starts or
catches up within one."""
STOP_ACCEPT_MS = 2_500.0
"""A stopping VM takes requests for so long, and ends them within its grace of 6 s."""


class TimingChecks:
    """Events of one run and the findings that follow from them; in milliseconds."""

    def __init__(self, findings: list[str]) -> None:
        self._findings = findings
        self._store_fault_spans: list[tuple[Millis, Millis]] = []
        self._draining_at_by_instance: dict[str, Millis] = {}
        self._configurations: list[tuple[Millis, str]] = []
        self._sent_by_request: dict[str, tuple[Address, Millis]] = {}
        self._fault_spans_by_vm: dict[Address, list[tuple[Millis, Millis]]] = {}
        self._stopped_at_by_vm: dict[Address, Millis] = {}

    def on_store_fault(self, begins_at: Millis, duration: Millis) -> None:
        """Leave out the time of a fault of the store."""
        self._store_fault_spans.append((begins_at, begins_at + duration + RECOVERY_MS))

    def on_instance_draining(self, instance: str, now: Millis) -> None:
        """Note that the store has taken an instance's leaving."""
        self._draining_at_by_instance[instance] = now

    def on_configuration_written(self, service: str, now: Millis) -> None:
        """Note that the store has taken a configuration that sends bookings there."""
        self._configurations.append((now, service))

    def on_request_sent(self, request: str, vm: Address, now: Millis) -> None:
        """Note when a caller sent a request to a VM."""
        self._sent_by_request[request] = vm, now

    def on_vm_stop(self, vm: Address, now: Millis) -> None:
        """Note a planned stop of a VM."""
        self._stopped_at_by_vm[vm] = now

    def on_vm_fault(self, vm: Address, begins_at: Millis, duration: Millis) -> None:
        """Leave out the time for which a VM is killed or paused."""
        span = begins_at, begins_at + duration + RECOVERY_MS
        self._fault_spans_by_vm.setdefault(vm, []).append(span)

    def on_execution(
        self, request: str, instance: str, service: str, now: Millis
    ) -> None:
        """Check an arrival at an instance."""
        if request not in self._sent_by_request:
            return
        vm, sent_at = self._sent_by_request[request]
        draining_at = self._draining_at_by_instance.get(instance)
        if draining_at is not None and sent_at > draining_at + DRAIN_TIMEOUT_MS:
            text = f"{request} reached {instance}, which leaves"
            self._add_finding(vm, draining_at, now, text)
        if not request.startswith("b"):
            return
        allowed = self._allowed_services(sent_at)
        if allowed and service not in allowed:
            text = f"{request} went to {service} by an old configuration"
            self._add_finding(vm, sent_at - APPLY_MS, now, text)

    def on_connection_lost(self, request: str, now: Millis) -> None:
        """Check a connection that ended without an answer."""
        vm, sent_at = self._sent_by_request[request]
        stopped_at = self._stopped_at_by_vm.get(vm, math.inf)
        if sent_at < stopped_at + STOP_ACCEPT_MS and stopped_at <= now:
            text = f"{request} was cut by the planned stop of {vm[0]}"
            self._add_finding(vm, sent_at, now, text)

    def _allowed_services(self, sent_at: Millis) -> set[str]:
        """Return the services that may run a booking sent at a time."""
        old = [s for at, s in self._configurations if at <= sent_at - APPLY_MS]
        newer = [s for at, s in self._configurations if at > sent_at - APPLY_MS]
        return {*old[-1:], *newer} if old else set()

    def _add_finding(
        self, vm: Address, begins_at: Millis, ends_at: Millis, text: str
    ) -> None:
        spans = self._store_fault_spans + self._fault_spans_by_vm.get(vm, [])
        if not any(first <= ends_at and begins_at <= last for first, last in spans):
            self._findings.append(text)
