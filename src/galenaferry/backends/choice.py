"""Load balancing: choice of the instance for an attempt, as pure functions.

Slots that this VM owns (see ``ownership``) come first. Beyond them it borrows slots
of other VMs: of two candidates drawn at random from its own availability zone it
uses the less loaded one, which balances load almost evenly without exchanging load
figures [1]_. One candidate from another zone competes at a higher cost.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load
   balancing", IEEE TPDS 12(10), 2001.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import Instance, Load

REMOTE_ZONE_PENALTY: Final = 2.0
"""Factor on the cost of an instance in another zone."""
MIN_COLD_START_WEIGHT: Final = 0.1
"""Weight of an instance that has just started."""
BUSY_RECHECK_MS: Final = 50.0
"""Wait before the next choice if no permitted instance is paused."""


class Candidate(NamedTuple):
    """An instance that may get requests of a VM of ``galenaferry.entry``.

    ``weight``, above 0 and at most 1, is its load as a fraction of the load of a
    healthy instance.
    """

    instance: Instance
    weight: float


class Candidates(NamedTuple):
    """Candidates of a service, separated into the own zone and other zones."""

    local: tuple[Candidate, ...]
    remote: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class Chosen:
    """The instance for the next attempt.

    ``is_borrowed`` is True if the slot is not one that this VM owns.
    """

    instance: Instance
    is_borrowed: bool = False


@dataclass(frozen=True, slots=True)
class Busy:
    """No instance can take the request now.

    Every permitted instance is at its limit or paused after a shed, or the request
    waits for a slot that this VM owns.

    ``until`` is the monotonic time in milliseconds at which to choose again.
    """

    until: Millis


@dataclass(frozen=True, slots=True)
class NoInstance:
    """No instance is permitted for this request."""


Choice = Chosen | Busy | NoInstance
LoadOf = Callable[[Instance], Load]


def choose_owned(
    candidates: Candidates,
    owned: dict[str, int],
    load_of: LoadOf,
    now: Millis,
    random: Random,
) -> Instance | None:
    """Return an instance where this VM owns a free slot, or None.

    Parameters
    ----------
    candidates : Candidates
    owned : dict of int by str
        Number of slots that this VM owns, by address.
    load_of : callable
        Returns the current load of an instance.
    now : float
        Monotonic time in milliseconds.
    random : Random
    """
    free = []
    for candidate in candidates.local + candidates.remote:
        slots = owned.get(candidate.instance.address, 0)
        if not slots or random.random() >= candidate.weight:
            continue
        load = load_of(candidate.instance)
        if load.in_flight < slots and load.paused_until <= now:
            free.append(candidate.instance)
    return random.choice(free) if free else None


def choose(
    candidates: Candidates,
    tried: Collection[str],
    load_of: LoadOf,
    now: Millis,
    random: Random,
) -> Choice:
    """Choose an instance for the next attempt by its load, to borrow a slot.

    Parameters
    ----------
    candidates : Candidates
    tried : collection of str
        Addresses of instances that the request was sent to before.
    load_of : callable
        Returns the current load of an instance.
    now : float
        Monotonic time in milliseconds.
    random : Random
    """
    best: Candidate | None = None
    best_cost = 0.0
    for group, count, penalty in (
        (candidates.local, 2, 1.0),
        (candidates.remote, 1, REMOTE_ZONE_PENALTY),
    ):
        for candidate in _sample(group, count, tried, random):
            load = load_of(candidate.instance)
            if not _is_free(load, now):
                continue
            cost = penalty * (load.in_flight + 1) / candidate.weight
            if best is None or cost < best_cost:
                best, best_cost = candidate, cost
    if best is not None:
        return Chosen(best.instance, is_borrowed=True)
    return _choose_least_loaded(candidates, tried, load_of, now)


def cold_start_weight(age: Millis, cold_start: Millis) -> float:
    """Return the weight of an instance by its age, both times in milliseconds."""
    if age >= cold_start:
        return 1.0
    return max(MIN_COLD_START_WEIGHT, age / cold_start)


def _sample(
    group: Sequence[Candidate], count: int, tried: Collection[str], random: Random
) -> list[Candidate]:
    """Draw up to ``count`` candidates; lower weight means a lower probability."""
    sampled = []
    for _ in range(count if group else 0):
        candidate = group[int(random.random() * len(group))]
        if candidate.instance.address in tried:
            continue
        if candidate.weight >= 1.0 or random.random() < candidate.weight:
            sampled.append(candidate)
    return sampled


def _choose_least_loaded(
    candidates: Candidates, tried: Collection[str], load_of: LoadOf, now: Millis
) -> Choice:
    """Return the least loaded free instance, or the time of the next choice."""
    allowed = [
        candidate
        for candidate in candidates.local + candidates.remote
        if candidate.instance.address not in tried
    ]
    if not allowed:
        return NoInstance()
    loads = [load_of(candidate.instance) for candidate in allowed]
    free = [
        ((load.in_flight + 1) / candidate.weight, number)
        for number, (candidate, load) in enumerate(zip(allowed, loads))
        if _is_free(load, now)
    ]
    if free:
        return Chosen(allowed[min(free)[1]].instance, is_borrowed=True)
    pauses = [load.paused_until for load in loads if load.paused_until > now]
    return Busy(min(pauses, default=now + BUSY_RECHECK_MS))


def _is_free(load: Load, now: Millis) -> bool:
    return load.in_flight < load.window and load.paused_until <= now
