"""Run the soak: ``python -m soak --seed N --seconds S --vms V``."""

import argparse
import math
import signal
import socket
import sys
import tempfile
from pathlib import Path
from random import Random

from circuits import Component

from galenaferry.network.loop import Loop

from .callers import Callers
from .fleet import Vm
from .instances import MODES, Instance, Ledger
from .proxy import FAULTS as LINK_FAULTS
from .proxy import Proxy
from .store import Store

HARNESS = "127.0.0.1"
WARM_UP_MS = 4_000.0
SETTLE_MS = 9_000.0
LONGEST_SETTLE_MS = 60_000.0
FAULT_EVERY_MS = 400.0
REQUEST_EVERY_MS = 12.0
FIRST_PORT, LAST_PORT = 20_000, 29_000
BEHIND_PROXY = 10_000
STORE_FAULTS = ("refuse", "silent", "lose")


def find_free_ports() -> int:
    """Return the first of a hundred ports that no other run uses."""
    for port in range(FIRST_PORT, LAST_PORT, 100):
        with socket.socket() as probe:
            try:
                probe.bind((HARNESS, port + 6))
            except OSError:
                continue
            return port
    raise OSError("no free ports for the soak")


class Soak:
    """One seeded run of a fleet with a store, instances and callers."""

    def __init__(self, seed: int, vms: int, folder: Path, is_timed: bool) -> None:
        self.random = Random(seed)
        # With a store that fails all the time no time could be checked.
        self._has_store_faults = seed % 2 == 0
        self.root = Component()
        self.loop = Loop()
        self.loop.register(self.root)
        self.ledger = Ledger()
        if not is_timed:
            self.ledger.timing.on_fault(0.0, math.inf)
        self.faults: list[str] = []
        port = find_free_ports()
        self._next_port = port + 10
        self._version = 0
        self.store = Store(self.loop, (HARNESS, port + 6))
        self.instances: list[Instance] = []
        self.proxy_by_name: dict[str, Proxy] = {}
        for service in ("one", "one", "one", "two", "two", "two"):
            self._join(service)
        self._configure("one")
        way = (HARNESS, port + 5)
        self.proxy_by_name["store"] = Proxy(self.loop, way, (HARNESS, port + 6))
        address = f"{HARNESS}:{port + 5}"
        self.vms = [Vm(number, port, address, folder) for number in range(vms)]
        self.callers = Callers(
            self.loop, [vm.front for vm in self.vms], self.ledger, seed
        )

    def run(self, seconds: float) -> None:
        """Play faults for so long, then let all come back and check."""
        self._wait(WARM_UP_MS)
        ends_at = self.loop.clock.now() + seconds * 1000.0
        next_fault = self.loop.clock.now()
        while self.loop.clock.now() < ends_at:
            if self.loop.clock.now() >= next_fault:
                next_fault += FAULT_EVERY_MS * (0.5 + self.random.random())
                self._play_fault()
            self.callers.send_one()
            self._wait(REQUEST_EVERY_MS)
        self._recover()
        self._wait(SETTLE_MS)
        ends_at = self.loop.clock.now() + LONGEST_SETTLE_MS
        while self.callers.waiting and self.loop.clock.now() < ends_at:
            self._wait(REQUEST_EVERY_MS)
        self.callers.check_ledger()
        if self.callers.waiting:
            text = f"{self.callers.waiting} requests have no end"
            self.ledger.findings.append(text)

    def stop(self) -> None:
        """End the processes that this run started."""
        for vm in self.vms:
            vm.stop()

    def _wait(self, interval: float) -> None:
        ends_at = self.loop.clock.now() + interval
        while (left := ends_at - self.loop.clock.now()) > 0.0:
            self.loop.poll(left)

    def _play_fault(self) -> None:
        """Begin one fault or change; several overlap."""
        vm = self.random.choice(self.vms)
        instance = self.random.choice(self.instances)
        lasts = 500.0 + 2_500.0 * self.random.random()
        match self.random.randrange(11):
            case 0:
                self._signal(vm, signal.SIGKILL, lasts)
            case 1:
                self._signal(vm, signal.SIGTERM, 7_000.0)
            case 2:
                self._signal(vm, signal.SIGSTOP, lasts)
            case 3 if self._has_store_faults:
                self.store.fault = self.random.choice(STORE_FAULTS)
                self.faults.append(f"store {self.store.fault}")
                self.ledger.timing.on_fault(self.loop.clock.now(), lasts)
                self.loop.after(lasts, lambda: setattr(self.store, "fault", ""))
            case 4:
                self.faults.append("store loses its history")
                self.store.drop_history()
            case 5 | 6:
                instance.mode = self.random.choice(MODES[1:])
                self.faults.append(f"{instance.name} {instance.mode}")
                self.loop.after(lasts, lambda: setattr(instance, "mode", "well"))
            case 7:
                self._replace(instance)
            case 8 | 9:
                self._break_link(lasts)
            case 3 | 10:
                self._configure(self.random.choice(("one", "two")))

    def _signal(self, vm: Vm, number: signal.Signals, lasts: float) -> None:
        self.faults.append(f"vm-{vm.number} {number.name}")
        now = self.loop.clock.now()
        if number is signal.SIGTERM:
            if vm.is_serving:
                self.ledger.timing.on_stopped(vm.front, now)
        else:
            self.ledger.timing.on_broken(vm.front, now, lasts)
        vm.signal(number)
        if number is signal.SIGSTOP:
            self.loop.after(lasts, lambda: vm.signal(signal.SIGCONT))
        else:
            self.loop.after(lasts, vm.start)

    def _break_link(self, lasts: float) -> None:
        """Harm the way to an instance, or from all VMs to the store."""
        name, proxy = self.random.choice(sorted(self.proxy_by_name.items()))
        if name == "store" and not self._has_store_faults:
            return
        fault = self.random.choice(LINK_FAULTS)
        self.faults.append(f"link to {name} {fault}")
        if name == "store":
            self.ledger.timing.on_fault(self.loop.clock.now(), lasts)
        proxy.begin(fault)
        self.loop.after(lasts, proxy.end)

    def _replace(self, instance: Instance) -> None:
        """Let an instance drain and leave, and another one join."""
        self.faults.append(f"{instance.name} leaves")
        self.instances.remove(instance)
        self._join(instance.service)
        self.store.put("servers", instance.name, instance.entry("draining"))
        self.ledger.timing.on_leaving(instance.name, self.loop.clock.now())
        self.loop.after(2_500.0, lambda: self.store.put("servers", instance.name, None))
        self.loop.after(4_000.0, instance.close)

    def _join(self, service: str) -> None:
        self._next_port += 1
        name = f"i-{self._next_port}"
        address = (HARNESS, self._next_port)
        behind = (HARNESS, self._next_port + BEHIND_PROXY)
        self.proxy_by_name[name] = Proxy(self.loop, address, behind)
        instance = Instance(
            self.loop, name, service, (address, behind), self.ledger, self.random
        )
        self.instances.append(instance)
        self.store.put("servers", name, instance.entry("ready"))

    def _configure(self, service: str) -> None:
        """Write a configuration that leads bookings to a service."""
        self._version += self.random.randrange(1, 4)
        self.faults.append(f"configuration {self._version} to {service}")
        rows = [
            {"prefix": "/book/", "kind": "non_idempotent", "service": service},
            {"prefix": "/query/", "kind": "idempotent", "service": "one"},
        ]
        common = {"host": "soak.example", "timeoutMs": 2000, "targetLatencyMs": 200}
        common |= {"maxAttempts": 2, "priority": 1}
        routes = [
            row | common | {"name": f"r{number}"} for number, row in enumerate(rows)
        ]
        services = [
            {"name": name, "healthCheckPath": "/health", "maxConnections": 300}
            for name in ("one", "two")
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 65536}
        limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        document = {"version": f"{self._version:08x}", "routes": routes}
        document |= {"services": services, "limits": limits}
        self.store.put("op", "config", document)
        self.ledger.timing.on_configured(service, self.loop.clock.now())

    def _recover(self) -> None:
        self.store.fault = ""
        for proxy in self.proxy_by_name.values():
            proxy.end()
        for instance in self.instances:
            instance.mode = "well"
        for vm in self.vms:
            vm.signal(signal.SIGCONT)


def main() -> int:
    """Run one seed after the other; the exit code tells whether any had findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument(
        "--untimed", action="store_true", help="no checks that a busy machine may fail"
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        failed += not _run_seed(seed, options)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, options.vms, folder, not options.untimed)
    try:
        soak.run(options.seconds)
    finally:
        soak.stop()
    outcomes = dict(sorted(soak.callers.outcomes.items()))
    print(f"seed {seed}: {len(soak.faults)} faults, answers {outcomes}")
    for finding in soak.ledger.findings:
        print(f"  FINDING {finding}")
    if soak.ledger.findings:
        print(
            f"  again: python -m soak --seed {seed} --seconds {options.seconds} "
            f"--vms {options.vms}; logs in {folder}; faults: {soak.faults}"
        )
    return not soak.ledger.findings


if __name__ == "__main__":
    sys.exit(main())
