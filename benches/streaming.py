"""Peak memory of one VM while large bodies stream both ways, callers slow."""

import http.client
import re
import tempfile
import time
from pathlib import Path
from threading import Thread

from galenaferry.demo.fleet import Fleet, Service

SIZE = 200_000_000
BLOCK = bytes(65_536)
PAUSE_EVERY = 200
PAUSE_SECONDS = 0.01


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), (Service("archives", 6),), ("north",), 1)
        try:
            fleet.start()
            vm = fleet.vms[0]
            before = peak_mb(vm.process.pid)
            results: list[str] = []
            workers = [
                Thread(target=lambda: results.append(download(vm.caller_port))),
                Thread(target=lambda: results.append(upload(vm.caller_port))),
            ]
            started = time.monotonic()
            for worker in workers:
                worker.start()
            for worker in workers:
                worker.join()
            after = peak_mb(vm.process.pid)
            print(f"200 MB down and 200 MB up at once: {sorted(results)}")
            print(
                f"{time.monotonic() - started:.1f} s; peak resident memory"
                f" {before:.0f} MB before, {after:.0f} MB after"
            )
        finally:
            fleet.stop()


def download(port: int) -> str:
    """Read slowly, so that the VM has to hold the backend server back."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    connection.request("GET", f"/archives/size/{SIZE}")
    response = connection.getresponse()
    size = reads = 0
    while data := response.read(len(BLOCK)):
        size += len(data)
        reads += 1
        if reads % PAUSE_EVERY == 0:
            time.sleep(PAUSE_SECONDS)
    return f"down {response.status} {size}"


def upload(port: int) -> str:
    def parts():
        for _ in range(SIZE // len(BLOCK)):
            yield BLOCK
        yield BLOCK[: SIZE % len(BLOCK)]

    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    headers = {"Content-Length": str(SIZE)}
    connection.request("POST", "/archives/corrections", parts(), headers)
    return "up " + connection.getresponse().read().decode().strip()


def peak_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


if __name__ == "__main__":
    main()
