"""Correctness of answers, success rate, latency and load of the request path.

The request paths of many VMs run in one process, on one event loop and a fake
clock, with real sockets on the loopback and stand-ins for backend servers.
"plain" is the baseline: round robin and three retries, without concurrency
windows or a retry budget. "fleet" is the production request path. Times are in
milliseconds of the fake clock.
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
# Polls in a row without a ready socket before the fake clock advances by 1 ms.
IDLE_POLLS_PER_STEP = 2


class EqualWeights:
    """Health source that gives full traffic to every instance."""

    def service_health(self, service, instances, policy):
        return ServiceHealth({i.address: 1.0 for i in instances}, frozenset())


class NullObserver:
    def observe(self, *arguments):
        return


class RoundRobinDirectory(InstanceDirectory):
    """Baseline that goes round robin over all instances, whatever their load.

    All VMs of the process share one position.
    """

    position = 0

    def choose(self, criteria, share, may_borrow):
        instances = self.by_service.get(criteria.service, ())
        for _ in instances:
            RoundRobinDirectory.position += 1
            instance = instances[RoundRobinDirectory.position % len(instances)]
            if instance.address not in criteria.tried:
                return Chosen(instance)
        return NoInstance()


class UnlimitedBudget(RetryBudget):
    def try_spend(self):
        return True


class UnlimitedBudgets:
    """Budgets of the baseline, which retries without a limit."""

    def retry(self, service):
        return UnlimitedBudget()

    shed = retry


class RequestSimulation:
    """VMs, backend servers and callers on one event loop.

    Parameters
    ----------
    vm_count : int
    modes : list of BackendMode
        Behaviour of each backend server.
    settings : dict of str by str
        Defaults section of the configuration.
    is_baseline : bool
        Replace the choice of instances and the retry budget by those of the baseline.
    seed : int
    """

    def __init__(self, vm_count, modes, settings, is_baseline=False, seed=1):
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
        for number in range(vm_count):
            zone = ZONES[number % 3]
            directory_type = RoundRobinDirectory if is_baseline else InstanceDirectory
            directory = directory_type(
                self.loop, zone, EqualWeights(), Random(seed + number)
            )
            directory.replace_instances(instances)
            directory.live_vm_count = vm_count
            all_vms = tuple(Vm(f"vm{n}", ZONES[n % 3]) for n in range(vm_count))
            directory.set_live_vms(all_vms[number], all_vms)
            context = RequestContext(
                self.loop,
                directory,
                RouteTable(configuration, zone),
                NullObserver(),
                Random(seed + number),
            )
            if is_baseline:
                context.budgets = UnlimitedBudgets()
            self.contexts.append(context)
            self.components.append(RequestsComponent(context, (LOOPBACK, 0)))
        self.results: dict[str, FetchResult] = {}
        self.latencies: list[float] = []

    def send(self, number: int, method: str) -> None:
        """Send a request through a random VM; its result goes to ``results``."""
        component = self.components[self.random.randrange(len(self.components))]
        booking_id = f"b{number}"
        started_at = self.clock.now()
        request = FetchRequest(
            (LOOPBACK, component.port),
            method,
            f"/{SERVICE}/slots/{number}",
            ((b"x-booking-id", booking_id.encode()),),
            timeout=60_000.0,
        )

        def on_result(result: FetchResult) -> None:
            self.results[booking_id] = result
            self.latencies.append(self.clock.now() - started_at)

        fetch(self.loop, request, on_result)

    def run(self, count: int, rate: float, method: str, on_each_second=None) -> None:
        """Send ``count`` requests at Poisson times and wait for all results.

        ``rate`` is in requests per second of the fake clock.
        """
        next_request_at = self.clock.now()
        sent = 0
        idle_polls = 0
        next_second_at = self.clock.now()
        while len(self.results) < count:
            while sent < count and next_request_at <= self.clock.now():
                self.send(sent, method)
                sent += 1
                next_request_at += self.random.expovariate(rate) * 1000.0
            if on_each_second and self.clock.now() >= next_second_at:
                next_second_at += 1000.0
                on_each_second(self)
            idle_polls = 0 if self.loop.poll(0.0) else idle_polls + 1
            if idle_polls >= IDLE_POLLS_PER_STEP:
                self.clock.advance(1.0)
                idle_polls = 0

    def executions_by_id(self) -> dict[str, int]:
        """Return how often each booking was executed, over all backend servers."""
        total_by_id: dict[str, int] = {}
        for backend in self.backends:
            for booking_id, count in backend.state.counters.executions_by_id.items():
                total_by_id[booking_id] = total_by_id.get(booking_id, 0) + count
        return total_by_id

    def backend_attempt_count(self) -> int:
        """Return the number of attempts that backend servers executed or shed."""
        return sum(
            backend.state.counters.executed + backend.state.counters.shed
            for backend in self.backends
        )


def reported_outcome(result: FetchResult) -> str:
    """Return the outcome that the answer states: ok, not-run, unknown or broken.

    "broken" means that there was no complete answer. An error without the header
    that states the outcome is unknown.
    """
    if result.is_err():
        return "broken"
    response = result.ok_value
    for name, value in response.headers:
        if name == b"galenaferry-ran":
            return value.decode()
    return "ok" if response.status == 200 else "unknown"


def inject_faults(simulation: RequestSimulation) -> None:
    """Silence a random backend server's open connections and let a random one drain.

    Called once a second of the fake clock. Silent connections stay open and give no
    more answers; new ones work. A draining server refuses all requests as not
    executed, until the next call.
    """
    random = simulation.random
    random.choice(simulation.backends).stop_reading_open_connections()
    for backend in simulation.backends:
        backend.state.mode.is_draining = False
    random.choice(simulation.backends).state.mode.is_draining = True


def print_answer_correctness(count: int, vm_count: int) -> None:
    """Print how often answers contradict the executions, under many faults at once."""
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
    simulation = RequestSimulation(vm_count, modes, settings)
    simulation.backends[5].listener.close()
    started = time.monotonic()
    simulation.run(count, 2500.0, "POST", inject_faults)
    executions_by_id = simulation.executions_by_id()
    outcome_by_id = {
        booking_id: reported_outcome(result)
        for booking_id, result in simulation.results.items()
    }
    count_by_outcome = dict.fromkeys(("ok", "not-run", "unknown", "broken"), 0)
    for outcome in outcome_by_id.values():
        count_by_outcome[outcome] += 1
    duplicate_count = sum(
        1 for executions in executions_by_id.values() if executions > 1
    )
    false_ok_count = sum(
        1
        for booking_id, outcome in outcome_by_id.items()
        if outcome == "ok" and booking_id not in executions_by_id
    )
    false_not_run_count = sum(
        1
        for booking_id, outcome in outcome_by_id.items()
        if outcome == "not-run" and booking_id in executions_by_id
    )
    print(
        f"{count} bookings through {vm_count} VMs, 16 instances, 2% errors, 2% resets,"
        " 1% each silent, truncated, garbled; sheds, one instance unreachable, one"
        " draining, silent connections each second (seed 1)"
    )
    print(
        f"  run twice {duplicate_count}, answered and not run {false_ok_count},"
        f" told not-run and run {false_not_run_count};"
        f" {count_by_outcome['ok']} ok, {count_by_outcome['not-run']} not-run,"
        f" {count_by_outcome['unknown'] + count_by_outcome['broken']} unknown or cut"
        f" ({(count_by_outcome['unknown'] + count_by_outcome['broken']) / count:.2%});"
        f" {time.monotonic() - started:.0f} s"
    )
    sys.stdout.flush()


def print_load(vm_count: int, seconds: float) -> None:
    """Print success and latency at several fractions of the slots' capacity."""
    print(
        f"\n{vm_count} VMs, {WORK_MS:.0f} ms of work, {seconds:.0f} s, queries;"
        " load = attempts at backend servers a request"
    )
    print("size           part  policy   success  median     99%  load  other zone")
    for customer, instance_count in (("Nevada Andina", 16), ("Khangai", 19)):
        for load_fraction in (0.5, 0.9, 1.2):
            for is_baseline in (False, True):
                print_load_row(
                    customer,
                    instance_count,
                    load_fraction,
                    is_baseline,
                    vm_count,
                    seconds,
                )


def print_load_row(
    customer, instance_count, load_fraction, is_baseline, vm_count, seconds
) -> None:
    modes = [BackendMode(work_ms=WORK_MS, slots=SLOTS) for _ in range(instance_count)]
    settings = {"max_attempts": "4"} if is_baseline else {}
    simulation = RequestSimulation(vm_count, modes, settings, is_baseline)
    rate = instance_count * SLOTS / (WORK_MS / 1000.0) * load_fraction
    request_count = int(rate * seconds)
    simulation.run(request_count, rate, "GET")
    ok_count = sum(
        1 for result in simulation.results.values() if reported_outcome(result) == "ok"
    )
    latencies = sorted(simulation.latencies)
    remote_zone_count = sum(
        context.counters.remote_zone for context in simulation.contexts
    )
    print(
        f"{customer:14} {load_fraction:4.0%}  {'plain' if is_baseline else 'fleet':7}"
        f" {ok_count / request_count:8.2%} {latencies[request_count // 2]:7.0f}"
        f" {latencies[int(0.99 * request_count)]:7.0f}"
        f" {simulation.backend_attempt_count() / request_count:5.2f}"
        f" {remote_zone_count / request_count:7.0%}"
    )
    sys.stdout.flush()


def print_total_failure(vm_count: int, request_count: int) -> None:
    """Print the attempts per request while every backend server always fails."""
    for is_baseline in (False, True):
        modes = [BackendMode(error_part=1.0, work_ms=5.0) for _ in range(16)]
        settings = {"max_attempts": "4"} if is_baseline else {}
        simulation = RequestSimulation(vm_count, modes, settings, is_baseline)
        simulation.run(request_count, 2000.0, "GET")
        policy = "plain" if is_baseline else "fleet"
        print(
            f"everything fails, {policy}: load"
            f" {simulation.backend_attempt_count() / request_count:.3f}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bookings", type=int, default=100_000)
    parser.add_argument("--vms", type=int, default=40)
    parser.add_argument("--failing", type=int, default=20_000)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--part", choices=("truth", "load", "all"), default="all")
    arguments = parser.parse_args()
    if arguments.part in ("truth", "all"):
        print_answer_correctness(arguments.bookings, arguments.vms)
    if arguments.part == "truth":
        return
    print_load(arguments.vms, arguments.seconds)
    print_total_failure(arguments.vms, arguments.failing)


if __name__ == "__main__":
    main()
