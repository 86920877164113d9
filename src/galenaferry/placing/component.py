"""Instances, their connections and beliefs, bound to the request path."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final, NamedTuple

import xxhash

from ..attempts.messages import Evidence
from ..backends.borrowing import BorrowingPolicy
from ..backends.choice import Choice
from ..backends.messages import CapacityShare, Instance, SelectionCriteria
from ..backends.ownership import Vm, owned_slots
from ..backends.pool import InstancePool
from ..clock import Millis
from ..configuration.policy import Policy
from ..health.beliefs import Belief, Beliefs, Outcome, SicknessModel
from ..health.messages import Outcomes, Shown, instance_key
from ..logs import logger
from ..network.loop import Loop
from .decisions import TRIAL_BELOW, Option, Wish, choose_option
from .latency import UsualLatency
from .reach import Reach

CONNECTION_RESERVE: Final = 0.9
"""Part of an instance's connections that the fleet uses; the rest is for VMs
that are being replaced."""
PROOF_OF_LIFE_MS: Final = 5_000.0
"""A VM sends a service one or two requests a second, to a few instances; with a
second, as in ``backends.pool``, nearly each request would need a new connection."""
TRIERS: Final = 2
"""VMs that try an instance that was sick before the others use it again."""
FAILED_SPAN_MS: Final = 2_000.0
"""Time after a failure for which an instance is not taken for sound."""
TOLD_ABOVE: Final = 0.3
"""Sickness from which a good answer is news to other VMs."""
SLOW_FACTOR: Final = 2.0
"""An answer is slow beyond this many times what nine in ten stay below."""
DOUBTED_ABOVE: Final = 0.6
"""Sickness from which an overdue request is tried elsewhere if it may be."""
FORSAKEN_AFTER: Final = 1.5
"""An answer is not expected any more after this many times the time after which it
was overdue: three times what nine in ten answers stay below."""
SIZE_WEIGHT: Final = 0.2
"""Weight of the newest answer in the usual size of a route's answers."""

OUTCOME_BY_EVIDENCE: Final = {
    Evidence.SUCCESS: Outcome.GOOD,
    Evidence.FAILURE: Outcome.FAILED,
    Evidence.LINK: Outcome.UNREACHABLE,
    Evidence.CONNECTION: Outcome.DOUBTFUL,
    Evidence.SHED: Outcome.SHED,
}

log = logger("placing")


class PlacementSettings(NamedTuple):
    """Settings of placing; ``floor`` is the part of sound instances to use."""

    zone: str
    floor: float
    model: SicknessModel = SicknessModel()


class _Candidate(NamedTuple):
    """What does not change of an instance until the lists change."""

    instance: Instance
    name: str
    belief: Belief
    is_trier: bool
    is_own: bool
    is_remote: bool


class Placement:
    """Instances of all services, as ``backends.directory.Backends`` has it.

    Parameters
    ----------
    loop : Loop
    settings : PlacementSettings
    random : Random
    tell : callable
        Sends outcomes to the other VMs.
    """

    def __init__(
        self,
        loop: Loop,
        settings: PlacementSettings,
        random: Random,
        tell: Callable[[Outcomes], None],
    ) -> None:
        self._loop = loop
        self.settings = settings
        self._random = random
        self._tell = tell
        self._untold: list[Shown] = []
        self._beliefs = Beliefs(settings.model)
        self._reach = Reach()
        self._name_by_key: dict[int, str] = {}
        self._instance_by_address: dict[str, Instance] = {}
        self._pool_by_name: dict[str, InstancePool] = {}
        self._latency_by_route: dict[str, UsualLatency] = {}
        self._kb_by_route: dict[str, float] = {}
        self._borrowing = BorrowingPolicy()
        self._me = Vm("", settings.zone)
        self._vms: tuple[Vm, ...] = (self._me,)
        self._candidates_by_service: dict[str, list[_Candidate]] = {}
        self.zone = settings.zone
        self.by_service: dict[str, tuple[Instance, ...]] = {}
        self.on_capacity: Callable[[str], None] = lambda service: None

    def replace(self, instances: Iterable[Instance]) -> None:
        """Take over the newest list; instances that left get nothing new."""
        by_service: dict[str, list[Instance]] = {}
        present = [i for i in instances if not i.is_leaving]
        for instance in present:
            by_service.setdefault(instance.service, []).append(instance)
        self.by_service = {name: tuple(rows) for name, rows in by_service.items()}
        self._instance_by_address = {i.address: i for i in present}
        names = frozenset(i.name for i in present)
        self._name_by_key = {instance_key(name): name for name in names}
        self._beliefs.keep(names)
        self._reach.keep(names)
        for name in self._pool_by_name.keys() - names:
            self._pool_by_name.pop(name).close_all_idle()
        self._candidates_by_service.clear()

    def share_with(self, me: Vm, vms: tuple[Vm, ...]) -> None:
        """Share the slots with the VMs that are live now."""
        if vms != self._vms:
            self._me = me
            self._vms = vms
            self._candidates_by_service.clear()

    def has_service(self, service: str) -> bool:
        """Return True: a service without instances is refused, not denied."""
        return True

    def choose(
        self, criteria: SelectionCriteria, share: CapacityShare, may_borrow: bool
    ) -> Choice:
        """Return the choice for the next attempt of a request."""
        now = self._loop.clock.now()
        options = [
            self._option(candidate, now)
            for candidate in self._candidates(criteria.service, criteria.policy)
            if candidate.instance.address not in criteria.tried
        ]
        wish = Wish(
            is_repeatable=criteria.is_idempotent,
            answer_kb=self._kb_by_route.get(criteria.route, 1.0),
            floor=self.settings.floor,
        )
        return choose_option(options, wish, self._random)

    def capacity_share(self, policy: Policy) -> CapacityShare:
        """Return this VM's part of an instance's connections and slots."""
        usable = policy.connections_per_instance * CONNECTION_RESERVE
        return CapacityShare(
            connections=max(1, int(usable / len(self._vms))),
            slots=policy.slots_per_instance,
        )

    def pool(self, instance: Instance) -> InstancePool:
        """Return the pool of an instance."""
        pool = self._pool_by_name.get(instance.name)
        if pool is None:
            service = instance.service
            pool = InstancePool(
                self._loop,
                instance,
                lambda: self.on_capacity(service),
                PROOF_OF_LIFE_MS,
            )
            self._pool_by_name[instance.name] = pool
        return pool

    def borrowing_policy(self, service: str) -> BorrowingPolicy:
        """Return what is known of borrowing, which decides nothing here."""
        return self._borrowing

    def mark_draining(self, address: str) -> None:
        """Do nothing: the list tells which instances drain."""

    def close_idle(self) -> None:
        """Close connections that were idle too long."""
        for pool in self._pool_by_name.values():
            pool.close_idle()

    def observe(
        self,
        service: str,
        address: str,
        route: str,
        target: bytes,
        evidence: Evidence,
        latency: Millis,
    ) -> None:
        """Take the end of one attempt (see ``requests.context.Observer``)."""
        instance = self._instance_by_address.get(address)
        outcome = OUTCOME_BY_EVIDENCE.get(evidence)
        if instance is None or outcome is None:
            return
        now = self._loop.clock.now()
        if outcome is Outcome.GOOD:
            self._reach.on_answer(instance.name)
            usual = self._usual_latency(route)
            if 0.0 < SLOW_FACTOR * usual.bound < latency:
                # Told when the answer became overdue.
                outcome = None
            usual.add(latency)
        elif outcome is Outcome.UNREACHABLE:
            self._reach.on_failure(instance.name, now)
        if outcome is None:
            return
        belief = self._beliefs.of(instance.name, now)
        is_news = outcome is not Outcome.GOOD or belief.sick(now) > TOLD_ABOVE
        self._add(instance.name, outcome, "this VM", now)
        if is_news:
            self._tell_soon(Shown(instance_key(instance.name), outcome))

    def on_outcomes(self, sender: str, outcomes: Outcomes) -> None:
        """Take over what another VM saw."""
        now = self._loop.clock.now()
        for shown in outcomes.shown:
            name = self._name_by_key.get(shown.key)
            if name is not None:
                self._add(name, shown.outcome, sender, now)

    def _add(self, name: str, outcome: Outcome, source: str, now: Millis) -> None:
        """Take an outcome into account and log where it changes the belief."""
        belief = self._beliefs.of(name, now)
        was_suspected = belief.sick(now) >= TRIAL_BELOW
        belief.add(outcome, now)
        sick = belief.sick(now)
        if (sick >= TRIAL_BELOW) != was_suspected:
            log.info(
                "instance cleared" if was_suspected else "instance suspected",
                instance=name,
                outcome=outcome.name.lower(),
                told_by=source,
                sick=round(sick, 3),
            )

    def overdue_after(self, route: str, target: Millis) -> Millis:
        """Return the time beyond which an answer is overdue, 0 if not known.

        Before this VM has seen enough answers it is the target of the route.
        """
        return SLOW_FACTOR * self._usual_latency(route).bound or target

    def on_overdue(self, instance: Instance) -> None:
        """Take an overdue answer for a sign that the instance is sick."""
        now = self._loop.clock.now()
        self._add(instance.name, Outcome.SLOW, "this VM", now)
        self._tell_soon(Shown(instance_key(instance.name), Outcome.SLOW))

    def is_doubted(self, instance: Instance, waited: float) -> bool:
        """Whether no answer is expected any more (see ``requests.overdue``)."""
        if waited >= FORSAKEN_AFTER:
            return True
        now = self._loop.clock.now()
        return self._belief(instance, now).sick(now) > DOUBTED_ABOVE

    def note_size(self, route: str, size: int) -> None:
        """Learn the size in bytes of a route's answers."""
        known = self._kb_by_route.get(route, size / 1024.0)
        self._kb_by_route[route] = known + SIZE_WEIGHT * (size / 1024.0 - known)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        return {
            service: {
                instance.name: {
                    "address": instance.address,
                    "zone": instance.zone,
                    "sick": round(self._belief(instance, now).sick(now), 3),
                    "lost": self._reach.is_lost(instance.name, now),
                }
                for instance in instances
            }
            for service, instances in self.by_service.items()
        }

    def _option(self, candidate: _Candidate, now: Millis) -> Option:
        instance, name, belief, is_trier, is_own, is_remote = candidate
        pool = self._pool_by_name.get(name)
        is_paused = pool is not None and pool.paused_until > now
        # By position: this runs for each instance at each request.
        return Option(
            instance,
            belief.sick(now),
            is_trier,
            pool is not None and pool.has_idle,
            is_own,
            is_remote,
            instance.cold_until > now,
            0 if pool is None else pool.in_flight,
            now - belief.failed_at < FAILED_SPAN_MS,
            is_paused or self._reach.is_lost(name, now),
        )

    def _belief(self, instance: Instance, now: Millis) -> Belief:
        return self._beliefs.of(instance.name, now)

    def _candidates(self, service: str, policy: Policy) -> list[_Candidate]:
        """Return the instances of a service with what changes seldom."""
        candidates = self._candidates_by_service.get(service)
        if candidates is None:
            now = self._loop.clock.now()
            listed = self.by_service.get(service, ())
            slots = policy.slots_per_instance
            owned = owned_slots(self._me, self._vms, service, listed, slots)
            candidates = [
                _Candidate(
                    instance,
                    instance.name,
                    self._belief(instance, now),
                    self._is_trier(instance),
                    instance.address in owned,
                    instance.zone != self.zone,
                )
                for instance in listed
            ]
            self._candidates_by_service[service] = candidates
        return candidates

    def _is_trier(self, instance: Instance) -> bool:
        """Whether this VM is one of the few that try an instance early."""
        near = [vm for vm in self._vms if vm.zone == instance.zone] or self._vms
        ranked = sorted(near, key=lambda vm: _hash(vm.address, instance.name))
        return self._me in ranked[:TRIERS]

    def _usual_latency(self, route: str) -> UsualLatency:
        usual = self._latency_by_route.get(route)
        if usual is None:
            usual = self._latency_by_route[route] = UsualLatency()
        return usual

    def _tell_soon(self, shown: Shown) -> None:
        if not self._untold:
            self._loop.soon(self._tell_all)
        self._untold.append(shown)

    def _tell_all(self) -> None:
        untold, self._untold = self._untold, []
        self._tell(Outcomes(tuple(untold)))


def _hash(first: str, second: str) -> int:
    return xxhash.xxh64_intdigest(f"{first}\n{second}".encode())
