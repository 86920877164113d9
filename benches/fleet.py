"""Measure a fleet of 40 VM processes on the loopback address.

Covered are the time until a configuration change is in force, detection of a faulty
instance, an instance that leaves, an outage of the platform, a rolling restart, and
control traffic. The platform, here a stand-in, has the VM list and the table with the
accepted changes.
"""

import json
import re
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from threading import Thread

from open_loop import LoadResult, percentile, run_load

from galenaferry.demo.fleet import Fleet, Service, send_request

VM_COUNT = 40
CHANGE_COUNT = 10
REQUESTS_PER_SECOND = 160.0
LOAD_SECONDS = 30.0
ERROR_FRACTION = 0.3
SERVICE = "depth-queries"
HEALTH_CHANGED_LINE = re.compile(
    r"^(\d\d:\d\d:\d\d\.\d+) WARNING health: health changed (.*)$"
)


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        folder_path = Path(folder)
        zones = ("north", "middle", "south")
        fleet = Fleet(folder_path, (Service(SERVICE, 8),), zones, VM_COUNT)
        try:
            started = time.monotonic()
            fleet.start()
            print(f"{VM_COUNT} VMs ready after {time.monotonic() - started:.1f} s")
            print_changes(fleet)
            print_detection(fleet, folder_path)
            print_leaving_instance(fleet)
            print_outage(fleet)
            print_rolling_restart(fleet)
            print_control_traffic(fleet)
        finally:
            fleet.stop()


def print_changes(fleet: Fleet) -> None:
    """Propose changes at different VMs and print how soon all VMs have them in force.

    The time counts from the response that a change is accepted. Each VM reports for how
    long its configuration has been in force, so the wait of 2 s before they are asked
    doesn't count.
    """
    times_ms = []
    for number in range(CHANGE_COUNT):
        vm = fleet.vms[number % VM_COUNT]
        edits = [["defaults", "max_attempts", str(number % 5 + 2)]]
        body = {"base": number, "author": "bench", "reason": "time", "edits": edits}
        status = 202
        while status == 202:
            status, _ = send_request(
                vm.admin_port, "PUT", f"/v1/changes/b{number}", body
            )
        accepted_at = time.monotonic()
        assert status == 200, status
        time.sleep(2.0)
        in_force_times = [
            in_force_at(fleet, index, number + 1) for index in range(VM_COUNT)
        ]
        times_ms.append((max(in_force_times) - accepted_at) * 1000.0)
    times_ms.sort()
    print(
        f"{CHANGE_COUNT} changes, last of {VM_COUNT} VMs in force after the answer:"
        f" median {times_ms[CHANGE_COUNT // 2]:.0f} ms, worst {times_ms[-1]:.0f} ms"
    )


def in_force_at(fleet: Fleet, index: int, version: int) -> float:
    """Return since when a version is in force at a VM, infinite if it is not.

    The result is a monotonic time of this process in seconds.
    """
    state = json.loads(send_request(fleet.vms[index].admin_port, "GET", "/v1/state")[1])
    configuration = state["configuration"]
    if configuration["version"] != version:
        return float("inf")
    return time.monotonic() - configuration["in_force_for_ms"] / 1000.0


def print_detection(fleet: Fleet, folder_path: Path) -> None:
    """Let one instance fail 30% of its requests and print when VMs see it as SICK.

    The times are taken from the VMs' logs, and the work of each instance from 3 to
    10 s after the start of the fault from its counters.
    """
    ports = [vm.caller_port for vm in fleet.vms]
    results: list[LoadResult] = []
    load_thread = Thread(
        target=lambda: results.append(
            run_load(ports, f"/{SERVICE}/x", REQUESTS_PER_SECOND, LOAD_SECONDS, 1)
        )
    )
    load_thread.start()
    time.sleep(LOAD_SECONDS / 2.0)
    faulty_port = fleet.ports_by_service[SERVICE][3]
    fleet.set_mode(faulty_port, error_part=ERROR_FRACTION)
    fault_started_at = datetime.now(UTC)
    time.sleep(3.0)
    executions_before = executions_by_port(fleet)
    time.sleep(7.0)
    executions_after = executions_by_port(fleet)
    load_thread.join()
    fleet.set_mode(faulty_port, error_part=0.0)
    delays_s, false_ejections = detection_delays(
        folder_path, fault_started_at, f"127.0.0.1:{faulty_port}"
    )
    latencies_ms = results[0].latencies_ms
    other_executions = [
        executions_after[port] - executions_before[port]
        for port in executions_after
        if port != faulty_port
    ]
    print(
        f"30% errors at one of 8 instances, {REQUESTS_PER_SECOND / 8:.0f} requests/s"
        f" each: known to {len(delays_s)} VMs, first after"
        f" {min(delays_s, default=0):.2f} s, last after"
        f" {max(delays_s, default=0):.2f} s; other instances ejected:"
        f" {false_ejections}"
    )
    print(
        "  work of the sick one from 3 to 10 s:"
        f" {executions_after[faulty_port] - executions_before[faulty_port]},"
        f" of each other one {sum(other_executions) / len(other_executions):.0f}"
    )
    print(
        f"  {len(latencies_ms)} answers, {results[0].failures} not 200,"
        f" median {percentile(latencies_ms, 0.5):.2f} ms,"
        f" 99% {percentile(latencies_ms, 0.99):.2f} ms"
    )


def executions_by_port(fleet: Fleet) -> dict[int, int]:
    """Return the number of requests executed by each instance since its start."""
    return {
        port: json.loads(send_request(port, "GET", "/counters")[1])["executed"]
        for port in fleet.ports_by_service[SERVICE]
    }


def print_leaving_instance(fleet: Fleet) -> None:
    """Mark an instance as leaving in the VM list and print when its work ends."""
    ports = [vm.caller_port for vm in fleet.vms]
    results: list[LoadResult] = []
    load_thread = Thread(
        target=lambda: results.append(
            run_load(ports, f"/{SERVICE}/x", REQUESTS_PER_SECOND, 12.0, 3)
        )
    )
    load_thread.start()
    time.sleep(3.0)
    port = fleet.ports_by_service[SERVICE][5]
    vm_row = (f"127.0.0.1:{port}", "backend", SERVICE, "south")
    fleet.put_vm(*vm_row, state="leaving")
    last_count = executions_by_port(fleet)[port]
    marked_at = last_work_at = time.monotonic()
    while load_thread.is_alive():
        time.sleep(0.1)
        count = executions_by_port(fleet)[port]
        if count != last_count:
            last_count, last_work_at = count, time.monotonic()
    fleet.put_vm(*vm_row, state="live")
    print(
        "an instance marked as leaving got its last work"
        f" {last_work_at - marked_at:.1f} s later;"
        f" {results[0].failures} of {len(results[0].latencies_ms)} not 200"
    )


def print_outage(fleet: Fleet) -> None:
    """Propose a change while the platform is down for longer than a lease.

    The lease ends 10 s after the latest read of the platform's table that a VM knows
    of. From then on it is ready only if most of the fleet reports the outage.

    The answer to the first write after the outage is lost, so that the VM has to
    find out whether the change was accepted.
    """
    send_request(fleet.platform_port, "POST", "/faults", {"down": True})
    time.sleep(25.0)
    ready_count = sum(
        send_request(vm.admin_port, "GET", "/ready")[0] == 200 for vm in fleet.vms
    )
    edits = [["defaults", "floor_percent", "55"]]
    body = {"base": CHANGE_COUNT, "author": "bench", "reason": "outage", "edits": edits}
    vm = fleet.vms[7]
    status, _ = send_request(vm.admin_port, "PUT", "/v1/changes/outage", body)
    time.sleep(1.0)
    status_in_outage, _ = send_request(vm.admin_port, "GET", "/v1/changes/outage")
    send_request(
        fleet.platform_port, "POST", "/faults", {"down": False, "lose_answers": 1}
    )
    platform_up_at = time.monotonic()
    while status != 200 and time.monotonic() < platform_up_at + 10.0:
        time.sleep(0.05)
        status, _ = send_request(vm.admin_port, "GET", "/v1/changes/outage")
    print(
        f"platform down for 25 s: {ready_count} of {VM_COUNT} VMs ready, a change is"
        f" undecided ({status_in_outage}); after it came back, with the first answer"
        f" lost: {status} after {time.monotonic() - platform_up_at:.1f} s"
    )


def detection_delays(
    folder_path: Path, fault_started_at: datetime, faulty_address: str
) -> tuple[list[float], int]:
    """Return detection delays and false ejections from the logs of all VMs.

    There is one delay in seconds for each VM that saw the faulty instance as sick.
    False ejections are those of other instances that a VM logged before that, or at
    any time if it never saw the faulty one as sick. Log lines have the time of day in
    UTC, and their date is taken from ``fault_started_at``.
    """
    delays_s, false_ejections = [], 0
    for log_path in folder_path.glob("vm*.log"):
        for line in log_path.read_text().splitlines():
            match = HEALTH_CHANGED_LINE.match(line)
            if not match or "state=sick" not in line:
                continue
            time_of_day = datetime.strptime(match.group(1), "%H:%M:%S.%f")
            logged_at = fault_started_at.replace(
                hour=time_of_day.hour,
                minute=time_of_day.minute,
                second=time_of_day.second,
                microsecond=time_of_day.microsecond,
            )
            if f"instance={faulty_address}" in line:
                delays_s.append((logged_at - fault_started_at).total_seconds())
                break
            false_ejections += 1
    return delays_s, false_ejections


def print_rolling_restart(fleet: Fleet) -> None:
    """Replace five VMs one by one, under load on VMs that are not replaced."""
    results: list[LoadResult] = []
    staying_ports = [vm.caller_port for vm in fleet.vms[VM_COUNT // 2 :]]
    load_thread = Thread(
        target=lambda: results.append(
            run_load(
                staying_ports, f"/{SERVICE}/x", REQUESTS_PER_SECOND, LOAD_SECONDS, 2
            )
        )
    )
    load_thread.start()
    exit_codes = []
    for vm in list(fleet.vms[:5]):
        exit_codes.append(fleet.stop_vm(vm))
        fleet.wait_until_ready(fleet.start_vm(f"new-{vm.name}", vm.zone))
    load_thread.join()
    print(
        f"5 VMs replaced one by one under load: exit codes {sorted(set(exit_codes))},"
        f" {len(results[0].latencies_ms)} answers, {results[0].failures} not 200"
    )


def print_control_traffic(fleet: Fleet) -> None:
    """Print the traffic between idle VMs over 10 s, and their resident memory."""
    first_bytes = [peer_bytes_sent(vm.admin_port) for vm in fleet.vms]
    time.sleep(10.0)
    last_bytes = [peer_bytes_sent(vm.admin_port) for vm in fleet.vms]
    rates = sorted(
        (after - before) / 10.0 for before, after in zip(first_bytes, last_bytes)
    )
    memory_mb = []
    for vm in fleet.vms:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
        memory_mb.append(int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024)
    print(
        f"idle control traffic sent: median {rates[len(rates) // 2]:.0f} B/s,"
        f" most {rates[-1]:.0f} B/s; resident memory: most {max(memory_mb):.0f} MB"
    )
    sys.stdout.flush()


def peer_bytes_sent(port: int) -> int:
    return json.loads(send_request(port, "GET", "/v1/state")[1])["peers"]["bytes_sent"]


if __name__ == "__main__":
    main()
