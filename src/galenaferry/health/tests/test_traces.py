"""Replay of recorded traces against the ejections expected in their headers.

The first line of a trace is its header: ``sick`` lists the keys of the instances to be
ejected, ``fault_from_s`` is the start of the fault and ``within_s`` the longest time to
ejection, both in seconds. Each further line is one tick: the time in ms and a list of
[VM, instance key, requests, failures, slow responses].
"""

import json
from pathlib import Path

import pytest

from galenaferry.health.messages import Counts, HealthState, Report
from galenaferry.health.tests.builders import make_home

TRACES = sorted(Path(__file__).with_name("traces").glob("*.jsonl"))


def replay(header, ticks, days):
    """Return the times in ms at which instances were ejected, by key."""
    home = make_home(days, header["zones"])
    totals = {}
    for vm in range(header["vms"]):
        rows = tuple(Counts(key, 0, 0, 0) for key in range(header["instances"]))
        home.on_report(f"vm{vm}", 1, Report(rows), 0.0)
    ejected_at_by_key = {}
    for now, rows in ticks:
        for vm, key, *parts in rows:
            old = totals.get((vm, key), (0, 0, 0))
            totals[vm, key] = tuple(a + b for a, b in zip(old, parts))
            home.on_report(f"vm{vm}", 1, Report((Counts(key, *totals[vm, key]),)), now)
        for verdict in home.on_tick(now):
            if verdict.state is HealthState.SICK:
                ejected_at_by_key.setdefault(verdict.key, now)
    return ejected_at_by_key


@pytest.mark.parametrize("days", [10.0, 100.0])
@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_recorded_trace(path, days):
    header, *ticks = [json.loads(line) for line in path.read_text().splitlines()]
    ejected_at_by_key = replay(header, ticks, days)
    assert sorted(ejected_at_by_key) == header["sick"]
    for ejected_at in ejected_at_by_key.values():
        delay = ejected_at / 1000.0 - header["fault_from_s"]
        assert 0.0 <= delay <= header["within_s"]
