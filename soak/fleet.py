"""The VMs of the soak: real processes, ended only by their own ids."""

import os
import signal
import subprocess
import sys
from pathlib import Path

NODE_FILE = """
nodeName = "vm-{number}"
ip = "{ip}"
zone = "a"
region = "r"
internalPortRange = [{peers}, {peers}]
seedNodes = [{seeds}]
bounds = [
  "drainTimeoutMs=2000", "gracePeriodS=6", "floorShare=0.7",
  "retryBudgetRatio=0.2", "retryBudgetSlack=60", "budgetWindowS=10",
]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
"""


class Vm:
    """One VM, which is started again whenever its process has ended."""

    def __init__(self, number: int, port: int, store: str, folder: Path) -> None:
        self.number = number
        self.ip = f"127.0.0.{number + 2}"
        self.front = (self.ip, port)
        self._log = folder / f"vm-{number}.log"
        self._file = folder / f"vm-{number}.toml"
        seeds = ", ".join(f'"127.0.0.{n}:{port}"' for n in (2, 3, 4))
        self._file.write_text(
            NODE_FILE.format(
                number=number,
                ip=self.ip,
                peers=port + 2,
                seeds=seeds,
                front=port,
                ready=port + 1,
                store=store,
            )
        )
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stopping = False
        self.start()

    def start(self) -> None:
        """Start the process where none runs."""
        if self._process is not None and self._process.poll() is None:
            return
        self._is_stopping = False
        environment = os.environ | {
            "GALENAFERRY_NODE_FILE": str(self._file),
            "GALENAFERRY_PEER_KEY": "soak",
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "src/galenaferry_node.py"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and was not asked to stop."""
        is_running = self._process is not None and self._process.poll() is None
        return is_running and not self._is_stopping

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._is_stopping = self._is_stopping or number is signal.SIGTERM

    def stop(self) -> None:
        """End the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
