"""Requests under load and faults: truth of the answers, success, latency, load.

The request paths of many VMs run in one process on one loop and a fake clock,
with real sockets on the loopback and stand-ins for backend servers. "plain" is
the baseline: round robin and three retries, without windows or a budget.
"""

import argparse
import sys
import time
from random import Random

from circuits import Component

from galenaferry.attempts.budget import RetryBudget
from galenaferry.backends.choice import Chosen, NoInstance
from galenaferry.backends.directory import InstanceDirectory, ServiceHealth
from galenaferry.backends.messages import Instance
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.compact import Configuration
from galenaferry.network.fetch import FetchRequest, FetchResult, fetch
from galenaferry.network.loop import Loop
from galenaferry.requests.component import RequestsComponent
from galenaferry.requests.context import RequestContext
from galenaferry.routing.table import RouteTable
from galenaferry.stand_ins.backend import BackendStandIn
from galenaferry.stand_ins.backend_state import BackendMode

LOOPBACK = "127.0.0.1"
ZONES = ("north", "middle", "south")
SERVICE = "bookings"
SLOTS = 6
WORK_MS = 50.0
QUIET_POLLS = 2


class EqualWeights:
    def service_health(self, service, instances, policy):
        return ServiceHealth({i.address: 1.0 for i in instances}, frozenset())


class NoObserver:
    def observe(self, *arguments):
        return


class PlainDirectory(InstanceDirectory):
    """Baseline: round robin over all instances, whatever their load."""

    turn = 0

    def choose(self, service, tried, policy, share, may_borrow, is_repeatable):
        instances = self.by_service.get(service, ())
        for _ in instances:
            PlainDirectory.turn += 1
            instance = instances[PlainDirectory.turn % len(instances)]
            if instance.address not in tried:
                return Chosen(instance)
        return NoInstance()


class NoBudget(RetryBudget):
    def try_spend(self):
        return True


class Field:
    """VMs, backend servers and callers on one loop."""

    def __init__(self, vms, modes, settings, is_plain=False, seed=1):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.loop.register(Component())
        self.random = Random(seed)
        self.backends = [
            BackendStandIn((LOOPBACK, 0), mode, seed=number, loop=self.loop)
            for number, mode in enumerate(modes)
        ]
        self.zone_by_address = {
            f"{LOOPBACK}:{backend.listener.port}": ZONES[number % 3]
            for number, backend in enumerate(self.backends)
        }
        instances = [
            Instance(address, SERVICE, zone, False)
            for address, zone in self.zone_by_address.items()
        ]
        configuration = Configuration({"defaults": settings})
        self.contexts = []
        self.components = []
        for number in range(vms):
            zone = ZONES[number % 3]
            kind = PlainDirectory if is_plain else InstanceDirectory
            directory = kind(self.loop, zone, EqualWeights(), Random(seed + number))
            directory.replace(instances)
            directory.live_vm_count = vms
            everyone = tuple(Vm(f"vm{n}", ZONES[n % 3]) for n in range(vms))
            directory.set_slot_owners(everyone[number], everyone)
            context = RequestContext(
                self.loop,
                directory,
                RouteTable(configuration, zone),
                NoObserver(),
                Random(seed + number),
            )
            if is_plain:
                context.budget_by_service[SERVICE] = NoBudget()
            self.contexts.append(context)
            self.components.append(RequestsComponent(context, (LOOPBACK, 0)))
        self.results: dict[str, FetchResult] = {}
        self.latencies: list[float] = []

    def send(self, number: int, method: str) -> None:
        component = self.components[self.random.randrange(len(self.components))]
        key = f"b{number}"
        begun = self.clock.now()
        request = FetchRequest(
            (LOOPBACK, component.port),
            method,
            f"/{SERVICE}/slots/{number}",
            ((b"x-booking-id", key.encode()),),
            timeout=60_000.0,
        )

        def done(result: FetchResult) -> None:
            self.results[key] = result
            self.latencies.append(self.clock.now() - begun)

        fetch(self.loop, request, done)

    def drive(self, count: int, rate: float, method: str, each_second=None) -> None:
        """Send ``count`` requests at Poisson times and wait for all answers."""
        due = self.clock.now()
        sent = 0
        quiet = 0
        next_second = self.clock.now()
        while len(self.results) < count:
            while sent < count and due <= self.clock.now():
                self.send(sent, method)
                sent += 1
                due += self.random.expovariate(rate) * 1000.0
            if each_second and self.clock.now() >= next_second:
                next_second += 1000.0
                each_second(self)
            quiet = 0 if self.loop.poll(0.0) else quiet + 1
            if quiet >= QUIET_POLLS:
                self.clock.advance(1.0)
                quiet = 0

    def executions(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for backend in self.backends:
            for key, number in backend.state.counters.executions_by_id.items():
                total[key] = total.get(key, 0) + number
        return total

    def offered(self) -> int:
        return sum(
            backend.state.counters.executed + backend.state.counters.shed
            for backend in self.backends
        )


def told(result: FetchResult) -> str:
    """Return what the caller was told: ok, not-run, unknown or broken."""
    if result.is_err():
        return "broken"
    response = result.ok_value
    for name, value in response.headers:
        if name == b"galenaferry-ran":
            return value.decode()
    return "ok" if response.status == 200 else "unknown"


def trouble(field: Field) -> None:
    """Each second: silence connections, drain one instance, cut one off."""
    random = field.random
    random.choice(field.backends).stop_reading_open_connections()
    for backend in field.backends:
        backend.state.mode.is_draining = False
    random.choice(field.backends).state.mode.is_draining = True


def print_truth(count: int, vms: int) -> None:
    """Bookings with every hazard mixed in."""
    modes = [
        BackendMode(
            error_part=0.02,
            reset_part=0.02,
            silent_part=0.01,
            truncate_part=0.01,
            garbage_part=0.01,
            work_ms=20.0,
            slots=SLOTS,
        )
        for _ in range(16)
    ]
    settings = {"attempt_timeout_ms": "300", "total_timeout_ms": "1500"}
    field = Field(vms, modes, settings)
    field.backends[5].listener.close()
    started = time.monotonic()
    field.drive(count, 2500.0, "POST", trouble)
    runs = field.executions()
    kinds = {key: told(result) for key, result in field.results.items()}
    totals = dict.fromkeys(("ok", "not-run", "unknown", "broken"), 0)
    for kind in kinds.values():
        totals[kind] += 1
    doubled = sum(1 for number in runs.values() if number > 1)
    lost = sum(1 for key, kind in kinds.items() if kind == "ok" and key not in runs)
    lied = sum(1 for key, kind in kinds.items() if kind == "not-run" and key in runs)
    print(
        f"{count} bookings through {vms} VMs, 16 instances, 2% errors, 2% resets, 1%"
        " each silent, truncated, garbled; sheds, one instance unreachable, one"
        " draining, silent connections each second (seed 1)"
    )
    print(
        f"  run twice {doubled}, answered and not run {lost}, told not-run and run"
        f" {lied}; {totals['ok']} ok, {totals['not-run']} not-run,"
        f" {totals['unknown'] + totals['broken']} unknown or cut"
        f" ({(totals['unknown'] + totals['broken']) / count:.2%});"
        f" {time.monotonic() - started:.0f} s"
    )
    sys.stdout.flush()


def print_load(vms: int, seconds: float) -> None:
    """Success and latency at parts of the slots' capacity."""
    print(
        f"\n{vms} VMs, {WORK_MS:.0f} ms of work, {seconds:.0f} s, queries;"
        " load = attempts at backend servers a request"
    )
    print("size           part  policy   success  median     99%  load  other zone")
    for customer, count in (("Nevada Andina", 16), ("Khangai", 19)):
        for part in (0.5, 0.9, 1.2):
            for is_plain in (False, True):
                print_load_row(customer, count, part, is_plain, vms, seconds)


def print_load_row(customer, count, part, is_plain, vms, seconds) -> None:
    modes = [BackendMode(work_ms=WORK_MS, slots=SLOTS) for _ in range(count)]
    settings = {"max_attempts": "4"} if is_plain else {}
    field = Field(vms, modes, settings, is_plain)
    rate = count * SLOTS / (WORK_MS / 1000.0) * part
    number = int(rate * seconds)
    field.drive(number, rate, "GET")
    good = sum(1 for result in field.results.values() if told(result) == "ok")
    latencies = sorted(field.latencies)
    far = sum(context.counters.remote_zone for context in field.contexts)
    print(
        f"{customer:14} {part:4.0%}  {'plain' if is_plain else 'fleet':7}"
        f" {good / number:8.2%} {latencies[number // 2]:7.0f}"
        f" {latencies[int(0.99 * number)]:7.0f} {field.offered() / number:5.2f}"
        f" {far / number:7.0%}"
    )
    sys.stdout.flush()


def print_total_failure(vms: int) -> None:
    """Everything fails: the load offered to backend servers."""
    for is_plain in (False, True):
        modes = [BackendMode(error_part=1.0, work_ms=5.0) for _ in range(16)]
        settings = {"max_attempts": "4"} if is_plain else {}
        field = Field(vms, modes, settings, is_plain)
        count = 20_000
        field.drive(count, 2000.0, "GET")
        name = "plain" if is_plain else "fleet"
        print(f"everything fails, {name}: load {field.offered() / count:.3f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bookings", type=int, default=100_000)
    parser.add_argument("--vms", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--part", choices=("truth", "load", "all"), default="all")
    arguments = parser.parse_args()
    if arguments.part in ("truth", "all"):
        print_truth(arguments.bookings, arguments.vms)
    if arguments.part == "truth":
        return
    print_load(arguments.vms, arguments.seconds)
    print_total_failure(arguments.vms)


if __name__ == "__main__":
    main()
