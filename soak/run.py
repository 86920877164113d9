"""One seeded run of the soak: a fleet of real processes under faults."""

import json
import math
import signal
from collections import deque
from pathlib import Path
from random import Random

from circuits import Component

from galenaferry.network.fetch import FetchRequest, FetchResult, fetch
from galenaferry.network.loop import Loop

from .callers import Callers
from .cuts import Cuts
from .documents import make_configuration
from .fleet import Vm
from .hostile import ODD_VALUES, HostilePeers
from .instances import MODES, ExecutionRecord, Instance
from .leaving import LeavingInstances
from .ports import HARNESS_IP, find_free_port_block, is_listening
from .proxy import DELAY_MS, Proxy
from .proxy import FAULTS as LINK_FAULTS
from .store import Store
from .timing import VM_RESTART_MS

WARM_UP_MS = 4_000.0
"""Time between the start of the VMs and the first request."""
SETTLE_MS = 9_000.0
"""Wait after the faults are ended, without new requests; longer than the at most 7 s
until the last killed or stopped VM starts again."""
MAX_START_WAIT_MS = 20_000.0
"""Longest further wait for VMs that were started again and do not listen yet."""
MAX_PENDING_WAIT_MS = 60_000.0
"""Longest further wait for requests that are still pending."""
MEAN_FAULT_INTERVAL_MS = 400.0
REQUEST_INTERVAL_MS = 12.0
HOSTILE_INTERVAL_MS = 150.0
DIRECT_PORT_OFFSET = 10_000
"""Offset from the port of an instance's proxy to the port of the instance itself."""
COPIES = 8
"""Latest faults before which the store was copied: about three seconds."""
REWRITE_MS = 300.0
"""Time after a restore in which the operator and the instances write again."""
CHECK_MS = 2_500.0
CRASHING_INTERVAL_MS = 400.0
"""Interval at which a request that crashes instances comes again."""
CUT_MS = 4_000.0
"""Least time for which VMs are cut off from all instances."""
RESTART_MS = 1_500.0
"""Time after which an instance that crashed is back."""
MAX_SILENCE_MS = 400.0
"""Longest time for which the connections to the store are silent before a change."""
STORE_FAULTS = ("refuse", "silent", "lose")


class Soak:
    """One seeded run of a fleet with a store, instances and callers.

    Without ``is_timed`` a store fault without an end excuses all violations that
    ``TimingChecks`` finds.
    """

    def __init__(self, seed: int, vms: int, folder: Path, is_timed: bool) -> None:
        self.random = Random(seed)
        # Frequent store faults would excuse nearly all timing violations, so only even
        # seeds have them.
        self._has_store_faults = seed % 2 == 0
        self._silence_random = Random(seed)
        self.root = Component()
        self.loop = Loop()
        self.loop.register(self.root)
        self.record = ExecutionRecord()
        if not is_timed:
            self.record.timing.on_store_fault(0.0, math.inf)
        self._is_timed = is_timed
        self.injected_faults: list[str] = []
        port = find_free_port_block()
        self._is_settling = False
        self.vms: list[Vm] = []
        self.cuts = Cuts(self.vms)
        self.record.timing.cuts = self.cuts
        self._last_port = port + 10
        self._version = 0
        self.store = Store(self.loop, (HARNESS_IP, port + 6))
        self._copies = deque([self.store.take_copy()], maxlen=COPIES)
        self._leaving = LeavingInstances(
            self.loop, self.store, self.record.timing, seed, self._add_instance
        )
        self.instances: list[Instance] = []
        self.proxy_by_name: dict[str, Proxy] = {}
        for service in ("one", "one", "one", "two", "two", "two"):
            self._add_instance(service)
        self._write_configuration("one")
        proxy_address = (HARNESS_IP, port + 5)
        self.proxy_by_name["store"] = Proxy(
            self.loop, proxy_address, (HARNESS_IP, port + 6)
        )
        address = f"{HARNESS_IP}:{port + 5}"
        self.vms += [Vm(number, port, address, folder) for number in range(vms)]
        self.callers = Callers(
            self.loop, [vm.front_address for vm in self.vms], self.record, seed
        )
        self.hostile_peers = HostilePeers(
            self.loop, self.vms, self.store, self.callers, self.record, seed
        )

    def run(self, seconds: float) -> None:
        """Inject faults under load for ``seconds``, then end them all and check.

        Before the checks it waits for stopped VMs to start and pending requests to end.
        """
        self._run_loop_for(WARM_UP_MS)
        for number, text in enumerate(ODD_VALUES):
            self.store.put_bytes("servers", f"odd-{number}", text)
        ends_at = self.loop.clock.now() + seconds * 1000.0
        next_fault = next_hostile_act = self.loop.clock.now()
        while self.loop.clock.now() < ends_at:
            if self.loop.clock.now() >= next_fault:
                next_fault += MEAN_FAULT_INTERVAL_MS * (0.5 + self.random.random())
                self._inject_fault()
            if self.loop.clock.now() >= next_hostile_act:
                next_hostile_act += HOSTILE_INTERVAL_MS
                self.hostile_peers.act()
            self.callers.send_request()
            self._run_loop_for(REQUEST_INTERVAL_MS)
        self._end_and_check()

    def _end_and_check(self) -> None:
        self._end_faults()
        self._is_settling = True
        self._run_loop_for(SETTLE_MS)
        ends_at = self.loop.clock.now() + MAX_PENDING_WAIT_MS
        while self.callers.pending_count and self.loop.clock.now() < ends_at:
            self._run_loop_for(REQUEST_INTERVAL_MS)
        self.callers.check_executions()
        self.record.findings += self.hostile_peers.find_large_vms()
        violation = self.cuts.find_violation()
        if violation and self._is_timed:
            self.record.findings.append(violation)
        self._wait_for_vms()
        self._check_tables()
        if self.callers.pending_count:
            text = f"{self.callers.pending_count} requests have no end"
            self.record.findings.append(text)

    def stop(self) -> None:
        """Kill the VM processes of this run."""
        for vm in self.vms:
            vm.kill()

    def _run_loop_for(self, duration_ms: float) -> None:
        ends_at = self.loop.clock.now() + duration_ms
        while (left := ends_at - self.loop.clock.now()) > 0.0:
            self.loop.poll(left)

    def _inject_fault(self) -> None:
        """Start one random fault or change; earlier ones may still be in effect."""
        vm = self.random.choice(self.vms)
        instance = self.random.choice(self.instances)
        duration_ms = 500.0 + 2_500.0 * self.random.random()
        self._copies.append(self.store.take_copy())
        match self.random.randrange(15):
            case 0:
                self._signal_vm(vm, signal.SIGKILL, duration_ms)
            case 1:
                # The VM is started again after its grace period of 6 s.
                self._signal_vm(vm, signal.SIGTERM, VM_RESTART_MS)
            case 2:
                self._signal_vm(vm, signal.SIGSTOP, duration_ms)
            case 3 if self._has_store_faults:
                self.store.fault = self.random.choice(STORE_FAULTS)
                self.injected_faults.append(f"store {self.store.fault}")
                self.record.timing.on_store_fault(self.loop.clock.now(), duration_ms)
                self.loop.after(duration_ms, lambda: setattr(self.store, "fault", ""))
            case 4:
                self.injected_faults.append("store loses its history")
                self.store.drop_history()
            case 5 | 6:
                instance.mode = self.random.choice(MODES[1:])
                self.injected_faults.append(f"{instance.name} {instance.mode}")
                self.loop.after(duration_ms, lambda: setattr(instance, "mode", "well"))
            case 7:
                text = self._leaving.replace(instance, self.instances)
                self.injected_faults.append(text)
            case 8 | 9:
                self._inject_link_fault(duration_ms)
            case 11 if self._has_store_faults:
                self._restore_store()
            case 14:
                self._cut_vms(duration_ms + CUT_MS)
            case 13:
                self._start_crashing_requests()
            case 12:
                self._limit_instance(instance, duration_ms * 3.0)
            # 3 and 11 get here in runs without store faults.
            case 3 | 10 | 11:
                self._change_configuration(self.random.choice(("one", "two")))

    def _change_configuration(self, service: str) -> None:
        """Write a configuration, in half of the cases to VMs that hear nothing of it.

        Their open connections to the store go silent before. That excuses nothing.
        """
        if self._silence_random.random() < 0.5:
            self._write_configuration(service)
            return
        self.injected_faults.append("open connections to the store silent")
        self.proxy_by_name["store"].silence_open()
        delay_ms = MAX_SILENCE_MS * self._silence_random.random()
        self.loop.after(delay_ms, lambda: self._write_configuration(service))

    def _signal_vm(
        self, vm: Vm, signal_number: signal.Signals, duration_ms: float
    ) -> None:
        self.injected_faults.append(f"vm-{vm.number} {signal_number.name}")
        now = self.loop.clock.now()
        if signal_number is signal.SIGTERM:
            if vm.is_serving:
                self.record.timing.on_vm_stop(vm.front_address, now)
        else:
            self.record.timing.on_vm_fault(vm.front_address, now, duration_ms)
        vm.send_signal(signal_number)
        if signal_number is signal.SIGSTOP:
            self.loop.after(duration_ms, lambda: vm.send_signal(signal.SIGCONT))
        else:
            self.loop.after(duration_ms, vm.start)

    def _inject_link_fault(self, duration_ms: float) -> None:
        """Start a fault of the proxy in front of an instance or of the store.

        All VMs reach the store through the same proxy.
        """
        name, proxy = self.random.choice(sorted(self.proxy_by_name.items()))
        if name == "store" and not self._has_store_faults:
            return
        fault = self.random.choice(LINK_FAULTS)
        self.injected_faults.append(f"link to {name} {fault}")
        if name == "store":
            self.record.timing.on_store_fault(self.loop.clock.now(), duration_ms)
        proxy.start_fault(fault)
        self.record.timing.on_limit_disturbed(name)
        self.loop.after(duration_ms, proxy.end_fault)
        self.loop.after(
            duration_ms + DELAY_MS, lambda: self.record.timing.on_limit_disturbed(name)
        )

    def _limit_instance(self, instance: Instance, duration_ms: float) -> None:
        """Let an instance name a limit for a while."""
        if instance.limit is not None:
            return
        instance.limit = 0.5 + 2.5 * self.random.random()
        self.injected_faults.append(f"{instance.name} limits to {instance.limit:.1f}")

        def end() -> None:
            instance.limit = None
            self.record.timing.on_limit_disturbed(instance.name)

        self.loop.after(duration_ms, end)

    def _cut_vms(self, duration_ms: float) -> None:
        """Reset all connections of one or two VMs to instances, also new ones."""
        if not self.cuts.is_empty:
            return
        vms = self.random.sample(self.vms, self.random.randrange(1, 3))
        numbers = [vm.number for vm in vms]
        self.injected_faults.append(f"VMs {numbers} reach no instance")
        self.cuts.start(vms, self.loop.clock.now())
        for proxy in self.proxy_by_name.values():
            proxy.reset_cut()
        self.loop.after(duration_ms, self.cuts.end)

    def _start_crashing_requests(self) -> None:
        """Let a new request that crashes instances come again and again."""
        prefix = self.random.choice(("/query/", "/book/"))
        target = f"{prefix}crash-{len(self.record.crashing_targets)}"
        self.record.crashing_targets.add(target)
        self.injected_faults.append(f"{target} crashes instances")

        def send() -> None:
            if not self._is_settling:
                self.callers.send_crashing_request(target)
                self.loop.after(CRASHING_INTERVAL_MS, send)

        send()

    def _on_instance_crash(self, instance: Instance) -> None:
        """Bring the instance back, under the same id, after some time."""
        proxy = self.proxy_by_name[instance.name]
        proxy.go_down()
        self.record.timing.on_instance_crash(instance.name, self.loop.clock.now())

        def restart() -> None:
            instance.born += 1
            proxy.come_up()
            if instance in self.instances:
                self.store.put("servers", instance.name, instance.row("ready"))

        self.loop.after(RESTART_MS, restart)

    def _restore_store(self) -> None:
        """Let the store come back from a copy some seconds old.

        The operator and the instances soon write again, and rows of instances that are
        gone expire.
        """
        self.injected_faults.append("store restored from a copy")
        self.record.timing.on_store_fault(self.loop.clock.now(), REWRITE_MS)
        self.store.restore(self._copies[0])
        self._copies.clear()
        self._copies.append(self.store.take_copy())
        self.loop.after(REWRITE_MS, self._write_again)

    def _write_again(self) -> None:
        self.store.put("op", "config", self._configuration)
        rows = {i.name: i.row("ready") for i in self.instances}
        rows |= self._leaving.rows()
        for table, key in list(self.store.value_by_row_key):
            if table == "servers" and key not in rows:
                self.store.put("servers", key, None)
        for name, row in rows.items():
            self.store.put("servers", name, row)

    def _wait_for_vms(self) -> None:
        """Wait until all VMs listen again; ``_check_tables`` reports others."""
        ends_at = self.loop.clock.now() + MAX_START_WAIT_MS
        while self.loop.clock.now() < ends_at:
            if all(is_listening(vm.readiness_address) for vm in self.vms):
                return
            self._run_loop_for(CHECK_MS)

    def _check_tables(self) -> None:
        """Check that each VM has the instances of the store and its era."""
        expected = {instance.name for instance in self.instances}
        for vm in self.vms:
            request = FetchRequest(vm.readiness_address, "GET", "/v1/state")
            fetch(self.loop, request, lambda result, vm=vm: check(vm, result))

        def check(vm: Vm, result: FetchResult) -> None:
            if result.is_err():
                text = f"vm-{vm.number} gives no state: {result.err_value.text}"
                self.record.findings.append(text)
                return
            state = json.loads(result.ok_value.body)
            found = {
                name.partition("@")[0]
                for rows in state["instances"]["by_service"].values()
                for name in rows
            }
            era = state["instances"]["store_era"]
            if (found, era) != (expected, self.store.era):
                text = f"vm-{vm.number} has {sorted(found ^ expected)} wrong, era {era}"
                self.record.findings.append(text)

        self._run_loop_for(CHECK_MS)

    def _add_instance(self, service: str) -> None:
        self._last_port += 1
        name = f"i-{self._last_port}"
        address = (HARNESS_IP, self._last_port)
        direct_address = (HARNESS_IP, self._last_port + DIRECT_PORT_OFFSET)
        proxy = Proxy(self.loop, address, direct_address, self.cuts.is_cut)
        self.proxy_by_name[name] = proxy
        instance = Instance(
            self.loop,
            name,
            service,
            (address, direct_address),
            self.record,
            self.random,
        )
        instance.on_crash = self._on_instance_crash
        self.instances.append(instance)
        self.store.put("servers", name, instance.row("ready"))

    def _write_configuration(self, service: str, bulk=()) -> None:
        """Write a configuration that routes bookings to a service, and a new route."""
        self._version += self.random.randrange(1, 4)
        self.injected_faults.append(f"configuration {self._version} to {service}")
        now = self.loop.clock.now()
        self.record.new_routes.append((now, f"/new-{self._version}/"))
        prefixes = [prefix for _, prefix in self.record.new_routes]
        prefixes += bulk
        document = make_configuration(self._version, service, prefixes)
        self._configuration = document
        self.store.put("op", "config", document)
        self.record.timing.on_configuration_written(service, now)

    def _end_faults(self) -> None:
        """End all faults but killed and stopped VMs, whose starts are scheduled."""
        self.store.fault = ""
        self.cuts.end()
        for proxy in self.proxy_by_name.values():
            proxy.end_fault()
        for instance in self.instances:
            instance.mode = "well"
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
