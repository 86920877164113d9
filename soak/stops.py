"""A run of planned stops alone, with callers that send late in the grace of a VM."""

import signal
from collections import Counter
from typing import NamedTuple

from galenaferry.clock import Millis

from .connections import ClientConnection
from .fleet import Vm
from .instances import SLOW_PREFIX, SLOW_WORK_MS
from .run import REQUEST_INTERVAL_MS, WARM_UP_MS, Soak
from .timing import VM_RESTART_MS

SLOW_INTERVAL_MS = 60.0
"""Interval of the slow requests from which VMs learn how long these take."""
LEARNING_MS = 8_000.0
STOP_INTERVAL_MS = 2_000.0
LATE_REQUESTS = 16
"""Requests that are sent late to each VM that stops."""
EXCUSED_SEND_MS = 3_000.0
"""Time after the signal up to which a request may be cut that an instance still works
on at ``EXCUSED_WORK_MS``."""
EXCUSED_WORK_MS = 5_000.0
REFUSED_WITHIN_MS = 1_000.0
"""Time in which a request that comes too late is refused."""
BODY = b"0123456789"


class LateRequest(NamedTuple):
    """Times of one request in ms after the signal; it ends at ``sent_at``."""

    connect_at: Millis
    head_at: Millis
    sent_at: Millis


class PlannedStops(Soak):
    """Stops VMs one after the other, several at a time, without any other fault."""

    def stop_vms(self, seconds: float) -> None:
        """Stop VMs under load for ``seconds``, then check as after other runs."""
        self.late_outcomes: Counter[str] = Counter()
        self._late_count = 0
        self._stopped_at_by_request: dict[str, Millis] = {}
        self._sent_at_by_request: dict[str, Millis] = {}
        self._outcome_by_request: dict[str, str] = {}
        self._run_loop_for(WARM_UP_MS)
        self._send_for(LEARNING_MS)
        ends_at = self.loop.clock.now() + seconds * 1_000.0
        while self.loop.clock.now() < ends_at:
            serving = [vm for vm in self.vms if vm.is_serving]
            if len(serving) > 1:
                self._stop_vm(self.random.choice(serving))
            self._send_for(STOP_INTERVAL_MS * (0.5 + self.random.random()))
        self._end_and_check()
        self._check_late_requests()
        print(f"  late requests {dict(sorted(self.late_outcomes.items()))}")

    def _send_for(self, duration: Millis) -> None:
        ends_at = self.loop.clock.now() + duration
        next_slow = self.loop.clock.now()
        while self.loop.clock.now() < ends_at:
            if self.loop.clock.now() >= next_slow:
                next_slow += SLOW_INTERVAL_MS
                self.callers.send_slow_request()
            self.callers.send_request()
            self._run_loop_for(REQUEST_INTERVAL_MS)

    def _stop_vm(self, vm: Vm) -> None:
        for late in self._plan_late_requests():
            self._send_late(vm, late)
        self._signal_vm(vm, signal.SIGTERM, VM_RESTART_MS)

    def _plan_late_requests(self) -> list[LateRequest]:
        draw = self.random.uniform
        plans = []
        for number in range(LATE_REQUESTS):
            if number % 2:
                # A connection that is accepted just before the listener closes.
                connect_at = draw(2_000.0, 2_900.0)
                head_at = connect_at + draw(0.0, 900.0)
                plans.append(LateRequest(connect_at, head_at, head_at))
            else:
                head_at = draw(10.0, 2_000.0)
                plans.append(LateRequest(0.0, head_at, head_at + draw(0.0, 4_500.0)))
        return plans

    def _send_late(self, vm: Vm, late: LateRequest) -> None:
        self._late_count += 1
        kind = "b" if self._late_count % 4 < 2 else "q"
        request = f"{kind}late{self._late_count}"
        stopped_at = self._stopped_at_by_request[request] = self.loop.clock.now()
        self._sent_at_by_request[request] = stopped_at + late.sent_at
        has_body = late.sent_at > late.head_at
        length = len(BODY) if has_body else 0
        method = "POST" if kind == "b" else "GET"
        head = (
            f"{method} {SLOW_PREFIX}{kind}/{request} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Galenaferry-Request-Id: {request}\r\nContent-Length: {length}\r\n"
            "Galenaferry-Request-Deadline-Ms: 9000\r\n\r\n"
        ).encode()

        def begin() -> None:
            connection = ClientConnection(
                self.loop,
                vm.front_address,
                lambda connection, reason: self._on_late(request, connection, reason),
            )
            first, rest = (head + BODY[:5], BODY[5:]) if has_body else (head, b"")
            wait = late.head_at - late.connect_at
            self.loop.after(wait, lambda: connection.send(first))
            wait = late.sent_at - late.connect_at
            self.loop.after(wait, lambda: connection.stream.write(rest))

        self.loop.after(late.connect_at, begin)

    def _on_late(self, request: str, connection: ClientConnection, reason: str) -> None:
        outcome = "closed"
        if not reason and connection.head is not None:
            outcome = str(connection.head.status)
            took = self.loop.clock.now() - self._sent_at_by_request[request]
            if outcome == "503" and took > REFUSED_WITHIN_MS and self._is_timed:
                self.record.findings.append(
                    f"{request} was refused after {took:.0f} ms"
                )
        self._outcome_by_request[request] = outcome
        self.late_outcomes[outcome] += 1
        connection.stream.close()

    def _check_late_requests(self) -> None:
        """Check that each request that ran was answered, and none that was refused."""
        for request, outcome in self._outcome_by_request.items():
            runs = self.record.runs_by_request[request]
            if runs and outcome == "503":
                text = f"{request} ran and was said not to have"
                self.record.findings.append(text)
            was_cut = runs and outcome == "closed" and self._is_timed
            if was_cut and not self._is_excused(request):
                self.record.findings.append(f"{request} ran and was cut")

    def _is_excused(self, request: str) -> bool:
        stopped_at = self._stopped_at_by_request[request]
        ended_at = self.record.started_at_by_request[request] + SLOW_WORK_MS
        was_sent_early = (
            self._sent_at_by_request[request] <= stopped_at + EXCUSED_SEND_MS
        )
        return was_sent_early and ended_at > stopped_at + EXCUSED_WORK_MS
