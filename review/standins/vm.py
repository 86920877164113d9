"""Processes of the VMs, started with the command of the deploy file."""

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from .record import Record

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, PEERS, STORE = 8381, 8388, 7200, 8384
MEMORY_MB = 300

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "sierra-norte"
internalPortRange = [7200,7215]
seedNodes = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = ["seedLagS=3","addressReuseS=2","stabilityWindowMs=3000","ackTimeoutMs=4000","catchUpS=4","drainTimeoutMs=2000","gracePeriodS=6","lossSlackMs=200","configApplyMs=2000","rollbackSlackMs=250","maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=58","recoveryS=15","probesPerS=3","floorShare=0.7"]
[zones]
sn-cayambe = "sierra-norte"
sn-pichincha = "sierra-norte"
sn-antisana = "sierra-norte"
[listen]
front = "{ip}:8381"
ready = "{ip}:8388"
[limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = "{store}:8384"
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
ZONES = ("sn-cayambe", "sn-pichincha", "sn-antisana")


def free_net() -> str:
    """Return the first three bytes of a loopback net that nothing listens on."""
    while True:
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.1", STORE))
                return net
        except OSError:
            continue


class Vm:
    """One VM of the fleet on a loopback address of its own."""

    def __init__(self, number: int, net: str, folder: Path, record: Record) -> None:
        self.name = f"vm-{number}"
        self.ip = f"{net}.{100 + number}"
        self.front = (self.ip, FRONT)
        self.zone = ZONES[number % len(ZONES)]
        self.record = record
        self._net = net
        self._file = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0

    def start(self, bootstrap: bool) -> None:
        """Start the process as the platform does."""
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            bootstrap=str(bootstrap).lower(),
            store=f"{self._net}.1",
        )
        self._file.write_text(settings)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= role.get("env", {})
        environment |= {
            "GALENAFERRY_NODE_FILE": str(self._file),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("started", self.name, f"pid={self.process.pid}")

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self.record.write("signal", self.name, number.name)
            self.process.send_signal(number)

    def end(self) -> None:
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    @property
    def rss_mb(self) -> float:
        """Resident memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except (OSError, AttributeError):
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, READY)
                writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


async def until_ready(vms: list[Vm], timeout: float = 20.0) -> bool:
    """Wait until all VMs say that they are ready."""
    end = asyncio.get_running_loop().time() + timeout
    while asyncio.get_running_loop().time() < end:
        if all([await vm.is_ready() for vm in vms]):
            return True
        await asyncio.sleep(0.2)
    return False


def configuration(version: int, routes: list[dict], idle_ms: int = 15000) -> dict:
    """Return a configuration in the operator's form."""
    names = sorted({route["service"] for route in routes})
    services = [
        {"name": name, "healthCheckPath": "/health", "maxConnections": 330}
        | {"protocol": "h1", "tls": False}
        for name in names
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms}
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route in the operator's form."""
    common = {"name": f"r-{prefix}", "host": "sn.example", "prefix": f"/{prefix}/"}
    common |= {"kind": kind, "service": service, "maxAttempts": 2, "priority": 1}
    common |= {"timeoutMs": 6000, "targetLatencyMs": 2000}
    return common | fields
