"""Choice of the instance for an attempt: a pure decision.

Slots that this VM owns come first. Beyond them it borrows: two candidates of the
own availability zone are drawn at random and the less loaded one is taken, which
spreads work almost evenly without shared load figures [1]_; one candidate of
another zone competes at a penalty.

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
MIN_COLD_START_WEIGHT: Final = 0.1
BUSY_RECHECK_MS: Final = 50.0


class Candidate(NamedTuple):
    """An instance that may get work, and the part of full work it may get."""

    instance: Instance
    weight: float


class Candidates(NamedTuple):
    """The candidates of a service, those of the own zone apart."""

    local: tuple[Candidate, ...]
    remote: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class Chosen:
    """The instance for the next attempt.

    ``is_borrowed`` tells that another VM owns the slot.
    """

    instance: Instance
    is_borrowed: bool = False


@dataclass(frozen=True, slots=True)
class Busy:
    """Every allowed instance is at its limit until ``until`` milliseconds."""

    until: Millis


@dataclass(frozen=True, slots=True)
class NoInstance:
    """No instance may get this request."""


Choice = Chosen | Busy | NoInstance
LoadOf = Callable[[Instance], Load]


def choose_owned(
    candidates: Candidates,
    owned: dict[str, int],
    load_of: LoadOf,
    now: Millis,
    random: Random,
) -> Instance | None:
    """Return an instance where this VM has a free slot of its own.

    Parameters
    ----------
    candidates : Candidates
    owned : dict of int by str
        Number of own slots by address.
    load_of : callable
    now : float
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
    """Return the instance that gets the next attempt.

    Parameters
    ----------
    candidates : Candidates
    tried : collection of str
        Addresses that the request has been sent to before.
    load_of : callable
        Gives the present load of an instance.
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
    """Return the part of full work for an instance of the given age."""
    if age >= cold_start:
        return 1.0
    return max(MIN_COLD_START_WEIGHT, age / cold_start)


def _sample(
    group: Sequence[Candidate], count: int, tried: Collection[str], random: Random
) -> list[Candidate]:
    """Draw candidates; one of less weight is passed over in proportion."""
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
    """Return the least loaded free instance, or say how long to wait."""
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
