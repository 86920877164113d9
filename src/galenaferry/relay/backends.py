"""Instances that a VM reaches directly, or by way of another VM.

``RelayingBackends`` stands between the request path and the placement. A relay VM looks
like an instance: it has a pool of connections and answers with the response of the
instance that it chose.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from ..attempts.messages import Evidence
from ..backends.borrowing import BorrowingPolicy
from ..backends.choice import Choice, Chosen, NoInstance
from ..backends.messages import CapacityShare, Instance, SelectionCriteria
from ..backends.pool import InstancePool
from ..clock import Millis
from ..configuration.policy import Policy
from ..framing.messages import RequestHead
from ..logs import logger
from ..network.loop import Loop
from ..placing.component import ABANDON_AFTER_FACTOR, Placement
from ..routing.table import Route
from .answer_check import AnswerCheck, find_answer
from .origin import Origin, ReadOrigin, RelayAuthentication
from .reach import CHECKED_INSTANCES, MIN_CHECK_INTERVAL_MS, OwnReach
from .relay_vms import RelayVm, RelayVms

MAX_RELAYS: Final = 3
"""Relay VMs to which one request is sent."""
CONNECT_FAILURES: Final = 2
"""Instances that one request failed to reach, after which it goes by way of another
VM."""
FAILURE_MS: Final[Millis] = 2_000.0
"""Time for which a failure to reach an instance counts."""
LINK_EVIDENCE: Final = (Evidence.LINK, Evidence.CONNECTION)
DISCOUNTED_EVIDENCE: Final = (*LINK_EVIDENCE, Evidence.FAILURE)
"""Evidence that says nothing of an instance if this VM's own links are cut."""

log = logger("relay")

Observation = tuple[str, str, str, bytes, Evidence, Millis]


class RelayingBackends:
    """Instances of all services (see ``backends.directory.Backends``).

    It also is the ``Observer`` and the ``OverduePolicy`` of the request path.

    Parameters
    ----------
    loop : Loop
    placement : Placement
    random : Random
    relay_vms : callable
        Returns the other VMs that take requests and say that they reach instances.
    on_reach_changed : callable
        Called with whether this VM is cut off from all instances.
    health_path : callable
        Returns the path of a service's health checks, empty if it is not known.
    """

    def __init__(
        self,
        loop: Loop,
        placement: Placement,
        random: Random,
        relay_vms: Callable[[], Iterable[RelayVm]],
        on_reach_changed: Callable[[bool], None],
        health_path: Callable[[str], str],
    ) -> None:
        self._health_path = health_path
        self._loop = loop
        self._placement = placement
        self._random = random
        self._relay_vms = relay_vms
        self._on_reach_changed = on_reach_changed
        self._reach = OwnReach()
        self._choice = RelayVms()
        self._pool_by_address: dict[str, InstancePool] = {}
        self._unreachable_at_by_address: dict[str, Millis] = {}
        self._held_observations: list[Observation] = []
        self._on_checked_once: list[Callable[[bool], None]] = []
        self._is_checking = False
        self.relayed_count = 0
        self.zone = placement.zone

    @property
    def on_capacity(self) -> Callable[[str], None]:
        """Called with a service that may have room for a waiting request."""
        return self._placement.on_capacity

    @on_capacity.setter
    def on_capacity(self, callback: Callable[[str], None]) -> None:
        self._placement.on_capacity = callback

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM reaches no instance."""
        return self._reach.is_cut_off

    def check_own_links(self, done: Callable[[bool], None]) -> None:
        """Call ``done`` with whether this VM reaches no instance, after a check."""
        if self.is_cut_off:
            done(True)
            return
        self._on_checked_once.append(done)
        if not self._is_checking:
            self._check()

    def has_service(self, service: str) -> bool:
        """Whether a service exists, with or without instances."""
        return self._placement.has_service(service)

    def choose(
        self, criteria: SelectionCriteria, share: CapacityShare, may_borrow: bool
    ) -> Choice:
        """Return the choice for the next attempt of a request."""
        now = self._loop.clock.now()
        if criteria.may_relay and self._must_relay(criteria, now):
            tried = self._pool_by_address.keys() & criteria.tried
            is_allowed = len(tried) < MAX_RELAYS
            relay = self._choose_relay(criteria, tried, now) if is_allowed else None
            if relay is not None:
                self.relayed_count += 1
                return Chosen(relay)
            if tried and self.is_cut_off:
                return NoInstance()
        if self.is_cut_off and not self._reach.has_contact(now):
            return NoInstance()
        return self._placement.choose(criteria, share, may_borrow)

    def capacity_share(self, policy: Policy) -> CapacityShare:
        """Return this VM's part of the connections and slots of an instance."""
        return self._placement.capacity_share(policy)

    def pool(self, instance: Instance) -> InstancePool:
        """Return the pool of an instance or of a relay VM."""
        if not instance.is_relay:
            return self._placement.pool(instance)
        pool = self._pool_by_address.get(instance.address)
        if pool is None:
            pool = InstancePool(self._loop, instance, lambda: None)
            self._pool_by_address[instance.address] = pool
        return pool

    def borrowing_policy(self, service: str) -> BorrowingPolicy:
        """Return the borrowing policy of a service."""
        return self._placement.borrowing_policy(service)

    def find_instance(self, key: int) -> Instance | None:
        """Return the listed instance with a key."""
        return self._placement.find_instance(key)

    def unusable_leaving_keys(self, service: str) -> tuple[int, ...]:
        """Return the keys of leaving instances that get no new requests at all."""
        return self._placement.unusable_leaving_keys(service)

    def reader_of_origins(self, authentication: RelayAuthentication) -> ReadOrigin:
        """Return a reader that applies what another VM says of leaving instances."""

        def read_origin(head: RequestHead, address: str) -> tuple[Origin, RequestHead]:
            origin, stripped = authentication.read_origin(head, address)
            self._placement.on_unusable_leaving(origin.leaving_keys, address)
            return origin, stripped

        return read_origin

    def mark_draining(self, instance: Instance) -> None:
        """Send no new requests to an instance that announced that it leaves."""
        self._placement.mark_draining(instance)

    def pause(self, instance: Instance, interval: Millis) -> None:
        """Send no requests to an instance that asked for a pause."""
        self._placement.pause(instance, interval)

    def limit_requests(self, instance: Instance, per_second: float) -> None:
        """Keep to the limit that an instance names for the requests of the fleet."""
        self._placement.limit_requests(instance, per_second)

    def end_request_limit(self, instance: Instance, sent_at: Millis) -> None:
        """Handle a success without a limit to a request that was sent at a time."""
        self._placement.end_request_limit(instance, sent_at)

    def close_idle(self) -> None:
        """Close connections that were idle too long."""
        self._placement.close_idle()
        for address, pool in list(self._pool_by_address.items()):
            pool.close_idle()
            if not pool.open_count:
                del self._pool_by_address[address]

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
        now = self._loop.clock.now()
        if address in self._pool_by_address:
            self._observe_relay(address, route, evidence, now)
            return
        if evidence in (Evidence.SUCCESS, Evidence.SHED):
            self._reach.on_contact(now)
        elif evidence in DISCOUNTED_EVIDENCE:
            if evidence is Evidence.LINK:
                self._on_unreachable(address, now)
            self._check_if_needed(evidence in LINK_EVIDENCE, now)
        observation = service, address, route, target, evidence, latency
        if evidence not in DISCOUNTED_EVIDENCE:
            self._placement.observe(*observation)
        elif self._is_checking:
            self._held_observations.append(observation)
        elif not self.is_cut_off:
            self._placement.observe(*observation)

    def _observe_relay(
        self, address: str, route: str, evidence: Evidence, now: Millis
    ) -> None:
        match evidence:
            case Evidence.LINK:
                self._choice.on_unreachable(address, now)
            case Evidence.CONNECTION | Evidence.FAILURE:
                self._choice.on_doubt(address, now)
            case Evidence.REFUSED:
                self._choice.on_refused(address, route, now)

    def overdue_after(self, route: Route) -> Millis:
        """Return the time in ms after which a response is overdue, 0 if unknown."""
        return self._placement.overdue_after(route)

    def on_overdue(self, instance: Instance) -> None:
        """Handle an overdue response: the instance, or this VM's link, is slow."""
        now = self._loop.clock.now()
        if instance.is_relay:
            self._choice.on_doubt(instance.address, now)
            return
        self._check_if_needed(False, now)
        if not self.is_cut_off:
            self._placement.on_overdue(instance)

    def is_unresponsive(self, instance: Instance, wait_ratio: float) -> bool:
        """Whether to abandon an overdue attempt (see ``requests.overdue``)."""
        if instance.is_relay:
            return wait_ratio >= ABANDON_AFTER_FACTOR
        is_unresponsive = self._placement.is_unresponsive(instance, wait_ratio)
        return self.is_cut_off or is_unresponsive

    def _on_unreachable(self, address: str, now: Millis) -> None:
        self._unreachable_at_by_address.pop(address, None)
        self._unreachable_at_by_address[address] = now
        oldest = next(iter(self._unreachable_at_by_address))
        if self._unreachable_at_by_address[oldest] <= now - FAILURE_MS:
            del self._unreachable_at_by_address[oldest]

    def _must_relay(self, criteria: SelectionCriteria, now: Millis) -> bool:
        share = self._reach.direct_share(now)
        if share < 1.0 and self._random.random() >= share:
            return True
        failures = sum(
            1
            for address in criteria.tried
            if self._unreachable_at_by_address.get(address, -FAILURE_MS)
            > now - FAILURE_MS
        )
        return failures >= CONNECT_FAILURES

    def _choose_relay(
        self, criteria: SelectionCriteria, tried: set[str], now: Millis
    ) -> Instance | None:
        in_flight = {a: pool.in_flight for a, pool in self._pool_by_address.items()}
        vms = [vm for vm in self._relay_vms() if vm.address not in tried]
        vm = self._choice.choose(
            vms, criteria.route, self.zone, in_flight, self._random, now
        )
        if vm is None:
            return None
        return Instance(vm.address, criteria.service, vm.zone, False, is_relay=True)

    def _check_if_needed(self, is_connect_failure: bool, now: Millis) -> None:
        if self.is_cut_off or self._is_checking:
            return
        if self._reach.needs_check(is_connect_failure, now):
            self._check()

    def _check(self) -> None:
        """Ask a few instances for an answer to see whether this VM reaches any."""
        instances = [i for rows in self._placement.by_service.values() for i in rows]
        count = min(CHECKED_INSTANCES, len(instances))
        if not count:
            self._repeat_check()
            self._tell_waiting()
            return
        self._is_checking = True
        self._reach.on_check_started(self._loop.clock.now())
        checks = [
            AnswerCheck(i.address, self._health_path(i.service))
            for i in self._random.sample(instances, count)
        ]
        find_answer(self._loop, checks, self._on_checked)

    def _on_checked(self, is_answered: bool) -> None:
        self._is_checking = False
        now = self._loop.clock.now()
        if self._reach.on_checked(is_answered, now):
            if self.is_cut_off:
                log.warning("this VM reaches no instance; other VMs take its requests")
            else:
                log.info("this VM reaches instances again")
                # Connections of before the cut may be silent for good.
                self._placement.close_all_idle()
            self._on_reach_changed(self.is_cut_off)
        self._tell_waiting()
        held, self._held_observations = self._held_observations, []
        if self.is_cut_off:
            self._repeat_check()
            return
        for observation in held:
            self._placement.observe(*observation)

    def _tell_waiting(self) -> None:
        waiting, self._on_checked_once = self._on_checked_once, []
        for done in waiting:
            done(self.is_cut_off)

    def _repeat_check(self) -> None:
        if self.is_cut_off:
            self._loop.after(MIN_CHECK_INTERVAL_MS, self._check)
