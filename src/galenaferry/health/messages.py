"""Evidence and verdicts that VMs exchange about instances."""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from .posteriors import Outcome


class HealthState(IntEnum):
    """Health of an instance as the fleet sees it."""

    HEALTHY = 0
    PROBATION = 1
    SICK = 2


class Counts(NamedTuple):
    """Totals since the reporter's start for one instance.

    Totals make reports idempotent: a lost, repeated or overtaken report is
    made good by the next one.
    """

    key: int
    requests: int
    failures: int
    slow: int


class Report(NamedTuple):
    """Totals that one VM sends to a home of their services."""

    counts: tuple[Counts, ...]


class Verdict(NamedTuple):
    """State of one instance as decided by a home of its service.

    ``permille`` is the part of full work that it may get in probation, and
    ``badness`` orders sick instances where the floor admits some of them.
    """

    key: int
    state: HealthState
    permille: int
    badness: float


class Verdicts(NamedTuple):
    """Verdicts of one home that are not healthy, or were not a moment ago."""

    verdicts: tuple[Verdict, ...]


class InstanceOutcome(NamedTuple):
    """What one attempt showed of the instance with ``key``."""

    key: int
    outcome: Outcome


class Outcomes(NamedTuple):
    """Outcomes at one VM that change what others should expect of instances."""

    instance_outcomes: tuple[InstanceOutcome, ...]


def instance_key(identity: str) -> int:
    """Return the 64-bit key that stands for an instance between VMs.

    ``identity`` is whatever names the instance at every VM.
    """
    return xxhash.xxh64_intdigest(identity.encode())
