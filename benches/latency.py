"""Latency that one VM adds to requests.

The same open-loop load is sent to the backend servers directly and through one
VM, in turn.
"""

import sys
import tempfile
from pathlib import Path

from open_loop import percentile, run_load

from galenaferry.demo.fleet import Fleet, Service

REQUESTS_PER_SECOND = (100, 300, 667)
SECONDS_PER_ROUND = 4.0
ROUNDS = 3
WORK_MS = 1.0
PATH = "/depth-queries/station/7"


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        services = (Service("depth-queries", 8),)
        fleet = Fleet(Path(folder), services, ("north",), 1, WORK_MS)
        try:
            fleet.start()
            print(
                f"open loop, {ROUNDS} x {SECONDS_PER_ROUND:.0f} s a row,"
                f" work {WORK_MS:.0f} ms, milliseconds; added = through minus direct"
            )
            print("rate  way      median    99%   99.9%  not 200")
            for rate in REQUESTS_PER_SECOND:
                print_latencies(fleet, rate)
        finally:
            fleet.stop()


def print_latencies(fleet: Fleet, rate: float) -> None:
    """Print percentiles of both ways at one rate, and their difference as "added"."""
    direct_ms: list[float] = []
    through_ms: list[float] = []
    failures = [0, 0]
    for seed in range(ROUNDS):
        ports = fleet.ports_by_service["depth-queries"]
        result = run_load(ports, PATH, rate, SECONDS_PER_ROUND, seed)
        direct_ms += result.latencies_ms
        failures[0] += result.failures
        result = run_load(
            [fleet.vms[0].caller_port], PATH, rate, SECONDS_PER_ROUND, seed
        )
        through_ms += result.latencies_ms
        failures[1] += result.failures
    direct_ms.sort()
    through_ms.sort()
    measurements = (
        ("direct", direct_ms, failures[0]),
        ("through", through_ms, failures[1]),
    )
    percentiles_by_name = {}
    for name, latencies_ms, failed in measurements:
        percentiles = [
            percentile(latencies_ms, fraction) for fraction in (0.5, 0.99, 0.999)
        ]
        percentiles_by_name[name] = percentiles
        columns = " ".join(f"{value:7.2f}" for value in percentiles)
        print(f"{rate:4.0f}  {name:8} {columns}  {failed:5}")
    added = [
        through - direct
        for through, direct in zip(
            percentiles_by_name["through"], percentiles_by_name["direct"]
        )
    ]
    print(f"{rate:4.0f}  {'added':8} " + " ".join(f"{value:7.2f}" for value in added))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
