"""Start and control the processes of a small fleet on the loopback address."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from itertools import cycle
from pathlib import Path
from typing import Any, Final, NamedTuple

TOKEN: Final = "demo-token"
PEER_KEY: Final = "demo-peer-key-of-the-fleet"
START_TIMEOUT_SECONDS: Final = 20.0
"""Longest wait until a process serves its port."""
STOP_TIMEOUT_SECONDS: Final = 20.0
"""Longest wait for the graceful shutdown of a VM."""
LOWEST_PORT: Final = 12_000
HIGHEST_PORT: Final = 32_000
"""Exclusive upper bound, below the usual range of ephemeral ports."""
FIRST_PORT_SPAN: Final = 18_000
"""Range above ``LOWEST_PORT`` in which the first port of a run lies."""
PORTS_PER_RUN: Final = 200
"""Offset between the first ports of processes with consecutive ids."""
SETTINGS_TEMPLATE: Final = """[vm]
name = {name}
zone = {zone}
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
drain_wait_ms = 500
[admin]
address = 127.0.0.1:{admin}
token = {token}
[platform]
address = 127.0.0.1:{platform}
[peers]
key = {key}
"""


class Service(NamedTuple):
    """A service and the number of its backend server instances."""

    name: str
    instance_count: int


class EntryVm(NamedTuple):
    """One entry VM, which runs the proxy: ports on the loopback address and process."""

    name: str
    zone: str
    caller_port: int
    peer_port: int
    admin_port: int
    process: "subprocess.Popen[bytes]"


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP at the time of the call.

    They lie below the range of ephemeral ports: an outgoing connection could
    otherwise take a port before the process that it is meant for binds it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidate_ports)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


_candidate_ports = cycle(
    range(LOWEST_PORT + os.getpid() * PORTS_PER_RUN % FIRST_PORT_SPAN, HIGHEST_PORT)
)


def send_request(
    port: int, method: str, path: str, body: Any = None
) -> tuple[int, bytes]:
    """Send one request to a port on the loopback address.

    Parameters
    ----------
    port : int
    method : str
    path : str
    body : object, optional
        Sent as JSON.

    Returns
    -------
    tuple of int and bytes
        Status and body of the response.

    Raises
    ------
    OSError
        When the connection fails or times out.
    http.client.HTTPException
        When the response is malformed.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        payload = None if body is None else json.dumps(body)
        headers = {"Authorization": f"Bearer {TOKEN}"}
        connection.request(method, path, payload, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


class Fleet:
    """A simulated platform, simulated backend servers and entry VMs as processes.

    Parameters
    ----------
    folder : Path
        Directory for settings files and logs.
    services : tuple of Service
    zones : tuple of str
        Zones that VMs and instances are assigned to in turn.
    vm_count : int
    work_ms : float
        Execution time of a request at a backend server, in milliseconds.
    """

    def __init__(
        self,
        folder: Path,
        services: tuple[Service, ...],
        zones: tuple[str, ...],
        vm_count: int,
        work_ms: float = 5.0,
    ) -> None:
        self._folder = folder
        self._services = services
        self._zones = zones
        self._work_ms = work_ms
        self._vm_count = vm_count
        self._processes: list[subprocess.Popen[bytes]] = []
        self.platform_port = 0
        self.ports_by_service: dict[str, list[int]] = {}
        self.vms: list[EntryVm] = []

    def start(self) -> None:
        """Start all processes and wait until every VM is ready."""
        self.start_stand_ins()
        for number in range(self._vm_count):
            self.start_vm(f"vm{number + 1}", self._zones[number % len(self._zones)])
        for vm in self.vms:
            self.wait_until_ready(vm)

    def start_stand_ins(self) -> None:
        """Start the platform and the backend servers and register the latter."""
        count = 1 + sum(service.instance_count for service in self._services)
        self.platform_port, *ports = find_free_ports(count)
        self._start_stand_ins(ports)

    def start_vm(self, name: str, zone: str) -> EntryVm:
        """Start one entry VM and register it; return before it is ready."""
        caller_port, peer_port, admin_port = find_free_ports(3)
        file = self._folder / f"{name}.ini"
        file.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                zone=zone,
                callers=caller_port,
                peers=peer_port,
                admin=admin_port,
                token=TOKEN,
                platform=self.platform_port,
                key=PEER_KEY,
            )
        )
        process = self._spawn(name, "galenaferry.entry", str(file))
        vm = EntryVm(name, zone, caller_port, peer_port, admin_port, process)
        self.vms.append(vm)
        self.put_vm(f"127.0.0.1:{peer_port}", "entry", "", zone)
        return vm

    def wait_until_ready(self, vm: EntryVm) -> None:
        """Wait until a VM accepts callers.

        Raises
        ------
        TimeoutError
            When it is not ready within ``START_TIMEOUT_SECONDS``.
        """
        self._wait_until(vm.admin_port, "/ready")

    def stop_vm(self, vm: EntryVm) -> int:
        """Stop a VM with SIGTERM, remove it from the VM list and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            When it still runs after ``STOP_TIMEOUT_SECONDS``.
        """
        vm.process.send_signal(signal.SIGTERM)
        self.vms.remove(vm)
        code = vm.process.wait(STOP_TIMEOUT_SECONDS)
        send_request(
            self.platform_port, "DELETE", f"/vms?address=127.0.0.1:{vm.peer_port}"
        )
        return code

    def stop(self) -> None:
        """Terminate the processes of this fleet with SIGTERM.

        Each is killed if it does not exit within ``STOP_TIMEOUT_SECONDS / 4``.
        """
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self._processes:
            with suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_SECONDS / 4.0)
            if process.poll() is None:
                process.kill()
                process.wait()

    def put_vm(
        self, address: str, role: str, service: str, zone: str, state: str = "live"
    ) -> None:
        """Add or replace a row of the platform's VM list."""
        row = {
            "address": address,
            "role": role,
            "service": service,
            "zone": zone,
            "region": "default",
            "state": state,
        }
        send_request(self.platform_port, "PUT", "/vms", row)

    def set_mode(self, port: int, **mode: Any) -> None:
        """Change attributes of ``BackendMode`` at the backend server on a port."""
        send_request(port, "PUT", "/mode", mode)

    def executions_by_id(self, service: str) -> dict[str, int]:
        """Return the number of executions by ``X-Booking-Id`` over a service."""
        total: dict[str, int] = {}
        for port in self.ports_by_service[service]:
            counters = json.loads(send_request(port, "GET", "/counters")[1])
            for key, count in counters["executions_by_id"].items():
                total[key] = total.get(key, 0) + count
        return total

    def _start_stand_ins(self, ports: list[int]) -> None:
        self._spawn(
            "platform",
            "galenaferry.stand_ins.platform",
            f"--address=127.0.0.1:{self.platform_port}",
        )
        unused_ports = iter(ports)
        for service in self._services:
            service_ports = [next(unused_ports) for _ in range(service.instance_count)]
            self.ports_by_service[service.name] = service_ports
            self._spawn(
                service.name,
                "galenaferry.stand_ins.backend",
                f"--work-ms={self._work_ms}",
                *[f"--address=127.0.0.1:{port}" for port in service_ports],
            )
        self._wait_until(self.platform_port, "/counters")
        for name, service_ports in self.ports_by_service.items():
            for number, port in enumerate(service_ports):
                self._wait_until(port, "/health")
                zone = self._zones[number % len(self._zones)]
                self.put_vm(f"127.0.0.1:{port}", "backend", name, zone)

    def _spawn(
        self, name: str, module: str, *arguments: str
    ) -> "subprocess.Popen[bytes]":
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )
        self._processes.append(process)
        return process

    def _wait_until(self, port: int, path: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with suppress(OSError, http.client.HTTPException):
                if send_request(port, "GET", path)[0] == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(
            f"port {port} is not ready after {START_TIMEOUT_SECONDS:.0f} s"
        )
