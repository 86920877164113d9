"""Builders of VMs that are stopped while callers still send, and of such callers."""

import socket
from typing import NamedTuple

from circuits import Component

from galenaferry.drain.component import DrainComponent
from galenaferry.network.stream import Stream
from galenaferry.node.component import BALANCER_DETECTION_MS, STOP_MARGIN_MS
from galenaferry.tests.fleet import HOST, Fleet, Request

GRACE_MS = 6_000.0
"""Time from the signal until the process is killed."""
LAST_EXCUSED_SEND_MS = 3_000.0
"""Time after the signal up to which a request may be cut at the end of the grace."""
EXCUSED_WORK_FROM_MS = GRACE_MS * 5.0 / 6.0
"""Time after the signal at which an instance must still work on an excused request."""


class Root(Component):
    """Root component of a VM that ends with all of its connections."""

    def __init__(self, vm):
        super().__init__()
        self.vm = vm
        self.stopped_at = None

    def stop(self, code=None):
        self.stopped_at = self.stopped_at or self.vm.fleet.clock.now()
        for component in (self.vm.component, self.vm.relay):
            for caller in list(component._callers):
                caller.close()


class StoppingVm:
    """A VM of a fleet that can be stopped as the platform does."""

    def __init__(self, vm):
        self.vm = vm
        self.signalled_at = None
        self.cut_ids = []
        self.root = Root(vm)
        self.drain = DrainComponent(
            vm.fleet.loop,
            BALANCER_DETECTION_MS,
            lambda: vm.component.unfinished_count + vm.relay.unfinished_count,
            self._on_announce,
            self._on_finish,
            GRACE_MS - BALANCER_DETECTION_MS - STOP_MARGIN_MS,
            self._on_check,
            self._cut_unanswered,
        ).register(self.root)

    def stop(self):
        self.signalled_at = self.vm.fleet.clock.now()
        self.drain.request_shutdown()

    def _on_announce(self):
        self.vm.begin_shutdown(self.drain.schedule)

    def _on_check(self):
        self.vm.component.refuse_late_starts()
        self.vm.relay.refuse_late_starts()

    def _cut_unanswered(self):
        self.cut_ids += self.vm.component.cut_unanswered()
        self.cut_ids += self.vm.relay.cut_unanswered()
        return self.cut_ids

    def _on_finish(self):
        self.vm.component.stop_accepting()
        self.vm.relay.stop_accepting()


class Plan(NamedTuple):
    """A request whose parts are sent at times in ms after the signal.

    ``connect_at`` is the time of the connection and ``head_at`` that of the head. The
    body, if there is one, ends at ``body_at``. ``ahead`` is the number of requests that
    follow on the same connection before its answer.
    """

    method: str
    connect_at: float
    head_at: float
    body_at: float | None = None
    ahead: int = 0


class PlannedRequest(Request):
    """A request that follows a plan."""

    def __init__(self, fleet, vm, target, plan, deadline_ms):
        self.is_proper = True
        self.fleet = fleet
        self.vm = vm
        self.target = target
        self.plan = plan
        self.answered_at = None
        self.status = 0
        self.received = b""
        self._deadline_ms = deadline_ms
        fleet.request_count += 1
        self.request_id = f"p{fleet.request_count}"
        fleet.loop.after(plan.connect_at, self._connect)

    @property
    def ran_at(self):
        """Times at which an instance got the request."""
        return [a.at for a in self.fleet.arrivals_of(self.target.encode())]

    def _connect(self):
        sock = socket.socket()
        try:
            sock.connect((HOST, self.vm.component.port))
        except OSError:
            sock.close()
            self.answered_at = self.fleet.clock.now()
            return
        sock.setblocking(False)
        self.stream = Stream(self.fleet.loop, sock, self, is_connecting=False)
        delay = self.plan.head_at - self.plan.connect_at
        self.fleet.loop.after(max(1.0, delay), self._send_head)

    def _send_head(self):
        self.sent_at = self.fleet.clock.now()
        length = 0 if self.plan.body_at is None else 10
        for number in range(self.plan.ahead + 1):
            self._write(
                f"{self.plan.method} {self.target} HTTP/1.1\r\nHost: a\r\n"
                f"Galenaferry-Request-Id: {self.request_id}-{number}\r\n"
                f"Galenaferry-Request-Deadline-Ms: {self._deadline_ms}\r\n"
                f"Content-Length: {length}\r\n\r\n".encode()
            )
        if length:
            self._write(b"first")
            delay = self.plan.body_at - self.plan.head_at
            self.fleet.loop.after(max(1.0, delay), self._end_body)

    def _end_body(self):
        self.sent_at = self.fleet.clock.now()
        self._write(b"after")

    def _write(self, data):
        if self.stream.is_open:
            self.stream.write(data)


class StopBench:
    """A fleet of which one VM is stopped while planned requests arrive at it."""

    def __init__(self, work_ms, vms=1, slots=4, deadline_ms=9_000, warm_up=20):
        self.fleet = Fleet(vms=vms, instances=8, work_ms=work_ms, slots=slots)
        self.vm = StoppingVm(self.fleet.vms[0])
        self._deadline_ms = deadline_ms
        self.requests = []
        self._learn_response_times(warm_up, work_ms)

    def _learn_response_times(self, count, work_ms):
        for number in range(count):
            self.fleet.get(f"/read/warm-{number}", vm=self.vm.vm)
            self.fleet.post(f"/book/warm-{number}", b"x", vm=self.vm.vm)
            self.fleet.run(work_ms / 4_000.0)
        self.fleet.run(2.0 * work_ms / 1_000.0)

    def play(self, plans, early=0.0):
        """Send the planned requests and stop the VM ``early`` ms after their start."""
        for number, plan in enumerate(plans):
            prefix = "read" if plan.method == "GET" else "book"
            target = f"/{prefix}/plan-{number}"
            shifted = plan._replace(
                connect_at=plan.connect_at + early,
                head_at=plan.head_at + early,
                body_at=None if plan.body_at is None else plan.body_at + early,
            )
            self.requests.append(
                PlannedRequest(
                    self.fleet, self.vm.vm, target, shifted, self._deadline_ms
                )
            )
        self.fleet.run(early / 1_000.0)
        self.vm.stop()
        self.fleet.run(GRACE_MS / 1_000.0 + 1.0)
        return self

    def ran(self):
        return [r for r in self.requests if r.ran_at]

    def with_status(self, status):
        return [r for r in self.requests if r.status == status]

    def lost(self):
        """Return the requests that an instance got and whose callers got no answer.

        One that was sent early enough, on which its instance still worked at the end of
        the grace, is excused.
        """
        return [r for r in self.cut() if not self._is_excused(r)]

    def _is_excused(self, request):
        signalled_at = self.vm.signalled_at
        finished_at = self.fleet.finished_at_by_target.get(request.target.encode())
        was_at_work = (
            finished_at is None or finished_at > signalled_at + EXCUSED_WORK_FROM_MS
        )
        return was_at_work and request.sent_at <= signalled_at + LAST_EXCUSED_SEND_MS

    def sick_probabilities(self):
        rows = self.vm.vm.placement.dump()["bookings"]
        return {name: row["sick"] for name, row in rows.items()}

    def cut(self):
        """Return all requests that an instance got and that were not answered."""
        return [r for r in self.ran() if not r.status]
