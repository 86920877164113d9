"""A fleet's placing played on a fake clock against instances that fall sick.

Instances change between well and sick at random times; a sick one fails a part of its
requests at once, a well one answers after its work. What a VM tells the others
arrives one step later, unless it is lost.
"""

from collections import Counter
from random import Random
from typing import NamedTuple

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.choice import Chosen
from galenaferry.backends.messages import Ask, Instance
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.network.loop import Loop
from galenaferry.placing.component import Placement, PlacementSettings

STEP_MS = 10.0


class Load(NamedTuple):
    """What is played; times in milliseconds, rates a second and VM."""

    vms: int = 36
    instances: int = 16
    rate: float = 2.0
    length: float = 30_000.0
    mean_well: float = 6_300.0
    mean_sick: float = 2_700.0
    fails_when_sick: float = 0.75
    fails_when_well: float = 0.012
    work: float = 480.0
    lost: float = 0.0
    hears_others: bool = True


class Outcome(NamedTuple):
    """What callers got, and how work was spread."""

    requests: int
    failed: int
    least_share: float
    longest_pause: float

    @property
    def failed_share(self):
        return self.failed / self.requests


class _Sickness:
    def __init__(self, load, random):
        self._load = load
        self._random = random
        self._is_sick = random.random() < load.mean_sick / (
            load.mean_sick + load.mean_well
        )
        self._until = self._span(0.0)

    def is_sick(self, now):
        while self._until <= now:
            self._is_sick = not self._is_sick
            self._until = self._span(self._until)
        return self._is_sick

    def _span(self, start):
        mean = self._load.mean_sick if self._is_sick else self._load.mean_well
        return start + self._random.expovariate(1.0 / mean)


def play(load, seed, is_plain=False):
    """Play a load and return what callers got; ``is_plain`` chooses at random."""
    random = Random(seed)
    clock = FakeClock(1000.0)
    loop = Loop(clock)
    zones = ("north", "south", "west")
    instances = [
        Instance(f"10.2.0.{n}:80", "bookings", zones[n % 3], False, f"i-{n}")
        for n in range(load.instances)
    ]
    vms = tuple(sorted(Vm(f"10.1.0.{n}:7000", zones[n % 3]) for n in range(load.vms)))
    sickness = {i.address: _Sickness(load, Random(f"{seed} {i.id}")) for i in instances}
    told = []
    placements = []
    for number, vm in enumerate(vms):
        placement = Placement(
            loop,
            PlacementSettings(vm.zone, 0.7),
            Random(f"{seed} {number}"),
            lambda outcomes, number=number: told.append((number, outcomes)),
        )
        placement.replace(instances)
        placement.share_with(vm, vms)
        placements.append(placement)
    pending = []
    used = Counter()
    last_used = dict.fromkeys(sickness, clock.now())
    pauses = dict.fromkeys(sickness, 0.0)
    requests = failed = 0
    ends_at = clock.now() + load.length
    while clock.now() < ends_at:
        now = clock.now()
        loop.poll(0.0)
        arrived, told[:] = list(told), []
        for sender, outcomes in arrived:
            for number, placement in enumerate(placements):
                is_heard = load.hears_others and random.random() >= load.lost
                if number != sender and is_heard:
                    placement.on_outcomes(vms[sender].address, outcomes)
        while pending and pending[0][0] <= now:
            _, placement, address = pending.pop(0)
            placement.observe("bookings", address, "r", b"/", Evidence.SUCCESS, 480.0)
        for placement in placements:
            if random.random() >= load.rate * STEP_MS / 1000.0:
                continue
            requests += 1
            address = _choose(placement, instances, random, is_plain)
            used[address] += 1
            pauses[address] = max(pauses[address], now - last_used[address])
            last_used[address] = now
            is_sick = sickness[address].is_sick(now)
            part = load.fails_when_sick if is_sick else load.fails_when_well
            if random.random() < part:
                failed += 1
                placement.observe("bookings", address, "r", b"/", Evidence.FAILURE, 1.0)
            else:
                pending.append((now + load.work, placement, address))
        clock.advance(STEP_MS)
    least = min(used[address] for address in sickness) * load.instances / requests
    return Outcome(requests, failed, least, max(pauses.values()))


def _choose(placement, instances, random, is_plain):
    if is_plain:
        return random.choice(instances).address
    ask = Ask("bookings", "r", DEFAULT_POLICY, frozenset(), False)
    choice = placement.choose(ask, placement.shares(DEFAULT_POLICY), True)
    assert isinstance(choice, Chosen)
    return choice.instance.address
