"""Directory of the instances of every service, with their pools and candidates.

``InstanceDirectory`` implements ``Backends`` for the process in ``entry``; for ``node``
``placing`` implements it.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final, NamedTuple, Protocol

from ..clock import Millis
from ..configuration.policy import Policy
from ..network.loop import Loop
from .borrowing import BorrowingPolicy
from .choice import (
    BUSY_RECHECK_MS,
    Busy,
    Candidate,
    Candidates,
    Choice,
    Chosen,
    choose,
    choose_owned,
    cold_start_weight,
)
from .messages import CapacityShare, Instance, Load, SelectionCriteria
from .ownership import Vm, owned_slots
from .pool import InstancePool

USABLE_CONNECTION_FRACTION: Final = 0.9
"""Fraction of an instance's connection limit that the fleet uses."""
SLOT_OVERCOMMIT_FACTOR: Final = 4
"""Sum of the VMs' shares of an instance's slots, as a multiple of its slots."""
CANDIDATE_CACHE_MS: Final = 200.0
"""Time for which the candidates of a service are cached."""
IDEMPOTENT_TRAFFIC_WINDOW_MS: Final = 60_000.0
"""Time since a service's last idempotent request within which it counts as having
idempotent traffic."""
DRAINING_MS: Final = 30_000.0
"""Time without new requests for an instance that reported that it drains."""


class ServiceHealth(NamedTuple):
    """Health of the instances of a service, by address.

    A weight is a fraction of full traffic; instances of weight 0 get no requests.
    Those in ``probation_addresses`` are recovering and get only idempotent requests,
    as long as the service has some.
    """

    weight_by_address: dict[str, float]
    probation_addresses: frozenset[str]


class HealthSource(Protocol):
    """Source of the health of a service's instances."""

    def service_health(
        self, service: str, instances: tuple[Instance, ...], policy: Policy
    ) -> ServiceHealth:
        """Return the weights of all instances and which of them are on probation."""


class Backends(Protocol):
    """Interface of the request path to the instances of all services.

    ``on_capacity`` is called with a service when it may have room for a waiting
    request.
    """

    zone: str
    on_capacity: Callable[[str], None]

    def has_service(self, service: str) -> bool:
        """Whether a service exists, with or without instances."""

    def choose(
        self, criteria: SelectionCriteria, share: CapacityShare, may_borrow: bool
    ) -> Choice:
        """Return the choice for the next attempt of a request."""

    def capacity_share(self, policy: Policy) -> CapacityShare:
        """Return this VM's part of the connections and slots of an instance."""

    def pool(self, instance: Instance) -> InstancePool:
        """Return the pool of an instance."""

    def borrowing_policy(self, service: str) -> BorrowingPolicy:
        """Return the borrowing policy of a service."""

    def find_instance(self, key: int) -> Instance | None:
        """Return the instance with a key (see ``health.messages.instance_key``)."""

    def unusable_leaving_keys(self, service: str) -> tuple[int, ...]:
        """Return the keys of leaving instances that get no new requests at all."""

    def mark_draining(self, instance: Instance) -> None:
        """Send no new requests to an instance that reported draining."""

    def pause(self, instance: Instance, interval: Millis) -> None:
        """Handle that an instance wants no requests for ``interval`` milliseconds."""

    def limit_requests(self, instance: Instance, per_second: float) -> None:
        """Handle that an instance limits the requests of the fleet."""

    def end_request_limit(self, instance: Instance, sent_at: Millis) -> None:
        """Handle a success without a limit to a request that was sent at a time."""

    def close_idle(self) -> None:
        """Close connections that exceeded their idle limit."""


class InstanceDirectory:
    """Instances by service, each with a connection pool once it is used.

    Parameters
    ----------
    loop : Loop
    zone : str
        Availability zone of this VM.
    health_source : HealthSource
    random : Random
    """

    def __init__(
        self, loop: Loop, zone: str, health_source: HealthSource, random: Random
    ) -> None:
        self._loop = loop
        self.zone = zone
        self._health_source = health_source
        self._random = random
        self._cache: dict[tuple[str, bool], tuple[Millis, Candidates]] = {}
        self._idempotent_seen_at_by_service: dict[str, Millis] = {}
        self._first_seen_by_address: dict[str, Millis] = {}
        self._is_first_list = True
        self._draining_until_by_address: dict[str, Millis] = {}
        self.by_service: dict[str, tuple[Instance, ...]] = {}
        self.pool_by_address: dict[str, InstancePool] = {}
        self.live_vm_count = 1
        self._me = Vm("", zone)
        self._vms: tuple[Vm, ...] = (self._me,)
        self._owned_by_service: dict[str, dict[str, int]] = {}
        self._borrowing_by_service: dict[str, BorrowingPolicy] = {}
        self.on_capacity: Callable[[str], None] = lambda service: None

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Replace all instances by those of the newest VM list.

        Instances of the first list count as warm, as their start was not observed.
        """
        by_service: dict[str, list[Instance]] = {}
        now = self._loop.clock.now()
        known = self._first_seen_by_address
        seen: dict[str, Millis] = {}
        for instance in instances:
            by_service.setdefault(instance.service, []).append(instance)
            start = -float("inf") if self._is_first_list else now
            seen[instance.address] = known.get(instance.address, start)
        self._first_seen_by_address = seen
        gone = self._draining_until_by_address.keys() - seen.keys()
        for address in gone:
            del self._draining_until_by_address[address]
        self._is_first_list = False
        self.by_service = {name: tuple(rows) for name, rows in by_service.items()}
        self.invalidate_candidates()
        self._drop_pools(seen)

    def set_live_vms(self, me: Vm, vms: tuple[Vm, ...]) -> None:
        """Set the live VMs that own the slots of the instances."""
        if vms != self._vms:
            self._me = me
            self._vms = vms
            self._owned_by_service.clear()

    def find_instance(self, key: int) -> Instance | None:
        """Return None: requests of these deployments take no hop."""
        return None

    def unusable_leaving_keys(self, service: str) -> tuple[int, ...]:
        """Return none: requests of these deployments take no hop."""
        return ()

    def pause(self, instance: Instance, interval: Millis) -> None:
        """Do nothing: the concurrency window pauses an instance after each shed."""

    def limit_requests(self, instance: Instance, per_second: float) -> None:
        """Do nothing: instances of these deployments name no limit."""

    def end_request_limit(self, instance: Instance, sent_at: Millis) -> None:
        """Do nothing: instances of these deployments name no limit."""

    def mark_draining(self, instance: Instance) -> None:
        """Send no new requests for a while to an instance that reported draining."""
        address = instance.address
        if self._loop.clock.now() >= self._draining_until_by_address.get(address, 0.0):
            self.invalidate_candidates()
            self._loop.after(
                DRAINING_MS + CANDIDATE_CACHE_MS, self.invalidate_candidates
            )
        self._draining_until_by_address[address] = self._loop.clock.now() + DRAINING_MS

    def invalidate_candidates(self) -> None:
        """Discard the cached candidates and owned slots."""
        self._cache.clear()
        self._owned_by_service.clear()

    def borrowing_policy(self, service: str) -> BorrowingPolicy:
        """Return the borrowing policy of a service."""
        borrowing = self._borrowing_by_service.get(service)
        if borrowing is None:
            borrowing = self._borrowing_by_service[service] = BorrowingPolicy()
        return borrowing

    def has_service(self, service: str) -> bool:
        """Whether the VM list has an instance of the service."""
        return service in self.by_service

    def choose(
        self, criteria: SelectionCriteria, share: CapacityShare, may_borrow: bool
    ) -> Choice:
        """Return the choice for the next attempt of a request.

        Without ``may_borrow`` a request waits for a slot that this VM owns, if it
        owns any. A request that is not idempotent goes to an instance on probation
        only if the service has had no idempotent request for a minute.
        """
        now = self._loop.clock.now()
        service, _, policy, tried, is_idempotent, _ = criteria
        if is_idempotent:
            self._idempotent_seen_at_by_service[service] = now
        candidates = self._candidates(service, policy, is_idempotent, now)

        def load_of(instance: Instance) -> Load:
            return self.pool(instance).load(share)

        owned = self._owned_slots(service, policy)
        own = choose_owned(candidates, owned, load_of, now, self._random)
        if own is not None and own.address not in tried:
            return Chosen(own)
        has_own = any(address not in tried for address in owned)
        if has_own and not may_borrow:
            return Busy(now + BUSY_RECHECK_MS)
        return choose(candidates, tried, load_of, now, self._random)

    def _owned_slots(self, service: str, policy: Policy) -> dict[str, int]:
        owned = self._owned_by_service.get(service)
        if owned is None:
            listed = self.by_service.get(service, ())
            present = [i for i in listed if not self._is_leaving(i)]
            slots = policy.slots_per_instance
            owned = owned_slots(self._me, self._vms, service, present, slots)
            self._owned_by_service[service] = owned
        return owned

    def capacity_share(self, policy: Policy) -> CapacityShare:
        """Return this VM's part of the connections and slots of an instance."""
        usable = policy.connections_per_instance * USABLE_CONNECTION_FRACTION
        slots = policy.slots_per_instance * SLOT_OVERCOMMIT_FACTOR / self.live_vm_count
        return CapacityShare(
            connections=max(1, int(usable / self.live_vm_count)),
            slots=min(policy.slots_per_instance, max(2, int(slots + 0.5))),
        )

    def pool(self, instance: Instance) -> InstancePool:
        """Return the pool of an instance."""
        pool = self.pool_by_address.get(instance.address)
        if pool is None:
            service = instance.service
            pool = InstancePool(self._loop, instance, lambda: self.on_capacity(service))
            self.pool_by_address[instance.address] = pool
        return pool

    def close_idle(self) -> None:
        """Close connections that exceeded their idle limit."""
        for pool in self.pool_by_address.values():
            pool.close_idle()

    def is_cold(self, instance: Instance, policy: Policy) -> bool:
        """Whether an instance is still in its cold start period."""
        return self._age(instance) < policy.cold_start_ms

    def _is_leaving(self, instance: Instance) -> bool:
        """Whether the list or the instance itself reports that it is leaving."""
        until = self._draining_until_by_address.get(instance.address, 0.0)
        return instance.is_leaving or self._loop.clock.now() < until

    def _age(self, instance: Instance) -> Millis:
        first = self._first_seen_by_address.get(instance.address, 0.0)
        return self._loop.clock.now() - first

    def _candidates(
        self, service: str, policy: Policy, is_idempotent: bool, now: Millis
    ) -> Candidates:
        cached = self._cache.get((service, is_idempotent))
        if cached is not None and cached[0] > now:
            return cached[1]
        seen_at = self._idempotent_seen_at_by_service.get(
            service, -IDEMPOTENT_TRAFFIC_WINDOW_MS
        )
        has_idempotent_traffic = now - seen_at < IDEMPOTENT_TRAFFIC_WINDOW_MS
        is_probation_excluded = not is_idempotent and has_idempotent_traffic
        candidates = self._build_candidates(service, policy, is_probation_excluded)
        self._cache[service, is_idempotent] = (now + CANDIDATE_CACHE_MS, candidates)
        return candidates

    def _build_candidates(
        self, service: str, policy: Policy, is_probation_excluded: bool
    ) -> Candidates:
        """Return the candidates, optionally without those on probation."""
        instances = self.by_service.get(service, ())
        health = self._health_source.service_health(service, instances, policy)
        local: list[Candidate] = []
        remote: list[Candidate] = []
        for instance in instances:
            weight = health.weight_by_address.get(instance.address, 0.0)
            if weight <= 0.0 or self._is_leaving(instance):
                continue
            if is_probation_excluded and instance.address in health.probation_addresses:
                continue
            weight *= cold_start_weight(self._age(instance), policy.cold_start_ms)
            group = local if instance.zone == self.zone else remote
            group.append(Candidate(instance, weight))
        return Candidates(tuple(local), tuple(remote))

    def _drop_pools(self, seen: dict[str, Millis]) -> None:
        for address in [a for a in self.pool_by_address if a not in seen]:
            self.pool_by_address.pop(address).close_all_idle()
