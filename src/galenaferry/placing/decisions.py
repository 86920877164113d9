"""Choice among the instances of a service: a pure decision.

Answers the load where a service's slots are used at well under their number and
most of what is lost goes to instances that fail for some seconds: an instance that
is probably sick gets nothing, except for trials by few VMs, and among the others
the one that costs least is taken.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from ..backends.choice import Choice, Chosen, NoInstance
from ..backends.messages import Instance

ELIGIBLE_BELOW: Final = 0.32
"""Sickness up to which any request may go to an instance: a little above what
is usual (``FaultModel.stationary_probability``), so that time alone brings it back."""
PROBE_BELOW: Final = 0.5
"""Sickness up to which requests that may be repeated find out, and single other
ones of few VMs."""
FAILURE_COST: Final = 1.0
"""Cost of a request that fails, the unit of all costs here."""
REPEATABLE_FAILURE_COST: Final = 0.4
"""Cost of a failure that another attempt makes good: its time and a part of the
retry budget."""
NEW_CONNECTION_COST: Final = 0.05
"""A new connection takes some slot time and about 1 ms (the brief)."""
CROSS_ZONE_COST: Final = 0.01
"""A round trip to another zone takes about a hundredth of a request's time."""
CROSS_ZONE_COST_PER_KB: Final = 0.006
"""Bytes between zones cost more than usual (the brief), so that large answers
stay in their zone."""
NOT_OWNED_COST: Final = 0.12
"""Cost of an instance whose slots other VMs are to use first. Above that of a new
connection, so that load returns to its owner after an instance was left out."""
IN_FLIGHT_COST: Final = 0.08
"""Cost of each request of this VM that the instance has in progress."""
COLD_START_COST: Final = 0.2
"""An instance that has just started is slow."""
BASELINE_SICK_PROBABILITY: Final = 0.25
"""Sickness below which instances count as equals
(``FaultModel.stationary_probability``)."""
MAX_JITTER: Final = 0.02
"""Spread that keeps VMs from choosing alike among equals."""


class Candidate(NamedTuple):
    """An instance as this VM sees it at this moment.

    ``sick_probability`` is the probability that it fails. ``is_prober`` tells that
    this VM is one of the few that try it early. ``has_recent_failure`` tells that
    the fleet saw it fail within the last seconds. ``is_unavailable`` stands for one
    that can't be reached from here or asked for a pause.
    """

    instance: Instance
    sick_probability: float
    is_prober: bool
    has_idle_connection: bool
    has_owned_slot: bool
    is_cross_zone: bool
    is_cold: bool
    in_flight: int
    has_recent_failure: bool
    is_unavailable: bool


class RequestProfile(NamedTuple):
    """What the request asks for; ``response_kb`` is the usual size of its answer."""

    is_repeatable: bool
    response_kb: float
    floor: float


def choose_instance(
    candidates: Sequence[Candidate], request: RequestProfile, random: Random
) -> Choice:
    """Return the instance that gets the request."""
    if not candidates:
        return NoInstance()
    available = [candidate for candidate in candidates if not candidate.is_unavailable]
    eligible = _eligible(available or list(candidates), request)
    best = min(eligible, key=lambda candidate: _cost(candidate, request, random))
    return Chosen(best.instance, is_borrowed=not best.has_owned_slot)


def _eligible(candidates: list[Candidate], request: RequestProfile) -> list[Candidate]:
    """Return the options that may get the request, never fewer than the floor.

    The floor counts instances that have not failed lately: of these a part may be
    left out that leaves ``request.floor`` of them.
    """
    eligible: list[Candidate] = []
    excluded: list[Candidate] = []
    for candidate in candidates:
        (eligible if _is_eligible(candidate, request) else excluded).append(candidate)
    if not excluded:
        return eligible
    without_recent_failure = sum(
        1 for candidate in candidates if not candidate.has_recent_failure
    )
    shortfall = math.ceil(request.floor * without_recent_failure) - len(eligible)
    if shortfall > 0 or not eligible:
        excluded.sort(
            key=lambda candidate: (
                candidate.has_recent_failure,
                candidate.sick_probability,
            )
        )
        eligible += excluded[: max(shortfall, 1)]
    return eligible


def _is_eligible(candidate: Candidate, request: RequestProfile) -> bool:
    sick_probability = candidate.sick_probability
    if sick_probability < (PROBE_BELOW if request.is_repeatable else ELIGIBLE_BELOW):
        return True
    return (
        sick_probability < PROBE_BELOW
        and candidate.is_prober
        and candidate.in_flight == 0
    )


def _cost(candidate: Candidate, request: RequestProfile, random: Random) -> float:
    # What makes an instance look better than usual is no reason for all VMs to
    # crowd there.
    cost = IN_FLIGHT_COST * candidate.in_flight + MAX_JITTER * random.random()
    if candidate.sick_probability > BASELINE_SICK_PROBABILITY:
        failure_cost = (
            REPEATABLE_FAILURE_COST if request.is_repeatable else FAILURE_COST
        )
        cost += failure_cost * (candidate.sick_probability - BASELINE_SICK_PROBABILITY)
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if not candidate.has_owned_slot:
        cost += NOT_OWNED_COST
    if candidate.is_cross_zone:
        cost += CROSS_ZONE_COST + CROSS_ZONE_COST_PER_KB * request.response_kb
    if candidate.is_cold:
        cost += COLD_START_COST
    return cost
