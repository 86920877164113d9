"""Messages about instance health that VMs exchange."""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from ..crashes.messages import CrashNote
from .posteriors import Outcome


class HealthState(IntEnum):
    """Health of an instance as decided by a home VM of its service.

    A SICK instance is ejected: it gets no traffic unless the floor admits it. One on
    PROBATION gets a limited share (see ``readmission``).
    """

    HEALTHY = 0
    PROBATION = 1
    SICK = 2


class Counts(NamedTuple):
    """Totals for one instance since the reporting VM started.

    Cumulative totals make reports idempotent: a lost, duplicated or reordered
    report is corrected by the next one. ``key`` is an ``instance_key``.
    """

    key: int
    requests: int
    failures: int
    slow: int


class Report(NamedTuple):
    """Totals that one VM sends to a home VM of the instances' services."""

    counts: tuple[Counts, ...]


class Verdict(NamedTuple):
    """State of one instance as decided by a home VM of its service.

    ``permille`` is the share of its full traffic, in thousandths, that it may get on
    probation. ``badness`` is its recent failure rate; when the floor readmits
    instances, those with the lowest badness come first.
    """

    key: int
    state: HealthState
    permille: int
    badness: float


class Verdicts(NamedTuple):
    """Verdicts of one home VM on instances that are not healthy, or were not before."""

    verdicts: tuple[Verdict, ...]


class InstanceOutcome(NamedTuple):
    """Outcome of one attempt at the instance with ``key``.

    ``id`` is a random number that identifies the outcome when it arrives more than
    once, 0 if it has none. ``limit_per_second`` is the limit of a ``LIMITED`` one.
    """

    key: int
    outcome: Outcome
    id: int = 0
    limit_per_second: float = 0.0


class Outcomes(NamedTuple):
    """Outcomes that VMs saw and that other VMs should apply to their posteriors.

    ``is_for_zone`` says that the receiver should send them on to the VMs of its zone.
    ``crash_notes`` are about requests that may crash instances.
    """

    instance_outcomes: tuple[InstanceOutcome, ...]
    is_for_zone: bool = False
    crash_notes: tuple[CrashNote, ...] = ()


def instance_key(identity: str) -> int:
    """Return the 64-bit key of an instance in messages between VMs.

    ``identity`` is a string that names the instance in the same way on every VM: its
    address, or its ``Instance.name``.
    """
    return xxhash.xxh64_intdigest(identity.encode())
