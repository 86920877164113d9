"""Run the soak test: ``python -m soak --seed N --seconds S --vms V``."""

import argparse
import sys
import tempfile
from pathlib import Path

from .run import Soak
from .stops import PlannedStops
from .upgrade import Upgrade


def main() -> int:
    """Run one seed after the other and return 1 if any had findings, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, starting at --seed"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument(
        "--untimed",
        action="store_true",
        help="skip the timing checks, which may fail on a busy machine",
    )
    parser.add_argument("--upgrade-from", type=Path, help="checkout of an old version")
    parser.add_argument(
        "--stops",
        action="store_true",
        help="planned stops only, with callers that send late",
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        failed += not _run_seed(seed, options)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    old = options.upgrade_from
    kind = PlannedStops if options.stops else Upgrade if old else Soak
    soak = kind(seed, options.vms, folder, not options.untimed)
    try:
        if options.stops:
            soak.stop_vms(options.seconds)
        elif old:
            soak.upgrade_from(old)
        else:
            soak.run(options.seconds)
    finally:
        soak.stop()
    outcomes = dict(sorted(soak.callers.outcomes.items()))
    print(f"seed {seed}: {len(soak.injected_faults)} faults, answers {outcomes}")
    print(f"  {soak.record.crashes.count} crashes, {soak.cuts}")
    for finding in soak.record.findings:
        print(f"  FINDING {finding}")
    if soak.record.findings:
        mode = f"--upgrade-from {old}" if old else f"--seconds {options.seconds}"
        mode += " --stops" if options.stops else ""
        print(
            f"  again: python -m soak --seed {seed} {mode} "
            f"--vms {options.vms}; logs in {folder}; faults: {soak.injected_faults}"
        )
    return not soak.record.findings


if __name__ == "__main__":
    sys.exit(main())
