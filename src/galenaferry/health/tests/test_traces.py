"""Replay of recorded traces against the outcomes stated in their headers."""

import json
from pathlib import Path

import pytest

from galenaferry.health.messages import Counts, HealthState, Report
from galenaferry.health.tests.builders import make_home

TRACES = sorted(Path(__file__).with_name("traces").glob("*.jsonl"))


def replay(header, ticks, days):
    """Return the times in ms at which instances became sick."""
    home = make_home(days, header["zones"])
    totals = {}
    for vm in range(header["vms"]):
        rows = tuple(Counts(key, 0, 0, 0) for key in range(header["instances"]))
        home.on_report(f"vm{vm}", 1, Report(rows), 0.0)
    sick = {}
    for now, rows in ticks:
        for vm, key, *parts in rows:
            old = totals.get((vm, key), (0, 0, 0))
            totals[vm, key] = tuple(a + b for a, b in zip(old, parts))
            home.on_report(f"vm{vm}", 1, Report((Counts(key, *totals[vm, key]),)), now)
        for verdict in home.on_tick(now):
            if verdict.state is HealthState.SICK:
                sick.setdefault(verdict.key, now)
    return sick


@pytest.mark.parametrize("days", [10.0, 100.0])
@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace(path, days):
    header, *ticks = [json.loads(line) for line in path.read_text().splitlines()]
    sick = replay(header, ticks, days)
    assert sorted(sick) == header["sick"]
    for moment in sick.values():
        delay = moment / 1000.0 - header["fault_from_s"]
        assert 0.0 <= delay <= header["within_s"]
