"""Forty real VMs on the loopback: changes in force, detection, a rolling restart."""

import json
import re
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from threading import Thread

from open_loop import Sample, measure, percentile

from galenaferry.demo.fleet import Fleet, Service, send_request

VM_COUNT = 40
CHANGES = 10
RATE = 160.0
SECONDS = 30.0
ERROR_PART = 0.3
SERVICE = "depth-queries"
SICK = re.compile(r"^(\d\d:\d\d:\d\d\.\d+) WARNING health: health changed (.*)$")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        zones = ("north", "middle", "south")
        fleet = Fleet(path, (Service(SERVICE, 8),), zones, VM_COUNT)
        try:
            started = time.monotonic()
            fleet.start()
            print(f"{VM_COUNT} VMs ready after {time.monotonic() - started:.1f} s")
            print_changes(fleet)
            print_detection(fleet, path)
            print_leaving(fleet)
            print_outage(fleet)
            print_rolling(fleet)
            print_control(fleet)
        finally:
            fleet.stop()


def print_changes(fleet: Fleet) -> None:
    """Accept changes at different VMs and ask each since when they are in force."""
    times = []
    for number in range(CHANGES):
        vm = fleet.vms[number % VM_COUNT]
        edits = [["defaults", "max_attempts", str(number % 5 + 2)]]
        body = {"base": number, "author": "bench", "reason": "time", "edits": edits}
        status = 202
        while status == 202:
            status, _ = send_request(
                vm.admin_port, "PUT", f"/v1/changes/b{number}", body
            )
        accepted = time.monotonic()
        assert status == 200, status
        time.sleep(2.0)
        moments = [in_force_at(fleet, index, number + 1) for index in range(VM_COUNT)]
        times.append((max(moments) - accepted) * 1000.0)
    times.sort()
    print(
        f"{CHANGES} changes, last of {VM_COUNT} VMs in force after the answer:"
        f" median {times[CHANGES // 2]:.0f} ms, worst {times[-1]:.0f} ms"
    )


def in_force_at(fleet: Fleet, index: int, version: int) -> float:
    state = json.loads(send_request(fleet.vms[index].admin_port, "GET", "/v1/state")[1])
    configuration = state["configuration"]
    if configuration["version"] != version:
        return float("inf")
    return time.monotonic() - configuration["in_force_for_ms"] / 1000.0


def print_detection(fleet: Fleet, path: Path) -> None:
    """Let one instance fail 30% of its work under load and read the VMs' logs."""
    ports = [vm.caller_port for vm in fleet.vms]
    samples: list[Sample] = []
    load = Thread(
        target=lambda: samples.append(measure(ports, f"/{SERVICE}/x", RATE, SECONDS, 1))
    )
    load.start()
    time.sleep(SECONDS / 2.0)
    faulty = fleet.ports_by_service[SERVICE][3]
    fleet.set_mode(faulty, error_part=ERROR_PART)
    begun = datetime.now(UTC)
    time.sleep(3.0)
    before = executed(fleet)
    time.sleep(7.0)
    after = executed(fleet)
    load.join()
    fleet.set_mode(faulty, error_part=0.0)
    delays, wrong = sick_times(path, begun, f"127.0.0.1:{faulty}")
    latencies = samples[0].latencies_ms
    others = [after[p] - before[p] for p in after if p != faulty]
    print(
        f"30% errors at one of 8 instances, {RATE / 8:.0f} requests/s each: known to"
        f" {len(delays)} VMs, first after {min(delays, default=0):.2f} s, last after"
        f" {max(delays, default=0):.2f} s; other instances ejected: {wrong}"
    )
    print(
        f"  work of the sick one from 3 to 10 s: {after[faulty] - before[faulty]},"
        f" of each other one {sum(others) / len(others):.0f}"
    )
    print(
        f"  {len(latencies)} answers, {samples[0].failures} not 200,"
        f" median {percentile(latencies, 0.5):.2f} ms,"
        f" 99% {percentile(latencies, 0.99):.2f} ms"
    )


def executed(fleet: Fleet) -> dict[int, int]:
    """Return the number of executions by port."""
    return {
        port: json.loads(send_request(port, "GET", "/counters")[1])["executed"]
        for port in fleet.ports_by_service[SERVICE]
    }


def print_leaving(fleet: Fleet) -> None:
    """Let one instance leave by the VM list under load."""
    ports = [vm.caller_port for vm in fleet.vms]
    samples: list[Sample] = []
    load = Thread(
        target=lambda: samples.append(measure(ports, f"/{SERVICE}/x", RATE, 12.0, 3))
    )
    load.start()
    time.sleep(3.0)
    port = fleet.ports_by_service[SERVICE][5]
    row = (f"127.0.0.1:{port}", "backend", SERVICE, "south")
    fleet.put_vm(*row, state="leaving")
    last = executed(fleet)[port]
    marked = changed = time.monotonic()
    while load.is_alive():
        time.sleep(0.1)
        count = executed(fleet)[port]
        if count != last:
            last, changed = count, time.monotonic()
    fleet.put_vm(*row, state="live")
    print(
        f"an instance marked as leaving got its last work {changed - marked:.1f} s"
        f" later; {samples[0].failures} of {len(samples[0].latencies_ms)} not 200"
    )


def print_outage(fleet: Fleet) -> None:
    """Take the platform down for longer than a lease, then propose a change."""
    send_request(fleet.platform_port, "POST", "/faults", {"down": True})
    time.sleep(25.0)
    ready = sum(
        send_request(vm.admin_port, "GET", "/ready")[0] == 200 for vm in fleet.vms
    )
    edits = [["defaults", "floor_percent", "55"]]
    body = {"base": CHANGES, "author": "bench", "reason": "outage", "edits": edits}
    vm = fleet.vms[7]
    status, _ = send_request(vm.admin_port, "PUT", "/v1/changes/outage", body)
    time.sleep(1.0)
    during, _ = send_request(vm.admin_port, "GET", "/v1/changes/outage")
    send_request(
        fleet.platform_port, "POST", "/faults", {"down": False, "lose_answers": 1}
    )
    up = time.monotonic()
    while status != 200 and time.monotonic() < up + 10.0:
        time.sleep(0.05)
        status, _ = send_request(vm.admin_port, "GET", "/v1/changes/outage")
    print(
        f"platform down for 25 s: {ready} of {VM_COUNT} VMs ready, a change is"
        f" undecided ({during}); after it came back, with the first answer lost:"
        f" {status} after {time.monotonic() - up:.1f} s"
    )


def sick_times(path: Path, begun: datetime, faulty: str) -> tuple[list[float], int]:
    delays, wrong = [], 0
    for log in path.glob("vm*.log"):
        for line in log.read_text().splitlines():
            found = SICK.match(line)
            if not found or "state=sick" not in line:
                continue
            clock = datetime.strptime(found.group(1), "%H:%M:%S.%f")
            moment = begun.replace(
                hour=clock.hour,
                minute=clock.minute,
                second=clock.second,
                microsecond=clock.microsecond,
            )
            if f"instance={faulty}" in line:
                delays.append((moment - begun).total_seconds())
                break
            wrong += 1
    return delays, wrong


def print_rolling(fleet: Fleet) -> None:
    """Replace VMs one after the other under load on those that stay."""
    samples: list[Sample] = []
    staying = [vm.caller_port for vm in fleet.vms[VM_COUNT // 2 :]]
    load = Thread(
        target=lambda: samples.append(
            measure(staying, f"/{SERVICE}/x", RATE, SECONDS, 2)
        )
    )
    load.start()
    codes = []
    for vm in list(fleet.vms[:5]):
        codes.append(fleet.stop_vm(vm))
        fleet.wait_until_ready(fleet.start_vm(f"new-{vm.name}", vm.zone))
    load.join()
    print(
        f"5 VMs replaced one by one under load: exit codes {sorted(set(codes))},"
        f" {len(samples[0].latencies_ms)} answers, {samples[0].failures} not 200"
    )


def print_control(fleet: Fleet) -> None:
    """Read what the VMs sent to each other and how much memory they hold."""
    first = [peer_bytes(vm.admin_port) for vm in fleet.vms]
    time.sleep(10.0)
    last = [peer_bytes(vm.admin_port) for vm in fleet.vms]
    rates = sorted((after - before) / 10.0 for before, after in zip(first, last))
    memory = []
    for vm in fleet.vms:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
        memory.append(int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024)
    print(
        f"idle control traffic sent: median {rates[len(rates) // 2]:.0f} B/s,"
        f" most {rates[-1]:.0f} B/s; resident memory: most {max(memory):.0f} MB"
    )
    sys.stdout.flush()


def peer_bytes(port: int) -> int:
    return json.loads(send_request(port, "GET", "/v1/state")[1])["peers"]["bytes_sent"]


if __name__ == "__main__":
    main()
