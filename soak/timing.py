"""Timing checks of the soak.

They cover draining instances, configuration changes, graceful shutdowns and the request
limits of instances.

A violation is ignored if it overlaps a fault that may have caused it: a failing or
unreachable store, or a killed or paused VM that received the request.
"""

import math
from typing import NamedTuple

from galenaferry.clock import Millis

from .cuts import Address, Cuts

DRAIN_TIMEOUT_MS = 2_000.0
"""Time after which a draining instance gets no new requests (``drainTimeoutMs`` of the
node file)."""
APPLY_MS = 2_000.0
"""Time after which every VM must route by a new configuration (users' requirement)."""
RECOVERY_MS = 4_000.0
"""Time for which effects of an ended fault are excused: a VM calls a failed store again
within 3 s, and starts or catches up within 1 s."""
VM_RESTART_MS = 7_000.0
"""Time after the start of a graceful shutdown at which a VM is started again."""
STOP_ACCEPT_MS = 2_500.0
"""Time for which a stopping VM accepts requests; it completes them within its grace
period of 6 s."""


ROUTE_TIMEOUT_MS = 2_000.0
"""Timeout of the routes, at which a VM cuts off a response that has no end."""
LIMIT_GRACE_MS = 3_000.0
"""Time after an instance first named a limit from which the fleet must keep it."""
LIMIT_TOLD_MS = 500.0
"""Time after passing on a limit from which the requests of a VM count."""
LIMIT_WINDOW_MS = 4_000.0


class NamedLimit(NamedTuple):
    """Limit of an instance since it was last undisturbed.

    ``told_at_by_vm`` is when each VM first passed on a response that named it, and
    ``arrivals`` the times of the requests that count.
    """

    first_named_at: Millis
    told_at_by_vm: dict[Address, Millis]
    arrivals: list[Millis]

    def count(self, vm: Address, now: Millis) -> int:
        """Count a request of a VM; return how many count in the window until now."""
        told_at = self.told_at_by_vm.get(vm, math.inf)
        if now < self.first_named_at + LIMIT_GRACE_MS or now < told_at + LIMIT_TOLD_MS:
            return 0
        self.arrivals.append(now)
        return sum(at > now - LIMIT_WINDOW_MS for at in self.arrivals)


class TimingChecks:
    """Events of one run and the violations that they show.

    Violations are appended to ``findings``. Requests are given by their ids; those of
    bookings start with ``b``.
    """

    def __init__(self, findings: list[str]) -> None:
        self._findings = findings
        self.cuts: Cuts | None = None
        self._store_fault_spans: list[tuple[Millis, Millis]] = []
        self._draining_at_by_instance: dict[str, Millis] = {}
        self._configurations: list[tuple[Millis, str]] = []
        self._sent_by_request: dict[str, tuple[Address, Millis]] = {}
        self._fault_spans_by_vm: dict[Address, list[tuple[Millis, Millis]]] = {}
        self._stopped_at_by_vm: dict[Address, Millis] = {}
        self._endless_requests: set[str] = set()
        self._leaving_told_at: dict[tuple[Address, str], Millis] = {}
        self._responding_instance_by_request: dict[str, str] = {}
        self._named_limit_by_instance: dict[str, NamedLimit] = {}
        self._limit_by_instance: dict[str, float] = {}
        self._crashed_at_by_instance: dict[str, Millis] = {}

    def on_store_fault(self, begins_at: Millis, duration: Millis) -> None:
        """Excuse all violations during a store fault and the recovery from it."""
        self._store_fault_spans.append((begins_at, begins_at + duration + RECOVERY_MS))

    def on_instance_draining(self, instance: str, now: Millis) -> None:
        """Record that the store holds the draining state of an instance."""
        self._draining_at_by_instance[instance] = now

    def on_configuration_written(self, service: str, now: Millis) -> None:
        """Record that the store holds a configuration with bookings at a service."""
        self._configurations.append((now, service))

    def sent(self, request: str) -> tuple[Address, Millis] | None:
        """Return the VM that a request was sent to, and when."""
        return self._sent_by_request.get(request)

    def is_vm_disturbed(self, request: str) -> bool:
        """Whether a fault or a planned stop has hit the VM of a request."""
        vm, sent_at = self._sent_by_request[request]
        spans = self._fault_spans_by_vm.get(vm, [])
        is_hit = any(last >= sent_at for _, last in spans)
        return is_hit or vm in self._stopped_at_by_vm

    def is_in_touch(self, vm: Address, now: Millis) -> bool:
        """Whether neither a fault nor a planned stop affects a VM now."""
        spans = self._fault_spans_by_vm.get(vm, [])
        stopped_at = self._stopped_at_by_vm.get(vm, -math.inf)
        is_back = now > stopped_at + VM_RESTART_MS + RECOVERY_MS
        return is_back and not any(first <= now <= last for first, last in spans)

    def on_request_sent(self, request: str, vm: Address, now: Millis) -> None:
        """Record when a caller sent a request to a VM."""
        self._sent_by_request[request] = vm, now
        if self.cuts is not None:
            self.cuts.on_sent(request, vm, now, self.is_in_touch)

    def on_vm_stop(self, vm: Address, now: Millis) -> None:
        """Record the start of a VM's graceful shutdown."""
        self._stopped_at_by_vm[vm] = now
        self._forget_announcements_to(vm)

    def on_vm_fault(self, vm: Address, begins_at: Millis, duration: Millis) -> None:
        """Excuse violations of a VM while it is killed or paused and recovers."""
        span = begins_at, begins_at + duration + RECOVERY_MS
        self._fault_spans_by_vm.setdefault(vm, []).append(span)
        self._forget_announcements_to(vm)

    def on_instance_crash(self, instance: str, now: Millis) -> None:
        """Record that an instance broke off all of its responses.

        Started again, it has announced nothing: VMs tell its starts apart by its row's
        ``born``.
        """
        self._crashed_at_by_instance[instance] = now
        for key in [key for key in self._leaving_told_at if key[1] == instance]:
            del self._leaving_told_at[key]
        self.on_limit_disturbed(instance)

    def on_limit_disturbed(self, instance: str) -> None:
        """Check the limit of an instance anew: it ended, or its link has a fault."""
        self._named_limit_by_instance.pop(instance, None)

    def on_limit_named(
        self, request: str, instance: str, limit: float, now: Millis
    ) -> None:
        """Record that an instance names a limit in the response to a request."""
        if request not in self._sent_by_request:
            return
        self._named_limit_by_instance.setdefault(instance, NamedLimit(now, {}, []))
        self._limit_by_instance[instance] = limit

    def on_arrival(self, request: str, instance: str, now: Millis) -> None:
        """Check that a request keeps to the limit of the instance that it reached."""
        named = self._named_limit_by_instance.get(instance)
        if named is None or request not in self._sent_by_request:
            return
        vm, _ = self._sent_by_request[request]
        limit = self._limit_by_instance[instance]
        count = named.count(vm, now)
        if count > 1.5 * limit * LIMIT_WINDOW_MS / 1000.0 + 5.0:
            text = (
                f"{instance} got {count} requests with a limit of {limit:.1f} a second"
            )
            self.add_finding(vm, now - LIMIT_WINDOW_MS, now, text)

    def on_answer_passed_on(
        self, request: str, names_limit: bool, names_leaving: bool, now: Millis
    ) -> None:
        """Record that a VM passed on what the instance of a request announced."""
        instance = self._responding_instance_by_request.get(request)
        if instance is None:
            return
        vm, _ = self._sent_by_request[request]
        named = self._named_limit_by_instance.get(instance)
        if names_limit and named is not None:
            named.told_at_by_vm.setdefault(vm, now)
        if names_leaving:
            self._leaving_told_at.setdefault((vm, instance), now)

    def _forget_announcements_to(self, vm: Address) -> None:
        for key in [key for key in self._leaving_told_at if key[0] == vm]:
            del self._leaving_told_at[key]
        for named in self._named_limit_by_instance.values():
            named.told_at_by_vm.pop(vm, None)

    def on_execution(
        self, request: str, instance: str, service: str, now: Millis
    ) -> None:
        """Check that the instance and the service may still run the request."""
        if request not in self._sent_by_request:
            return
        self._responding_instance_by_request[request] = instance
        vm, sent_at = self._sent_by_request[request]
        draining_at = self._draining_at_by_instance.get(instance)
        if draining_at is not None and sent_at > draining_at + DRAIN_TIMEOUT_MS:
            text = f"{request} reached {instance}, which leaves"
            self.add_finding(vm, draining_at, now, text)
        told_at = self._leaving_told_at.get((vm, instance), math.inf)
        if sent_at > told_at + DRAIN_TIMEOUT_MS:
            # Disturbances of the store don't excuse a VM that was told.
            self._findings.append(f"{request} reached {instance}, which said it leaves")
        if not request.startswith("b"):
            return
        allowed = self._allowed_services(sent_at)
        if allowed and service not in allowed:
            text = f"{request} went to {service} by an old configuration"
            self.add_finding(vm, sent_at - APPLY_MS, now, text)

    def on_endless_response(self, request: str) -> None:
        """Record that the response to a request has no end."""
        self._endless_requests.add(request)

    def on_connection_lost(self, request: str, now: Millis) -> None:
        """Check that a connection without a response did not end by a shutdown."""
        vm, sent_at = self._sent_by_request[request]
        if request in self._endless_requests and now >= sent_at + ROUTE_TIMEOUT_MS:
            return
        instance = self._responding_instance_by_request.get(request, "")
        if self._crashed_at_by_instance.get(instance, -math.inf) >= sent_at:
            return
        stopped_at = self._stopped_at_by_vm.get(vm, math.inf)
        if sent_at < stopped_at + STOP_ACCEPT_MS and stopped_at <= now:
            text = f"{request} was cut by the graceful shutdown of {vm[0]}"
            self.add_finding(vm, sent_at, now, text)

    def _allowed_services(self, sent_at: Millis) -> set[str]:
        """Return the services that may run a booking sent at a time.

        These are the service of the newest configuration that every VM must apply by
        then, and those of all later ones. Empty, for no check, if there is no such
        configuration yet.
        """
        old = [s for at, s in self._configurations if at <= sent_at - APPLY_MS]
        newer = [s for at, s in self._configurations if at > sent_at - APPLY_MS]
        return {*old[-1:], *newer} if old else set()

    def add_finding(
        self, vm: Address, begins_at: Millis, ends_at: Millis, text: str
    ) -> None:
        """Add a finding unless a fault of the store or the VM overlaps its span."""
        spans = self._store_fault_spans + self._fault_spans_by_vm.get(vm, [])
        if not any(first <= ends_at and begins_at <= last for first, last in spans):
            self._findings.append(text)
