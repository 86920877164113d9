"""Choice among the instances of a service, without side effects.

Made for services whose slots are mostly free and that lose most requests to instances
that fail for some seconds. An instance that is probably sick gets no requests unless
the floor needs it. Without outcomes its sick probability decays. Below ``PROBE_BELOW``
it gets probes, real requests that find out whether it has recovered: idempotent
requests of any VM, and single other requests of a few VMs, its probers. Below
``ELIGIBLE_BELOW`` it may get any request. Of the eligible instances the one with the
lowest cost is chosen.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from ..backends.choice import Choice, Chosen, NoInstance
from ..backends.messages import Instance

ELIGIBLE_BELOW: Final = 0.32
"""Sick probability below which an instance may get any request.

A little above ``FaultModel.stationary_probability``, to which the probability decays,
so that an excluded instance comes back without any outcome.
"""
PROBE_BELOW: Final = 0.5
"""Sick probability below which an instance may get idempotent requests of any VM, and
single other requests of its probers. They find out whether it has recovered."""
FAILURE_COST: Final = 1.0
"""Cost of a failed request that is not idempotent; the unit of all costs."""
IDEMPOTENT_FAILURE_COST: Final = 0.4
"""Cost of a failed idempotent request: the time of a retry and a part of the retry
budget."""
NEW_CONNECTION_COST: Final = 0.05
"""Cost of a new connection, which takes some slot time and about 1 ms."""
REMOTE_ZONE_COST: Final = 0.01
"""Cost of another zone: a round trip takes about a hundredth of a request's time."""
REMOTE_ZONE_COST_PER_KB: Final = 0.006
"""Cost of another zone per KiB of the response. It keeps large responses in their zone,
because traffic between zones is more expensive than usual."""
NOT_OWNED_COST: Final = 0.12
"""Cost of an instance of which this VM owns no slot.

Above the cost of a new connection, so that load returns to the owners of an instance
after it was excluded.
"""
IN_FLIGHT_COST: Final = 0.08
"""Cost per request that this VM has in progress at the instance."""
COLD_START_COST: Final = 0.2
"""Cost of a cold instance, which is slow for some time after its start."""
SAVED_REQUEST_VALUE: Final = 0.3
"""Cost that is saved by using this VM's share of a limited instance, which no other VM
can use. Above the costs of an instance in another zone that this VM does not own."""
BASELINE_SICK_PROBABILITY: Final = 0.25
"""Sick probability up to which the cost does not depend on it.

Equal to ``FaultModel.stationary_probability``.
"""
MAX_JITTER: Final = 0.02
"""Largest random cost; it keeps VMs from choosing the same one of equal instances."""


class Candidate(NamedTuple):
    """Present state of an instance in the view of this VM.

    ``backends.choice.Candidate`` is its counterpart for VMs of ``galenaferry.entry``.
    ``is_prober`` says that this VM is one of the few that probe the instance before
    the others send it requests that are not idempotent. ``has_recent_failure`` says
    that any VM saw it fail within the last seconds. ``is_unavailable`` says that this
    VM can't reach it or pauses it after a shed. ``has_saved_request`` says that the
    instance limits its requests and that this VM has saved up one of its share.
    """

    instance: Instance
    sick_probability: float
    is_prober: bool
    has_idle_connection: bool
    has_owned_slot: bool
    is_remote_zone: bool
    is_cold: bool
    in_flight: int
    has_recent_failure: bool
    is_unavailable: bool
    has_saved_request: bool = False


class RequestProfile(NamedTuple):
    """Properties of the request that affect the choice.

    ``response_kb`` is the mean size of responses of its route in KiB. ``floor`` is the
    smallest share of the instances without a recent failure that may be chosen from.
    """

    is_idempotent: bool
    response_kb: float
    floor: float


def choose_instance(
    candidates: Sequence[Candidate], request: RequestProfile, random: Random
) -> Choice:
    """Return the instance with the lowest cost, ``NoInstance`` without candidates.

    If all candidates are unavailable, it is chosen from them.
    """
    if not candidates:
        return NoInstance()
    available = [candidate for candidate in candidates if not candidate.is_unavailable]
    eligible = _eligible(available or list(candidates), request)
    best = min(eligible, key=lambda candidate: _cost(candidate, request, random))
    return Chosen(best.instance, is_borrowed=not best.has_owned_slot)


def _eligible(candidates: list[Candidate], request: RequestProfile) -> list[Candidate]:
    """Return the candidates that may get the request, at least as many as the floor.

    The floor is the share ``request.floor`` of the candidates without a recent failure.
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
    if sick_probability < (PROBE_BELOW if request.is_idempotent else ELIGIBLE_BELOW):
        return True
    return (
        sick_probability < PROBE_BELOW
        and candidate.is_prober
        and candidate.in_flight == 0
    )


def _cost(candidate: Candidate, request: RequestProfile, random: Random) -> float:
    # Probabilities below the baseline cost the same; else all VMs would send their
    # requests to the instance that looks best.
    cost = IN_FLIGHT_COST * candidate.in_flight + MAX_JITTER * random.random()
    if candidate.sick_probability > BASELINE_SICK_PROBABILITY:
        failure_cost = (
            IDEMPOTENT_FAILURE_COST if request.is_idempotent else FAILURE_COST
        )
        cost += failure_cost * (candidate.sick_probability - BASELINE_SICK_PROBABILITY)
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if not candidate.has_owned_slot:
        cost += NOT_OWNED_COST
    if candidate.is_remote_zone:
        cost += REMOTE_ZONE_COST + REMOTE_ZONE_COST_PER_KB * request.response_kb
    if candidate.is_cold:
        cost += COLD_START_COST
    if candidate.has_saved_request:
        cost -= SAVED_REQUEST_VALUE
    return cost
