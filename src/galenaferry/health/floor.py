"""Minimum share of a service's instances that get full traffic (the floor).

Every VM computes the weights anew from its own view. Since no VM excludes more
instances than the floor allows, concurrent ejections on different VMs, reordered
messages and stale instance lists can't violate the floor together.
"""

import math
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FULL_WEIGHT = 1.0


class Rank(IntEnum):
    """Order in which the floor admits instances.

    The values up to SICK are those of ``HealthState``. Instances of any rank but
    HEALTHY are called unhealthy.
    """

    HEALTHY = 0
    PROBATION = 1
    SICK = 2
    UNREACHABLE = 3


class InstanceHealth(NamedTuple):
    """Health of one instance in the view of this VM.

    ``weight`` is the share of full traffic that an instance on probation gets.
    ``badness`` orders instances of the same rank. ``is_cold`` is True while the
    instance is slow after its start.
    """

    address: str
    rank: Rank
    badness: float
    weight: float
    is_cold: bool
    is_leaving: bool


class FloorDecision(NamedTuple):
    """Weights by address, and whether the floor admitted any unhealthy instance.

    ``on_probation`` holds the addresses of instances on probation that the floor has
    not admitted.
    """

    weight_by_address: dict[str, float]
    is_floor_bound: bool
    on_probation: frozenset[str]


def apply_floor(
    instances: Sequence[InstanceHealth], floor_percent: int
) -> FloorDecision:
    """Return the weight of every instance, 0 for excluded ones.

    Leaving instances have weight 0 and do not count. Cold instances get traffic but
    are no capacity. If the healthy capacity is below the floor, unhealthy instances
    are admitted with full weight, ordered by rank and then by badness.
    """
    present = [instance for instance in instances if not instance.is_leaving]
    min_capacity = math.ceil(len(present) * floor_percent / 100.0)
    weights = {instance.address: 0.0 for instance in instances}
    capacity = 0
    unhealthy: list[InstanceHealth] = []
    for instance in present:
        if instance.rank is Rank.HEALTHY:
            weights[instance.address] = FULL_WEIGHT
            capacity += 0 if instance.is_cold else 1
            continue
        if instance.rank is Rank.PROBATION:
            weights[instance.address] = instance.weight
        unhealthy.append(instance)
    unhealthy.sort(key=lambda instance: (instance.rank, instance.badness))
    admitted = unhealthy[: max(0, min_capacity - capacity)]
    for instance in admitted:
        weights[instance.address] = FULL_WEIGHT
    on_probation = {c.address for c in unhealthy if c.rank is Rank.PROBATION}
    on_probation.difference_update(instance.address for instance in admitted)
    return FloorDecision(weights, bool(admitted), frozenset(on_probation))
