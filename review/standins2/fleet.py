"""VM processes, started with the command of the deploy file on loopback addresses."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from .http import ask

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8381, 8388, 7200, 9464
SETTINGS = """
nodeName = "front-a-{number}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "a"
region = "r"
internalPortRange = [7200, 7215]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = [{bounds}]
[zones]
a = "r"
[listen]
front = "{ip}:8381"
ready = "{ip}:8388"
control = "{ip}:8382"
[limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = {memory_mb}
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""
BOUNDS = (
    "seedLagS=3",
    "addressReuseS=2",
    "stabilityWindowMs=3000",
    "ackTimeoutMs=4000",
    "catchUpS=4",
    "drainTimeoutMs=2000",
    "gracePeriodS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "rollbackSlackMs=250",
    "maxStretchMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "retryBudgetSlack=62",
    "recoveryS=15",
    "probesPerS=3",
    "floorShare=0.7",
)


class Record:
    """Lines about what was sent, answered and run, for ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._lines.append(f"{time.monotonic() - self._started_at:8.3f} s  {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def choose_network() -> str:
    """Return a random loopback prefix on which the ports of the fleet are free."""
    for _ in range(50):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}."
        ports = (FRONT_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1, METRICS_PORT)
        try:
            for port in ports:
                with socket.socket() as sock:
                    sock.bind((f"{prefix}2", port))
        except OSError:
            continue
        return prefix
    raise RuntimeError("no free loopback addresses")


class Vm:
    """One VM and its process."""

    def __init__(
        self,
        number: int,
        prefix: str,
        store: str,
        folder: Path,
        memory_mb: int = 300,
        vm_count: int = 3,
        bootstrap: bool = False,
    ) -> None:
        self.name = f"front-a-{number}"
        self.ip = f"{prefix}{number + 1}"
        self.front = (self.ip, FRONT_PORT)
        self.ready = (self.ip, READY_PORT)
        self._file = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        seeds = [f'"{prefix}{n + 1}:8382"' for n in range(1, min(3, vm_count) + 1)]
        self._text = SETTINGS.format(
            number=number,
            ip=self.ip,
            seeds=", ".join(seeds),
            bounds=", ".join(f'"{bound}"' for bound in BOUNDS),
            memory_mb=memory_mb,
            store=store,
            bootstrap="true" if bootstrap else "false",
        )
        self._file.write_text(self._text)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command and environment of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = kept | role.get("env", {})
        environment |= {
            "GALENAFERRY_NODE_FILE": str(self._file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def resident_mb(self) -> float:
        """Resident memory of the process in MB, 0 if it does not run."""
        if self.process is None:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        """Whether the VM says that it is ready."""
        data = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return (await ask(self.ready, data, 1.0)).status == 200

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the VM is ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.is_running and self.process is not None:
            self.process.kill()
            self.process.wait()


def make_configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration.

    ``routes`` hold what differs from the defaults; None leaves a field out.
    """
    common = {
        "host": "review.example",
        "timeoutMs": 2500,
        "targetLatencyMs": 2000,
        "priority": 2,
        "maxAttempts": 2,
    }
    rows = [common | {"name": f"r{n}"} | r for n, r in enumerate(routes)]
    return {
        "version": f"{version:08x}",
        "routes": [{k: v for k, v in r.items() if v is not None} for r in rows],
        "services": [
            {"name": name, "healthCheckPath": "/health", "maxConnections": 390}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


def decode_log(path: Path, message: str) -> list[dict]:
    """Return the lines of a VM's log with a message."""
    found = []
    for line in path.read_text().splitlines():
        if line.startswith("{") and message in line:
            found.append(json.loads(line))
    return found
