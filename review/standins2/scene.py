"""A small deployment for one script: store, instances, VMs, a record and a verdict."""

import asyncio
import contextlib
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Record, Vm, choose_network, make_configuration
from .servers import Instance
from .store import Store

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 112.0


class Scene:
    """What a script works with; ``has_trouble`` is false with ``TROUBLE=0``."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.prefix = choose_network()
        self.store = Store()
        self.instances: list[Instance] = []
        self.vms: list[Vm] = []

    async def start(
        self,
        routes: list[dict],
        instance_counts: dict[str, int],
        vm_count: int,
        make_instance: Callable[..., Instance] = Instance,
        memory_mb: int = 300,
    ) -> None:
        """Start all parts; raises if the VMs don't get ready."""
        await self.store.start(f"{self.prefix}200")
        services = list(instance_counts)
        self.store.put("op", "config", make_configuration(7, routes, services))
        for service, count in instance_counts.items():
            for _ in range(count):
                number = len(self.instances) + 1
                host = f"{self.prefix}{100 + number}"
                instance = make_instance(self.store, f"i-{number:04x}", service, host)
                await instance.start()
                self.instances.append(instance)
        for number in range(1, vm_count + 1):
            vm = Vm(
                number,
                self.prefix,
                self.store.address,
                self.folder,
                memory_mb=memory_mb,
                vm_count=vm_count,
            )
            vm.start()
            self.vms.append(vm)
        for vm in self.vms:
            if not await vm.wait_ready(20.0):
                raise RuntimeError(f"{vm.name} did not get ready")
        self.record.add(f"{vm_count} VMs ready, {len(self.instances)} instances")

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for vm in self.vms:
            vm.end()
        for instance in self.instances:
            instance.crash()
        await self.store.close()


def run_scene(file: str, play: Callable[[Scene], Awaitable[bool]]) -> None:
    """Run a script; ``play`` returns whether the rule held."""
    record = Record(Path(file).resolve().parent / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as folder:
            scene = Scene(Path(folder), record)
            record.add(f"trouble: {scene.has_trouble}")
            try:
                async with asyncio.timeout(LIMIT_S):
                    held = await play(scene)
                    return HELD if held else BROKEN
            except Exception:
                record.add(traceback.format_exc())
                return NOT_RUN
            finally:
                for vm in scene.vms:
                    with contextlib.suppress(OSError, ValueError):
                        keep = os.environ.get("KEEP_LOGS")
                        if keep:
                            target = Path(keep) / vm.log.name
                            target.write_bytes(vm.log.read_bytes())
                await scene.end()

    code = asyncio.run(main())
    verdict = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}
    record.add(f"verdict: {verdict[code]}")
    record.write()
    sys.stdout.write(f"{verdict[code]}\n")
    sys.exit(code)
