"""A small deployment: one store, a few instances and VMs, on loopback addresses."""

import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from .instance import Instance
from .record import Record
from .store import Store
from .vm import STORE, ZONES, Vm, configuration, free_net, until_ready

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Fleet:
    """Stand-ins in this process and VMs in processes of their own."""

    def __init__(self, record_path: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="galenaferry-review-"))
        self.record = Record(record_path)
        self.net = free_net()
        self.store = Store()
        self.instances: list[Instance] = []
        self.vms: list[Vm] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(
        self,
        routes: list[dict],
        services: dict[str, tuple[int, float]],
        vm_count: int,
        idle_ms: int = 15000,
    ) -> bool:
        """Start all; ``services`` gives the number of instances and the work."""
        await self.store.start((f"{self.net}.1", STORE))
        for service, (count, work_s) in services.items():
            for _ in range(count):
                await self.add_instance(service, work_s)
        await self.store.put_json("op", "config", configuration(7, routes, idle_ms))
        self.vms = [Vm(n, self.net, self.folder, self.record) for n in range(vm_count)]
        for vm in self.vms:
            vm.start(bootstrap=True)
        return await until_ready(self.vms)

    async def add_instance(self, service: str, work_s: float) -> Instance:
        number = len(self.instances)
        zone = ZONES[number % len(ZONES)]
        instance = Instance(f"i-{number:04x}", service, zone, self.record, work_s)
        await instance.start((f"{self.net}.{2 + number}", 8080))
        self.instances.append(instance)
        await self.store.put_json("servers", instance.key, instance.row())
        return instance

    def runs_of(self, request: str) -> int:
        return sum(instance.runs[request] for instance in self.instances)

    def end(self) -> None:
        """End the processes that this run started, and remove its folder."""
        for vm in self.vms:
            vm.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def finish(code: int, text: str) -> None:
    """Print the verdict and exit with its code."""
    print({HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}[code], text)
    sys.stdout.flush()
    os._exit(code)


def end_on_signals(fleet: Fleet) -> None:
    """End the VMs too if the script itself is told to end."""

    def on_signal(number: int, frame: object) -> None:
        fleet.end()
        os._exit(COULD_NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
