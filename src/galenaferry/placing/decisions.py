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

TRUSTED_BELOW: Final = 0.32
"""Sickness up to which any request may go to an instance: a little above what
is usual (``SicknessModel.usual``), so that time alone brings it back."""
TRIAL_BELOW: Final = 0.5
"""Sickness up to which requests that may be repeated find out, and single other
ones of few VMs."""
RISK_COST: Final = 1.0
"""Cost of a request that fails, the unit of all costs here."""
REPEATABLE_RISK_COST: Final = 0.4
"""Cost of a failure that another attempt makes good: its time and a part of the
retry budget."""
CONNECTION_COST: Final = 0.05
"""A new connection takes some slot time and about 1 ms (the brief)."""
REMOTE_COST: Final = 0.01
"""A round trip to another zone takes about a hundredth of a request's time."""
REMOTE_COST_PER_KB: Final = 0.006
"""Bytes between zones cost more than usual (the brief), so that large answers
stay in their zone."""
STRANGE_COST: Final = 0.12
"""Cost of an instance whose slots other VMs are to use first. Above that of a new
connection, so that load returns to its owner after an instance was left out."""
LOAD_COST: Final = 0.08
"""Cost of each request of this VM that the instance has in progress."""
COLD_COST: Final = 0.2
"""An instance that has just started is slow."""
USUAL_RISK: Final = 0.25
"""Sickness below which instances count as equals (``SicknessModel.usual``)."""
JITTER: Final = 0.02
"""Spread that keeps VMs from choosing alike among equals."""


class Option(NamedTuple):
    """An instance as this VM sees it at this moment.

    ``sick`` is the probability that it fails. ``is_trier`` tells that this VM is
    one of the few that try it early. ``failed_lately`` tells that the fleet saw it
    fail within the last seconds. ``is_avoided`` stands for one that can't be
    reached from here or asked for a pause.
    """

    instance: Instance
    sick: float
    is_trier: bool
    is_warm: bool
    is_own: bool
    is_remote: bool
    is_cold: bool
    in_flight: int
    failed_lately: bool
    is_avoided: bool


class Wish(NamedTuple):
    """What the request asks for; ``answer_kb`` is the usual size of its answer."""

    is_repeatable: bool
    answer_kb: float
    floor: float


def choose_option(options: Sequence[Option], wish: Wish, random: Random) -> Choice:
    """Return the instance that gets the request."""
    if not options:
        return NoInstance()
    reachable = [option for option in options if not option.is_avoided]
    trusted = _trusted(reachable or list(options), wish)
    best = min(trusted, key=lambda option: _cost(option, wish, random))
    return Chosen(best.instance, is_borrowed=not best.is_own)


def _trusted(options: list[Option], wish: Wish) -> list[Option]:
    """Return the options that may get the request, never fewer than the floor.

    The floor counts instances that have not failed lately: of these a part may be
    left out that leaves ``wish.floor`` of them.
    """
    trusted: list[Option] = []
    left_out: list[Option] = []
    for option in options:
        (trusted if _is_trusted(option, wish) else left_out).append(option)
    if not left_out:
        return trusted
    sound = sum(1 for option in options if not option.failed_lately)
    missing = math.ceil(wish.floor * sound) - len(trusted)
    if missing > 0 or not trusted:
        left_out.sort(key=lambda option: (option.failed_lately, option.sick))
        trusted += left_out[: max(missing, 1)]
    return trusted


def _is_trusted(option: Option, wish: Wish) -> bool:
    sick = option.sick
    if sick < (TRIAL_BELOW if wish.is_repeatable else TRUSTED_BELOW):
        return True
    return sick < TRIAL_BELOW and option.is_trier and option.in_flight == 0


def _cost(option: Option, wish: Wish, random: Random) -> float:
    # What makes an instance look better than usual is no reason for all VMs to
    # crowd there.
    cost = LOAD_COST * option.in_flight + JITTER * random.random()
    if option.sick > USUAL_RISK:
        unit = REPEATABLE_RISK_COST if wish.is_repeatable else RISK_COST
        cost += unit * (option.sick - USUAL_RISK)
    if not option.is_warm:
        cost += CONNECTION_COST
    if not option.is_own:
        cost += STRANGE_COST
    if option.is_remote:
        cost += REMOTE_COST + REMOTE_COST_PER_KB * wish.answer_kb
    if option.is_cold:
        cost += COLD_COST
    return cost
