"""Failed bookings while instances fall sick for seconds: placing and a plain policy."""

import argparse

from galenaferry.placing.tests.replay import Load, play

SEEDS = range(1, 9)
LOADS = {
    "36 VMs, 16 instances": Load(),
    "the same, 12% of messages lost": Load(lost=0.12),
    "the same, nothing heard of others": Load(hears_others=False),
    "91 VMs, 127 instances": Load(vms=91, instances=127, rate=5.5, length=20_000.0),
    "spells of 10 s": Load(mean_well=23_000.0, mean_sick=10_000.0),
    "spells of 1 s": Load(mean_well=2_300.0, mean_sick=1_000.0),
}


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"{'load':36} {'requests':>8} {'plain':>7} {'placed':>7} {'least share':>12}")
    for name, load in LOADS.items():
        plain = [play(load, seed, is_plain=True) for seed in SEEDS]
        placed = [play(load, seed) for seed in SEEDS]
        requests = sum(outcome.requests for outcome in placed)
        others = sum(o.failed for o in plain) / sum(o.requests for o in plain)
        mine = sum(outcome.failed for outcome in placed) / requests
        least = min(outcome.least_share for outcome in placed)
        print(f"{name:36} {requests:8} {others:7.3f} {mine:7.3f} {least:12.2f}")


if __name__ == "__main__":
    main()
