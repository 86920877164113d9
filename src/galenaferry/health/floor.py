"""The floor: which instances get work although they are not healthy.

The decision is taken on every VM from what it knows, each time anew. Since no
VM ever leaves out more than the floor allows, ejections that race on different
VMs, overtaken messages and stale lists can't break the floor together.
"""

import math
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FULL_WEIGHT = 1.0


class Rank(IntEnum):
    """Order in which the floor admits instances that are left out."""

    HEALTHY = 0
    PROBATION = 1
    SICK = 2
    UNREACHABLE = 3


class Condition(NamedTuple):
    """What a VM knows of one instance.

    ``weight`` is the part of full work that an instance in probation gets.
    """

    address: str
    rank: Rank
    badness: float
    weight: float
    is_cold: bool
    is_leaving: bool


class Admission(NamedTuple):
    """Weights by address; ``is_bound`` tells that the floor admitted some.

    ``on_trial`` are the addresses in probation that the floor has not admitted.
    """

    weight_by_address: dict[str, float]
    is_bound: bool
    on_trial: frozenset[str]


def admit(conditions: Sequence[Condition], floor_percent: int) -> Admission:
    """Return the weight of every instance, 0 for those left out.

    Instances that leave don't count. Cold ones get work and don't count as
    capacity. Where fewer than the floor are healthy, those left out are
    admitted in full, the least bad first.
    """
    present = [condition for condition in conditions if not condition.is_leaving]
    needed = math.ceil(len(present) * floor_percent / 100.0)
    weights = {condition.address: 0.0 for condition in conditions}
    capacity = 0
    left_out: list[Condition] = []
    for condition in present:
        if condition.rank is Rank.HEALTHY:
            weights[condition.address] = FULL_WEIGHT
            capacity += 0 if condition.is_cold else 1
            continue
        if condition.rank is Rank.PROBATION:
            weights[condition.address] = condition.weight
        left_out.append(condition)
    left_out.sort(key=lambda condition: (condition.rank, condition.badness))
    admitted = left_out[: max(0, needed - capacity)]
    for condition in admitted:
        weights[condition.address] = FULL_WEIGHT
    trials = {c.address for c in left_out if c.rank is Rank.PROBATION}
    trials.difference_update(condition.address for condition in admitted)
    return Admission(weights, bool(admitted), frozenset(trials))
