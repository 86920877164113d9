"""VM processes of the soak, controlled by signals to their own process ids only."""

import os
import signal
import subprocess
import sys
from pathlib import Path

NODE_FILE_TEMPLATE = """
nodeName = "vm-{number}"
ip = "{ip}"
zone = "a"
region = "r"
internalPortRange = [{peers}, {relay}]
seedNodes = [{seeds}]
bounds = [
  "drainTimeoutMs=2000", "gracePeriodS=6", "floorShare=0.7",
  "retryBudgetRatio=0.2", "retryBudgetSlack=60", "budgetWindowS=10",
  "configApplyMs=2000",
]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[limits]
linkMbps = {link_mbps}
memoryMb = 300
fileDescriptors = 4100
"""
LINK_MBPS = (10, 10, 200)
"""Bandwidths that the VMs have by turns."""


class Vm:
    """One VM with a loopback address of its own; ``start`` runs its ``checkout``."""

    def __init__(
        self, number: int, port: int, store_address: str, folder: Path
    ) -> None:
        self.number = number
        self.ip = f"127.0.0.{number + 2}"
        self.front_address = (self.ip, port)
        self.readiness_address = (self.ip, port + 1)
        self.listeners = tuple((self.ip, port + number) for number in range(4))
        self._log_file = folder / f"vm-{number}.log"
        self._node_file = folder / f"vm-{number}.toml"
        seeds = ", ".join(f'"127.0.0.{n}:{port}"' for n in (2, 3, 4))
        self._node_file.write_text(
            NODE_FILE_TEMPLATE.format(
                number=number,
                ip=self.ip,
                peers=port + 2,
                relay=port + 3,
                seeds=seeds,
                front=port,
                ready=port + 1,
                store=store_address,
                link_mbps=LINK_MBPS[number % len(LINK_MBPS)],
            )
        )
        self.checkout = Path()
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stopping = False
        self.start()

    def start(self) -> None:
        """Start the process unless it still runs."""
        if self._process is not None and self._process.poll() is None:
            return
        self._is_stopping = False
        environment = os.environ | {
            "GALENAFERRY_NODE_FILE": str(self._node_file),
            "GALENAFERRY_PEER_KEY": "soak",
            "PYTHONPATH": str(self.checkout.absolute() / "src"),
        }
        with self._log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "src/galenaferry_node.py"],
                cwd=self.checkout,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Id of the process, 0 if it does not run."""
        process = self._process
        is_running = process is not None and process.poll() is None
        return process.pid if is_running else 0

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and has not been sent SIGTERM."""
        is_running = self._process is not None and self._process.poll() is None
        return is_running and not self._is_stopping

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)
            self._is_stopping = self._is_stopping or signal_number is signal.SIGTERM

    def kill(self) -> None:
        """Kill the process, also if it is stopped by SIGSTOP, and wait for its exit."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
