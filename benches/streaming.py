"""Peak memory of one VM while large bodies stream in both directions.

The caller of the download reads slowly.
"""

import http.client
import re
import tempfile
import time
from pathlib import Path
from threading import Thread

from galenaferry.demo.fleet import Fleet, Service

BODY_BYTES = 200_000_000
BLOCK = bytes(65_536)
READS_PER_PAUSE = 200
PAUSE_SECONDS = 0.01


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), (Service("archives", 6),), ("north",), 1)
        try:
            fleet.start()
            vm = fleet.vms[0]
            peak_before_mb = peak_resident_mb(vm.process.pid)
            results: list[str] = []
            threads = [
                Thread(target=lambda: results.append(download(vm.caller_port))),
                Thread(target=lambda: results.append(upload(vm.caller_port))),
            ]
            started = time.monotonic()
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            peak_after_mb = peak_resident_mb(vm.process.pid)
            print(f"200 MB down and 200 MB up at once: {sorted(results)}")
            print(
                f"{time.monotonic() - started:.1f} s; peak resident memory"
                f" {peak_before_mb:.0f} MB before, {peak_after_mb:.0f} MB after"
            )
        finally:
            fleet.stop()


def download(port: int) -> str:
    """Download slowly, so that the VM must apply backpressure to the backend server."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    connection.request("GET", f"/archives/size/{BODY_BYTES}")
    response = connection.getresponse()
    size = reads = 0
    while block := response.read(len(BLOCK)):
        size += len(block)
        reads += 1
        if reads % READS_PER_PAUSE == 0:
            time.sleep(PAUSE_SECONDS)
    return f"down {response.status} {size}"


def upload(port: int) -> str:
    """Upload as fast as the VM reads; the response states how much arrived."""

    def blocks():
        for _ in range(BODY_BYTES // len(BLOCK)):
            yield BLOCK
        yield BLOCK[: BODY_BYTES % len(BLOCK)]

    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    headers = {"Content-Length": str(BODY_BYTES)}
    connection.request("POST", "/archives/corrections", blocks(), headers)
    return "up " + connection.getresponse().read().decode().strip()


def peak_resident_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MiB (Linux only)."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


if __name__ == "__main__":
    main()
