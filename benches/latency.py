"""Added latency: the same open-loop load direct and through one VM, in turn."""

import sys
import tempfile
from pathlib import Path

from open_loop import measure, percentile

from galenaferry.demo.fleet import Fleet, Service

RATES = (100, 300, 667)
SECONDS = 4.0
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
                f"open loop, {ROUNDS} x {SECONDS:.0f} s a row, work {WORK_MS:.0f} ms,"
                " milliseconds; added = through minus direct"
            )
            print("rate  way      median    99%   99.9%  not 200")
            for rate in RATES:
                measure_rate(fleet, rate)
        finally:
            fleet.stop()


def measure_rate(fleet: Fleet, rate: float) -> None:
    direct: list[float] = []
    through: list[float] = []
    failures = [0, 0]
    for number in range(ROUNDS):
        ports = fleet.ports_by_service["depth-queries"]
        sample = measure(ports, PATH, rate, SECONDS, number)
        direct += sample.latencies_ms
        failures[0] += sample.failures
        sample = measure([fleet.vms[0].caller_port], PATH, rate, SECONDS, number)
        through += sample.latencies_ms
        failures[1] += sample.failures
    direct.sort()
    through.sort()
    rows = (("direct", direct, failures[0]), ("through", through, failures[1]))
    figures = {}
    for name, values, failed in rows:
        parts = [percentile(values, part) for part in (0.5, 0.99, 0.999)]
        figures[name] = parts
        shown = " ".join(f"{value:7.2f}" for value in parts)
        print(f"{rate:4.0f}  {name:8} {shown}  {failed:5}")
    added = [t - d for t, d in zip(figures["through"], figures["direct"])]
    print(f"{rate:4.0f}  {'added':8} " + " ".join(f"{value:7.2f}" for value in added))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
