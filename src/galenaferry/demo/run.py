"""The demonstration's course: start, load, table, and serving until Ctrl-C."""

import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from .fleet import TOKEN, Fleet, Service, ask
from .load import Tally, make_calls, send_calls

SERVICES: Final = (
    Service("depth-queries", 8),
    Service("summit-bookings", 16),
    Service("archives", 6),
)
ZONES: Final = ("north", "south")
VM_COUNT: Final = 3
SEED: Final = 20261204
FAULTY_PART: Final = 0.5
APPLY_SECONDS: Final = 5.0


def run_demo(is_check: bool, count: int) -> int:
    """Run the demonstration and return its exit code."""
    with tempfile.TemporaryDirectory(prefix="galenaferry-demo-") as name:
        fleet = Fleet(Path(name), SERVICES, ZONES, VM_COUNT)
        try:
            fleet.start()
            problems = _show_path(fleet, count)
            if is_check:
                problems += _check_stop(fleet)
                return _conclude(problems)
            _print_hints(fleet)
            _serve()
            return 0
        except KeyboardInterrupt:
            return 0
        finally:
            fleet.stop()


def _show_path(fleet: Fleet, count: int) -> list[str]:
    problems = _change_configuration(fleet)
    faulty = fleet.ports_by_service["depth-queries"][0]
    fleet.set_mode(faulty, error_part=FAULTY_PART)
    tally = send_calls(fleet.vms, make_calls(count, SEED))
    fleet.set_mode(faulty, error_part=0.0)
    _print_table(fleet, tally)
    return problems + _judge(fleet, tally, count)


def _change_configuration(fleet: Fleet) -> list[str]:
    """Change a default at one VM and wait until it is in force on all."""
    edits = [["defaults", "floor_percent", "70"]]
    body = {"base": 0, "author": "demo", "reason": "show a change", "edits": edits}
    port = fleet.vms[0].admin
    status, _ = ask(port, "PUT", "/v1/changes/demo-1", body)
    started = time.monotonic()
    while time.monotonic() < started + APPLY_SECONDS:
        versions = [
            json.loads(ask(vm.admin, "GET", "/v1/configuration")[1])["version"]
            for vm in fleet.vms
        ]
        if min(versions) >= 1:
            elapsed = (time.monotonic() - started) * 1000.0
            _say(f"configuration version 1 in force on every VM after {elapsed:.0f} ms")
            return []
        time.sleep(0.02)
    return [f"the change is not in force everywhere (status {status})"]


def _judge(fleet: Fleet, tally: Tally, count: int) -> list[str]:
    runs = fleet.executions_by_id("summit-bookings")
    runs |= fleet.executions_by_id("archives")
    doubled = [key for key, times in runs.items() if times > 1]
    lost = [key for key in tally.answered_ids - {""} if key not in runs]
    lied = [key for key in tally.not_run_ids - {""} if key in runs]
    answered = tally.ok + tally.not_run + tally.unknown
    problems = []
    if doubled:
        problems.append(f"{len(doubled)} requests ran twice")
    if lost:
        problems.append(f"{len(lost)} answered requests did not run")
    if lied:
        problems.append(f"{len(lied)} requests were called not-run and ran")
    if tally.wrong or tally.broken or answered != count:
        problems.append(f"{tally.wrong} wrong answers, {tally.broken} broken")
    return problems


def _check_stop(fleet: Fleet) -> list[str]:
    """Stop one VM as planned while others serve; its exit code must be 0."""
    code = fleet.stop_vm(fleet.vms[0])
    tally = send_calls(fleet.vms, make_calls(100, SEED + 1))
    problems = [] if code == 0 else [f"the planned stop ended with {code}"]
    if tally.broken or tally.wrong:
        problems.append("answers broke after a VM was stopped")
    return problems


def _print_table(fleet: Fleet, tally: Tally) -> None:
    totals: dict[str, int] = {}
    for vm in fleet.vms:
        state = json.loads(ask(vm.admin, "GET", "/v1/state")[1])
        counters = state["requests"]["counters"]
        for name in ("received", "answered", "retried", "shed", "queued"):
            totals[name] = totals.get(name, 0) + counters[name]
    rows = [
        ("answered in full", tally.ok),
        ("refused, not run", tally.not_run),
        ("unknown whether run", tally.unknown),
        ("wrong", tally.wrong),
        ("broken", tally.broken),
        ("attempts made again", totals["retried"]),
        ("shed by backend servers", totals["shed"]),
        ("waited at a VM", totals["queued"]),
    ]
    for text, number in rows:
        _say(f"  {text:26} {number:6}")
    median = statistics.median(tally.latencies_ms)
    _say(f"  median latency, with 5 ms of work: {median:.2f} ms")


def _print_hints(fleet: Fleet) -> None:
    vm = fleet.vms[0]
    _say("try:")
    _say(f"  curl -i http://127.0.0.1:{vm.callers}/depth-queries/station/1")
    _say(f"  curl -i -d 'slot 7' http://127.0.0.1:{vm.callers}/summit-bookings/slots")
    _say(f"  curl -i http://127.0.0.1:{vm.admin}/ready")
    _say(f"  galenaferry --admin 127.0.0.1:{vm.admin} --token {TOKEN} status")
    _say("Ctrl-C ends it")


def _conclude(problems: list[str]) -> int:
    for problem in problems:
        _say(f"FAILED: {problem}")
    if not problems:
        _say("demo-check: every answer was right and nothing ran twice")
    return 1 if problems else 0


def _serve() -> None:
    while True:
        time.sleep(3600)


def _say(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
