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


class InstanceHealth(NamedTuple):
    """What a VM knows of one instance.

    ``weight`` is the part of full work that an instance in probation gets.
    """

    address: str
    rank: Rank
    badness: float
    weight: float
    is_cold: bool
    is_leaving: bool


class FloorDecision(NamedTuple):
    """Weights by address; ``is_floor_bound`` tells that the floor admitted some.

    ``on_probation`` are the addresses in probation that the floor has not admitted.
    """

    weight_by_address: dict[str, float]
    is_floor_bound: bool
    on_probation: frozenset[str]


def apply_floor(
    instances: Sequence[InstanceHealth], floor_percent: int
) -> FloorDecision:
    """Return the weight of every instance, 0 for those left out.

    Instances that leave don't count. Cold ones get work and don't count as
    capacity. Where fewer than the floor are healthy, those left out are
    admitted in full, the least bad first.
    """
    present = [instance for instance in instances if not instance.is_leaving]
    min_capacity = math.ceil(len(present) * floor_percent / 100.0)
    weights = {instance.address: 0.0 for instance in instances}
    capacity = 0
    left_out: list[InstanceHealth] = []
    for instance in present:
        if instance.rank is Rank.HEALTHY:
            weights[instance.address] = FULL_WEIGHT
            capacity += 0 if instance.is_cold else 1
            continue
        if instance.rank is Rank.PROBATION:
            weights[instance.address] = instance.weight
        left_out.append(instance)
    left_out.sort(key=lambda instance: (instance.rank, instance.badness))
    admitted = left_out[: max(0, min_capacity - capacity)]
    for instance in admitted:
        weights[instance.address] = FULL_WEIGHT
    on_probation = {c.address for c in left_out if c.rank is Rank.PROBATION}
    on_probation.difference_update(instance.address for instance in admitted)
    return FloorDecision(weights, bool(admitted), frozenset(on_probation))
