"""Run the demonstration: start a fleet, send a load, print and check the results."""

import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from .fleet import TOKEN, Fleet, Service, send_request
from .load import LoadResult, make_requests, send_requests

SERVICES: Final = (
    Service("depth-queries", 8),
    Service("summit-bookings", 16),
    Service("archives", 6),
)
ZONES: Final = ("north", "south")
VM_COUNT: Final = 3
SEED: Final = 20261204
ERROR_PROBABILITY: Final = 0.5
APPLY_TIMEOUT_SECONDS: Final = 5.0
"""Longest wait until a configuration change is in force on every VM."""


def run_demo(is_check: bool, count: int) -> int:
    """Run the demonstration and return its exit code.

    Parameters
    ----------
    is_check : bool
        Also check a graceful shutdown and exit instead of serving until Ctrl-C.
    count : int
        Number of requests to send.

    Returns
    -------
    int
        1 if ``is_check`` and problems were found, else 0.
    """
    with tempfile.TemporaryDirectory(prefix="galenaferry-demo-") as name:
        fleet = Fleet(Path(name), SERVICES, ZONES, VM_COUNT)
        try:
            fleet.start()
            problems = _run_load(fleet, count)
            if is_check:
                problems += _check_graceful_shutdown(fleet)
                return _report_problems(problems)
            _print_hints(fleet)
            _wait_for_interrupt()
            return 0
        except KeyboardInterrupt:
            return 0
        finally:
            fleet.stop()


def _run_load(fleet: Fleet, count: int) -> list[str]:
    """Change the configuration, send the load, print the results and return problems.

    During the load one instance responds 500 to half of its requests.
    """
    problems = _change_configuration(fleet)
    faulty = fleet.ports_by_service["depth-queries"][0]
    fleet.set_mode(faulty, error_part=ERROR_PROBABILITY)
    result = send_requests(fleet.vms, make_requests(count, SEED))
    fleet.set_mode(faulty, error_part=0.0)
    _print_table(fleet, result)
    return problems + _find_problems(fleet, result, count)


def _change_configuration(fleet: Fleet) -> list[str]:
    """Change a default through one VM and wait until all VMs apply it."""
    edits = [["defaults", "floor_percent", "70"]]
    body = {"base": 0, "author": "demo", "reason": "show a change", "edits": edits}
    port = fleet.vms[0].admin_port
    status, _ = send_request(port, "PUT", "/v1/changes/demo-1", body)
    started = time.monotonic()
    while time.monotonic() < started + APPLY_TIMEOUT_SECONDS:
        versions = [
            json.loads(send_request(vm.admin_port, "GET", "/v1/configuration")[1])[
                "version"
            ]
            for vm in fleet.vms
        ]
        if min(versions) >= 1:
            elapsed = (time.monotonic() - started) * 1000.0
            _print_line(
                f"configuration version 1 in force on every VM after {elapsed:.0f} ms"
            )
            return []
        time.sleep(0.02)
    return [f"the change is not in force everywhere (status {status})"]


def _find_problems(fleet: Fleet, result: LoadResult, count: int) -> list[str]:
    """Compare the executions at the backend servers with the responses."""
    runs_by_id = fleet.executions_by_id("summit-bookings")
    runs_by_id |= fleet.executions_by_id("archives")
    repeated = [key for key, times in runs_by_id.items() if times > 1]
    lost = [key for key in result.succeeded_ids - {""} if key not in runs_by_id]
    wrongly_not_run = [key for key in result.not_run_ids - {""} if key in runs_by_id]
    answered = result.succeeded + result.not_run + result.unknown
    problems = []
    if repeated:
        problems.append(f"{len(repeated)} requests ran twice")
    if lost:
        problems.append(f"{len(lost)} answered requests did not run")
    if wrongly_not_run:
        problems.append(f"{len(wrongly_not_run)} requests were called not-run and ran")
    if result.wrong or result.connection_errors or answered != count:
        problems.append(
            f"{result.wrong} wrong answers, {result.connection_errors} broken"
        )
    return problems


def _check_graceful_shutdown(fleet: Fleet) -> list[str]:
    """Stop one VM with SIGTERM, then send a load to the others.

    The exit code must be 0 and no response may be wrong or missing; responses
    counted as ``not_run`` or ``unknown`` are accepted.
    """
    code = fleet.stop_vm(fleet.vms[0])
    result = send_requests(fleet.vms, make_requests(100, SEED + 1))
    problems = [] if code == 0 else [f"the graceful shutdown ended with {code}"]
    if result.connection_errors or result.wrong:
        problems.append("answers broke after a VM was stopped")
    return problems


def _print_table(fleet: Fleet, result: LoadResult) -> None:
    totals: dict[str, int] = {}
    for vm in fleet.vms:
        state = json.loads(send_request(vm.admin_port, "GET", "/v1/state")[1])
        counters = state["requests"]["counters"]
        for name in ("received", "answered", "retried", "shed", "queued"):
            totals[name] = totals.get(name, 0) + counters[name]
    rows = [
        ("answered in full", result.succeeded),
        ("refused, not run", result.not_run),
        ("unknown whether run", result.unknown),
        ("wrong", result.wrong),
        ("broken", result.connection_errors),
        ("attempts made again", totals["retried"]),
        ("shed by backend servers", totals["shed"]),
        ("waited at a VM", totals["queued"]),
    ]
    for text, number in rows:
        _print_line(f"  {text:26} {number:6}")
    median = statistics.median(result.latencies_ms)
    _print_line(f"  median latency, with 5 ms of work: {median:.2f} ms")


def _print_hints(fleet: Fleet) -> None:
    vm = fleet.vms[0]
    _print_line("try:")
    _print_line(f"  curl -i http://127.0.0.1:{vm.caller_port}/depth-queries/station/1")
    _print_line(
        f"  curl -i -d 'slot 7' http://127.0.0.1:{vm.caller_port}/summit-bookings/slots"
    )
    _print_line(f"  curl -i http://127.0.0.1:{vm.admin_port}/ready")
    _print_line(
        f"  galenaferry --admin 127.0.0.1:{vm.admin_port} --token {TOKEN} status"
    )
    _print_line("Ctrl-C ends it")


def _report_problems(problems: list[str]) -> int:
    for problem in problems:
        _print_line(f"FAILED: {problem}")
    if not problems:
        _print_line("demo-check: every answer was right and nothing ran twice")
    return 1 if problems else 0


def _wait_for_interrupt() -> None:
    while True:
        time.sleep(3600)


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
