"""Write the traces that the tests of the health detector replay.

Each file is in JSON Lines: a header with the expected outcome, then a line per tick
with [time in ms, [[VM, instance, requests, failures, slow responses], ...]].
"""

import json
from pathlib import Path

import numpy as np
from traces import Fault, Scenario, generate_ticks

TRACES_FOLDER = Path(__file__).parent.parent / "src/galenaferry/health/tests/traces"
SMALL_FLEET = {"instances": 5, "vms": 6, "fault_from_s": 15.0, "seconds": 45.0}
# Scenario, instances that must be ejected, and the longest time in seconds from the
# start of the fault until they are.
TRACES = {
    "healthy-1-percent": (
        Scenario(1, background_error_rate=0.01, **SMALL_FLEET),
        [],
        None,
    ),
    "bursts": (Scenario(2, bursts_per_hour=400.0, **SMALL_FLEET), [], None),
    "bad-requests": (Scenario(3, bad_requests_per_hour=600.0, **SMALL_FLEET), [], None),
    "errors-30-percent": (
        Scenario(4, fault=Fault.ERRORS, fault_rate=0.3, **SMALL_FLEET),
        [0],
        2.5,
    ),
    "errors-10-percent-of-1": (
        Scenario(
            5,
            background_error_rate=0.01,
            fault=Fault.ERRORS,
            fault_rate=0.1,
            **SMALL_FLEET,
        ),
        [0],
        17.0,
    ),
    "slow-3-times": (
        Scenario(6, fault=Fault.SLOW, fault_rate=0.8, **SMALL_FLEET),
        [0],
        3.0,
    ),
    "broken-vm": (Scenario(7, has_broken_vm=True, **SMALL_FLEET), [], None),
    "slow-zone": (Scenario(8, has_slow_zone=True, **SMALL_FLEET), [], None),
}


def main() -> None:
    TRACES_FOLDER.mkdir(parents=True, exist_ok=True)
    for name, (scenario, sick_instances, within_s) in TRACES.items():
        header = {
            "instances": scenario.instances,
            "vms": scenario.vms,
            "zones": 3,
            "fault_from_s": scenario.fault_from_s,
            "sick": sick_instances,
            "within_s": within_s,
        }
        lines = [json.dumps(header)]
        for tick in generate_ticks(scenario):
            rows = [
                [int(vm), int(key)]
                + [
                    int(counts[key, vm])
                    for counts in (tick.requests, tick.failures, tick.slow)
                ]
                for key, vm in zip(*np.nonzero(tick.requests))
            ]
            lines.append(json.dumps([tick.now, rows], separators=(",", ":")))
        (TRACES_FOLDER / f"{name}.jsonl").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
