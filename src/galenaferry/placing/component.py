"""Placement of requests: instances, their connection pools and posteriors.

``Placement`` implements the interfaces of the request path (``Backends``, ``Observer``
and ``OverduePolicy``) and shares the outcomes of attempts with the other VMs.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final

from ..attempts.messages import Evidence
from ..backends.borrowing import BorrowingPolicy
from ..backends.choice import Choice, Chosen
from ..backends.messages import CapacityShare, Instance, SelectionCriteria
from ..backends.ownership import Vm
from ..backends.pool import InstancePool
from ..clock import Millis
from ..configuration.policy import Policy
from ..drain.admission import ResponseTimes
from ..health.messages import InstanceOutcome, instance_key
from ..health.posteriors import Outcome, Posterior, Posteriors
from ..network.loop import Loop
from ..overload.monitor import OverloadMonitor
from ..routing.table import Route
from .announcements import Announcements
from .candidates import StaticCandidate, StaticCandidates
from .decisions import Candidate, RequestProfile, choose_instance
from .outcome_queue import OutcomeQueue
from .reachability import Reachability
from .request_limits import RequestLimits
from .route_statistics import RouteStatistics
from .settings import OUTCOME_BY_EVIDENCE, PlacementSettings
from .suspicion import update_posterior

USABLE_CONNECTION_FRACTION: Final = 0.9
"""Share of an instance's connections that the live VMs use; the rest is for VMs
that are being replaced."""
NON_IDEMPOTENT_IDLE_LIMIT_MS: Final = 5_000.0
"""Longest idle time of a connection that gets a request that is not idempotent.

A VM sends a service one or two requests per second, to a few instances; with 1 s, as
in ``backends.pool``, nearly every request would need a new connection.
"""
RECENT_FAILURE_MS: Final = 2_000.0
"""Time after a failure for which an instance does not count toward the floor."""
BROADCAST_SUCCESS_ABOVE: Final = 0.3
"""Sick probability above which a success is sent to the other VMs."""
REJECTION_MS: Final = 2_000.0
"""Time after a rejection for which a service counts as lacking room."""
ABANDON_ABOVE: Final = 0.6
"""Sick probability above which an overdue attempt is abandoned for a retry."""
ABANDON_AFTER_FACTOR: Final = 1.5
"""An attempt is abandoned for a retry after this many times the overdue time: three
times the 90th percentile."""


class Placement:
    """Instances of all services (see ``backends.directory.Backends``).

    Parameters
    ----------
    loop : Loop
    settings : PlacementSettings
    random : Random
    broadcast : callable
        Sends outcomes to all other VMs.
    overload : OverloadMonitor or None
        Learns the rejections of all VMs; None without admission control.
    """

    def __init__(
        self,
        loop: Loop,
        settings: PlacementSettings,
        random: Random,
        broadcast: Callable[[tuple[InstanceOutcome, ...]], None],
        overload: OverloadMonitor | None = None,
    ) -> None:
        self._overload = overload
        self._loop = loop
        self.settings = settings
        self._random = random
        self._outcomes = OutcomeQueue(loop, broadcast)
        self._posteriors = Posteriors(settings.model)
        self._reachability = Reachability()
        self._announcements = Announcements()
        self._request_limits = RequestLimits(random, loop.clock.now())
        self._instance_by_key: dict[int, Instance] = {}
        self._listed_names: frozenset[str] = frozenset()
        self._instance_by_address: dict[str, Instance] = {}
        self._pool_by_name: dict[str, InstancePool] = {}
        self._routes = RouteStatistics()
        self._rejected_at_by_service: dict[str, Millis] = {}
        self._borrowing = BorrowingPolicy()
        self._static_candidates = StaticCandidates(settings.zone)
        self.zone = settings.zone
        self.by_service: dict[str, tuple[Instance, ...]] = {}
        self.on_capacity: Callable[[str], None] = lambda service: None

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the instance list; instances that left get no new requests."""
        by_service: dict[str, list[Instance]] = {}
        present = [i for i in instances if not i.is_leaving]
        for instance in present:
            by_service.setdefault(instance.service, []).append(instance)
        self.by_service = {name: tuple(rows) for name, rows in by_service.items()}
        self._instance_by_address = {i.address: i for i in present}
        names = self._listed_names = frozenset(i.name for i in present)
        self._instance_by_key = {instance_key(i.name): i for i in present}
        self._posteriors.retain_only(names)
        self._reachability.retain_only(names)
        self._request_limits.retain_only(names, self._loop.clock.now())
        for service in self._rejected_at_by_service.keys() - by_service.keys():
            del self._rejected_at_by_service[service]
        for name in self._pool_by_name.keys() - names:
            self._pool_by_name.pop(name).close_all_idle()
        self._static_candidates.clear()
        if self._overload is not None:
            self._overload.replace_instances(self.by_service)

    def set_live_vms(self, me: Vm, vms: tuple[Vm, ...]) -> None:
        """Divide slots and connections among the VMs that are live now."""
        self._static_candidates.set_live_vms(me, vms)
        self._request_limits.set_live_vms(me, vms, self._loop.clock.now())

    def has_service(self, service: str) -> bool:
        """Return True: a service without instances is unavailable, not unknown."""
        return True

    def choose(
        self, criteria: SelectionCriteria, share: CapacityShare, may_borrow: bool
    ) -> Choice:
        """Return the choice for the next attempt of a request.

        ``share`` and ``may_borrow`` are ignored: owned slots are preferred by cost.
        """
        now = self._loop.clock.now()
        untried = [
            static_candidate
            for static_candidate in self._candidates(criteria.service, criteria.policy)
            if static_candidate.instance.address not in criteria.tried
        ]
        if self._request_limits:
            may_send = self._request_limits.may_send
            untried = [static for static in untried if may_send(static.name, now)]
        if not self._announcements.is_empty:
            drain_timeout = self.settings.drain_timeout
            untried = self._announcements.usable(untried, drain_timeout, now)
        candidates = [self._candidate(static, now) for static in untried]
        profile = RequestProfile(
            is_idempotent=criteria.is_idempotent,
            response_kb=self._routes.response_kb(criteria.route),
            floor=self.settings.floor,
        )
        choice = choose_instance(candidates, profile, self._random)
        if isinstance(choice, Chosen):
            self._request_limits.on_sent(choice.instance.name, now)
        return choice

    def next_return(self, service: str) -> Millis | None:
        """Return when a service that takes no requests now is expected to take one.

        The time is monotonic, in milliseconds. It is the end of the first pause, or the
        mean time until the fleet may send a request to one of the limited instances.
        None if some instance takes requests of this VM.
        """
        now = self._loop.clock.now()
        times: list[Millis] = []
        limit_per_second = 0.0
        for instance in self.by_service.get(service, ()):
            name = instance.name
            if self._announcements.is_leaving(name):
                continue
            paused_until = self._announcements.paused_until(name, now)
            if paused_until > now:
                times.append(paused_until)
            elif self._request_limits.may_send(name, now):
                return None
            else:
                limit_per_second += self._request_limits.per_second(name) or 0.0
        if limit_per_second:
            times.append(now + 1000.0 / limit_per_second)
        return min(times, default=None)

    def capacity_share(self, policy: Policy) -> CapacityShare:
        """Return this VM's part of an instance's connections, and all of its slots."""
        usable_connections = (
            policy.connections_per_instance * USABLE_CONNECTION_FRACTION
        )
        return CapacityShare(
            connections=max(
                1, int(usable_connections / self._static_candidates.vm_count)
            ),
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
                NON_IDEMPOTENT_IDLE_LIMIT_MS,
            )
            self._pool_by_name[instance.name] = pool
        return pool

    def borrowing_policy(self, service: str) -> BorrowingPolicy:
        """Return the borrowing statistics, which do not affect placement."""
        return self._borrowing

    def mark_draining(self, instance: Instance) -> None:
        """Send no new requests to an instance that announced that it leaves."""
        now = self._loop.clock.now()
        if self._announcements.on_leaving(instance.name, "this VM", now):
            self._outcomes.append(
                InstanceOutcome(instance_key(instance.name), Outcome.LEAVING)
            )

    def is_leaving(self, name: str) -> bool:
        """Whether an instance has announced that it leaves."""
        return self._announcements.is_leaving(name)

    def unusable_leaving_keys(self, service: str) -> tuple[int, ...]:
        """Return the keys of leaving instances that get no new requests at all."""
        names = [instance.name for instance in self.by_service.get(service, ())]
        leaving = self._announcements.unusable_leaving(
            names,
            self._listed_names,
            self.settings.drain_timeout,
            self._loop.clock.now(),
        )
        return tuple(map(instance_key, leaving))

    def on_unusable_leaving(self, keys: Iterable[int], source: str) -> None:
        """Send no requests to leaving instances that another VM sends none to."""
        since = self._loop.clock.now() - self.settings.drain_timeout
        for key in keys:
            instance = self.find_instance(key)
            if instance is not None:
                self._announcements.on_leaving(instance.name, source, since)

    def find_instance(self, key: int) -> Instance | None:
        """Return the listed instance with a key."""
        return self._instance_by_key.get(key)

    def pause(self, instance: Instance, interval: Millis) -> None:
        """Send no requests to an instance that asked for a pause."""
        now = self._loop.clock.now()
        self._announcements.on_pause(instance.name, interval, now)

    def limit_requests(self, instance: Instance, per_second: float) -> None:
        """Keep to the limit that an instance names for the requests of the fleet."""
        now = self._loop.clock.now()
        if self._request_limits.on_named(instance, per_second, "this VM", now):
            self._outcomes.append(
                InstanceOutcome(
                    instance_key(instance.name),
                    Outcome.LIMITED,
                    limit_per_second=per_second,
                )
            )

    def end_request_limit(self, instance: Instance, sent_at: Millis) -> None:
        """Handle a success without a limit to a request that was sent at a time."""
        named_at = self._request_limits.named_at(instance.name)
        if named_at is None or sent_at <= named_at:
            return
        now = self._loop.clock.now()
        self._request_limits.on_unlimited(instance.name, "this VM", now)
        self._outcomes.append(
            InstanceOutcome(instance_key(instance.name), Outcome.UNLIMITED)
        )

    @property
    def limited_count(self) -> int:
        """Number of listed instances that limit their requests."""
        return sum(
            self._request_limits.per_second(instance.name) is not None
            for instance in self._instance_by_key.values()
        )

    @property
    def unreachable_count(self) -> int:
        """Number of listed instances that this VM can't reach."""
        return self._reachability.unreachable_count

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_name.values():
            pool.close_all_idle()

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
        """Apply the outcome of one attempt (see ``requests.context.Observer``)."""
        instance = self._instance_by_address.get(address)
        outcome = OUTCOME_BY_EVIDENCE.get(evidence)
        if instance is None or outcome is None:
            return
        now = self._loop.clock.now()
        if outcome is Outcome.GOOD:
            self._reachability.on_success(instance.name)
            if self._overload is not None:
                self._overload.on_answered(service, latency)
            # ``on_overdue`` has counted an overdue attempt as slow.
            if self._routes.record_latency(service, route, latency):
                outcome = None
        elif outcome is Outcome.UNREACHABLE:
            self._reachability.on_failure(instance.name, now)
        if outcome is None:
            return
        if outcome is Outcome.SHED:
            self._rejected_at_by_service[instance.service] = now
        posterior = self._posteriors.get(instance.name, now)
        is_broadcast = (
            outcome is not Outcome.GOOD
            or posterior.sick_probability(now) > BROADCAST_SUCCESS_ABOVE
        )
        self._apply_outcome(instance.name, outcome, "this VM", now)
        if is_broadcast:
            self._outcomes.append(InstanceOutcome(instance_key(instance.name), outcome))

    def on_outcomes(
        self, sender: str, instance_outcomes: tuple[InstanceOutcome, ...]
    ) -> None:
        """Apply outcomes that another VM saw."""
        now = self._loop.clock.now()
        for instance_outcome in instance_outcomes:
            instance = self._instance_by_key.get(instance_outcome.key)
            if instance is None:
                continue
            match instance_outcome.outcome:
                case Outcome.LEAVING:
                    self._announcements.on_leaving(instance.name, sender, now)
                case Outcome.LIMITED:
                    limit = instance_outcome.limit_per_second
                    self._request_limits.on_named(instance, limit, sender, now)
                case Outcome.UNLIMITED:
                    self._request_limits.on_unlimited(instance.name, sender, now)
                case outcome:
                    if outcome is Outcome.SHED:
                        self._rejected_at_by_service[instance.service] = now
                    self._apply_outcome(instance.name, outcome, sender, now)

    def _apply_outcome(
        self, name: str, outcome: Outcome, source: str, now: Millis
    ) -> None:
        """Update the posterior, unless the instance rejects for lack of room."""
        is_shed = outcome is Outcome.SHED
        if is_shed and self._overload is not None and self._overload.on_rejected(name):
            return
        posterior = self._posteriors.get(name, now)
        update_posterior(posterior, name, outcome, source, now)

    def overdue_after(self, route: Route) -> Millis:
        """Return the time in ms after which a response is overdue, 0 if unknown."""
        return self._routes.overdue_after(route)

    def second_attempt_after(self, route: Route) -> Millis:
        """Return the delay of a second attempt in milliseconds, 0 if unknown."""
        return self._routes.second_attempt_after(route)

    def record_lower_bound(self, route: Route, latency: Millis) -> None:
        """Record that a response would have taken longer than ``latency``."""
        self._routes.record_lower_bound(route, latency)

    def is_rejecting(self, service: str) -> bool:
        """Whether an instance of a service rejected a request of any VM recently."""
        rejected_at = self._rejected_at_by_service.get(service, -REJECTION_MS)
        return self._loop.clock.now() - rejected_at < REJECTION_MS

    def is_limited(self, service: str) -> bool:
        """Whether an instance of a service limits its requests."""
        return any(
            self._request_limits.per_second(instance.name) is not None
            for instance in self.by_service.get(service, ())
        )

    def response_times(self, route: Route) -> ResponseTimes:
        """Return the times that responses on a route take now, in milliseconds.

        The load is that of this VM alone: it does not know that of the others.
        """
        times = self._routes.response_times(route.name, route.target_latency)
        in_flight = slots = 0
        for instance in self.by_service.get(route.service, ()):
            pool = self._pool_by_name.get(instance.name)
            in_flight += 0 if pool is None else pool.in_flight
            slots += instance.slots or route.policy.slots_per_instance
        return times._replace(load=in_flight / slots) if slots else times

    def on_overdue(self, instance: Instance) -> None:
        """Count an overdue response as evidence that the instance is sick."""
        now = self._loop.clock.now()
        self._apply_outcome(instance.name, Outcome.SLOW, "this VM", now)
        self._outcomes.append(
            InstanceOutcome(instance_key(instance.name), Outcome.SLOW)
        )

    def is_unresponsive(self, instance: Instance, wait_ratio: float) -> bool:
        """Whether to abandon an overdue attempt (see ``requests.overdue``)."""
        if wait_ratio >= ABANDON_AFTER_FACTOR:
            return True
        now = self._loop.clock.now()
        return self._posterior(instance, now).sick_probability(now) > ABANDON_ABOVE

    def record_response_size(self, route: str, size: int) -> None:
        """Update the mean response size of a route; ``size`` is in bytes."""
        self._routes.record_response_size(route, size)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        return {
            service: {
                instance.name: {
                    "address": instance.address,
                    "zone": instance.zone,
                    "sick": round(
                        self._posterior(instance, now).sick_probability(now), 3
                    ),
                    "lost": self._reachability.is_unreachable(instance.name, now),
                    "limit_per_second": self._request_limits.per_second(instance.name),
                    "limit_share": self._request_limits.share(instance.name),
                }
                for instance in instances
            }
            for service, instances in self.by_service.items()
        }

    def _candidate(self, static_candidate: StaticCandidate, now: Millis) -> Candidate:
        instance, name, posterior, is_prober, has_owned_slot, is_remote_zone = (
            static_candidate
        )
        pool = self._pool_by_name.get(name)
        is_paused = pool is not None and pool.paused_until > now
        # Positional arguments are faster; this runs per instance and request.
        return Candidate(
            instance,
            posterior.sick_probability(now),
            is_prober,
            pool is not None and pool.has_idle,
            has_owned_slot,
            is_remote_zone,
            instance.cold_until > now,
            0 if pool is None else pool.in_flight,
            now - posterior.last_failed_at < RECENT_FAILURE_MS,
            is_paused or self._reachability.is_unreachable(name, now),
            self._request_limits.has_saved_request(name, now),
        )

    def _candidates(self, service: str, policy: Policy) -> list[StaticCandidate]:
        """Return the static properties of a service's instances."""
        now = self._loop.clock.now()
        return self._static_candidates.of_service(
            service,
            self.by_service.get(service, ()),
            policy.slots_per_instance,
            lambda instance: self._posterior(instance, now),
        )

    def _posterior(self, instance: Instance, now: Millis) -> Posterior:
        return self._posteriors.get(instance.name, now)
