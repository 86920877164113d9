"""Simulated fleet of VMs before instances that limit their requests."""

from collections import defaultdict
from random import Random

from galenaferry.attempts.messages import Answered, Evidence
from galenaferry.backends.choice import Chosen
from galenaferry.backends.messages import Instance, SelectionCriteria
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.framing.messages import ResponseHead
from galenaferry.network.loop import Loop
from galenaferry.placing.component import Placement
from galenaferry.placing.settings import PlacementSettings
from galenaferry.platform.headers import HEADER_NAMES
from galenaferry.requests.announcements import record_announcements

ZONES = ("north", "south", "west")
STEP_MS = 5.0
WORK_MS = 450.0
MESSAGE_DELAY_MS = 30.0
GRACE_MS = 3_000.0
"""Time after an instance first named a limit from which it must be kept."""
TOLD_MS = 500.0
"""Time after passing on a limit from which the requests of a VM count."""
WINDOW_MS = 4_000.0


class LimitedFleet:
    """Placements of a fleet, with requests to one service at random VMs.

    ``loss`` is the share of the messages between VMs that are lost, and ``rate`` the
    number of requests per second of the whole fleet.
    """

    def __init__(self, vms=44, instances=19, rate=70.0, loss=0.0, seed=1):
        self.random = Random(seed)
        self.clock = FakeClock(100_000.0)
        self.loop = Loop(self.clock)
        self.rate = rate
        self.loss = loss
        self.vms = [
            Vm(f"10.0.{number}.1:7000", ZONES[number % len(ZONES)])
            for number in range(vms)
        ]
        self.instances = [
            Instance(
                f"10.1.0.{number}:80",
                "bookings",
                ZONES[number % len(ZONES)],
                False,
                f"i-{number}",
            )
            for number in range(instances)
        ]
        self.limit_by_id = {}
        self.failing_ids = set()
        self.arrivals = defaultdict(list)
        self.refused = 0
        self._told_at = {}
        self._first_named_at = {}
        self._due = 0.0
        self.placements = {}
        for vm in self.vms:
            self.start(vm)
        # A view settles before limits matter.
        self.run(4.0)

    def start(self, vm):
        """Start a VM, or start it again without what it knew."""
        placement = Placement(
            self.loop,
            PlacementSettings(vm.zone, 0.7),
            Random(self.random.random()),
            lambda outcomes: self._broadcast(vm, outcomes),
        )
        placement.replace_instances(self.instances)
        placement.set_live_vms(vm, tuple(sorted(self.vms)))
        self.placements[vm] = placement
        for key in [key for key in self._told_at if key[0] == vm]:
            del self._told_at[key]

    def stop(self, vm):
        """Stop a VM; the others go on counting it as live."""
        del self.placements[vm]

    def list_instances(self, instances):
        """Give all VMs a new list of instances."""
        for placement in self.placements.values():
            placement.replace_instances(instances)

    def set_views(self, view_of):
        """Give each VM the live VMs that ``view_of`` returns for it."""
        for vm, placement in self.placements.items():
            placement.set_live_vms(vm, tuple(sorted({*view_of(vm), vm})))

    def run(self, seconds):
        """Send requests for some seconds."""
        ends_at = self.clock.now() + seconds * 1000.0
        while self.clock.now() < ends_at:
            self._due += self.rate * STEP_MS / 1000.0
            while self._due >= 1.0:
                self._due -= 1.0
                self._send_request(self.random.choice(list(self.placements)))
            self.clock.advance(STEP_MS)
            self.loop.poll(0.0)

    def arrived(self, number, seconds):
        """Return how many requests an instance got in the last seconds."""
        since = self.clock.now() - seconds * 1000.0
        return sum(at > since for at, _ in self.arrivals[f"i-{number}"])

    def excess(self, number):
        """Return the largest excess of requests over what a limit allows.

        Only requests count of VMs that had passed on the limit ``TOLD_MS`` before.
        """
        name = f"i-{number}"
        allowed = 1.5 * self.limit_by_id[name] * WINDOW_MS / 1000.0 + 5.0
        begins_at = self._first_named_at[name] + GRACE_MS
        times = [
            at for at, was_told in self.arrivals[name] if was_told and at >= begins_at
        ]
        counts = (sum(at <= other < at + WINDOW_MS for other in times) for at in times)
        return max(counts, default=0) - allowed

    def criteria(self):
        return SelectionCriteria("bookings", "r", DEFAULT_POLICY, frozenset(), False)

    def _send_request(self, vm):
        placement = self.placements[vm]
        share = placement.capacity_share(DEFAULT_POLICY)
        choice = placement.choose(self.criteria(), share, True)
        if not isinstance(choice, Chosen):
            self.refused += 1
            return
        instance, sent_at = choice.instance, self.clock.now()
        told_at = self._told_at.get((vm, instance.id))
        was_told = told_at is not None and told_at <= sent_at - TOLD_MS
        self.arrivals[instance.id].append((sent_at, was_told))
        self.loop.after(WORK_MS, lambda: self._respond(vm, instance, sent_at))

    def _respond(self, vm, instance, sent_at):
        placement = self.placements.get(vm)
        if placement is None:
            return
        limit = self.limit_by_id.get(instance.id)
        headers = ()
        if limit is not None:
            headers = ((HEADER_NAMES.request_limit, b"%.3f" % limit),)
            now = self.clock.now()
            self._told_at.setdefault((vm, instance.id), now)
            self._first_named_at.setdefault(instance.id, now)
        is_failing = instance.id in self.failing_ids
        head = ResponseHead(500 if is_failing else 200, b"", headers, 0)
        record_announcements(
            placement, HEADER_NAMES, instance, head, Answered(head.status), sent_at
        )
        evidence = Evidence.FAILURE if is_failing else Evidence.SUCCESS
        placement.observe("bookings", instance.address, "r", b"/", evidence, WORK_MS)

    def _broadcast(self, sender, outcomes):
        for vm in self.vms:
            if vm != sender and self.random.random() >= self.loss:
                self.loop.after(
                    MESSAGE_DELAY_MS,
                    lambda vm=vm: self._deliver(vm, sender, outcomes),
                )

    def _deliver(self, vm, sender, outcomes):
        if vm in self.placements:
            self.placements[vm].on_outcomes(sender.address, outcomes)
