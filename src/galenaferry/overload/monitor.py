"""Connects admission control to the instances, the clock, the log and the metrics."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from ..backends.messages import Instance
from ..clock import Millis
from ..configuration.policy import DEFAULT_POLICY
from ..logs import logger
from ..network.loop import Loop
from .admission import AdmissionControl
from .messages import ADMIT, Arrival, Decision, Refuse

CHECK_INTERVAL_MS: Final[Millis] = 500.0
SETTLING_MS: Final[Millis] = 3_000.0
"""Time without refusals after which an overload counts as ended. It bounds the log to
two lines of a service in this time."""

log = logger("overload")


class OverloadMonitor:
    """Admission control of one VM.

    Parameters
    ----------
    loop : Loop
    random : Random
    priorities_of : callable
        Returns the priorities that the configuration has for a service.

    Attributes
    ----------
    refused_count, late_count : int
        Requests refused because of their priority, or because of too little time.
    """

    def __init__(
        self,
        loop: Loop,
        random: Random,
        priorities_of: Callable[[str], tuple[int, ...]] = lambda service: (),
    ) -> None:
        self._loop = loop
        self._random = random
        self._priorities_of = priorities_of
        self._control = AdmissionControl(loop.clock.now())
        self._service_by_instance: dict[str, str] = {}
        self._episode_by_service: dict[str, _Episode] = {}
        self.refused_count = 0
        self.late_count = 0
        loop.every(CHECK_INTERVAL_MS, self._check)

    @property
    def overloaded_count(self) -> int:
        """Number of services of which requests are refused."""
        return sum(load.level > 0.0 for load in self._control.load_by_service.values())

    @property
    def highest_level(self) -> float:
        """Highest refusal level of all services."""
        loads = self._control.load_by_service.values()
        return max((load.level for load in loads), default=0.0)

    def replace_instances(self, by_service: Mapping[str, tuple[Instance, ...]]) -> None:
        """Replace the listed instances."""
        now = self._loop.clock.now()
        self._service_by_instance = {
            instance.name: service
            for service, instances in by_service.items()
            for instance in instances
        }
        for service in self._control.load_by_service.keys() - by_service.keys():
            del self._control.load_by_service[service]
        for service, instances in by_service.items():
            load = self._control.load(service, now)
            load.instance_count = len(instances)
            load.slots = sum(
                instance.slots or DEFAULT_POLICY.slots_per_instance
                for instance in instances
            )

    def on_rejected(self, instance: str) -> bool:
        """Count a rejection that any VM saw; return whether the service is full."""
        service = self._service_by_instance.get(instance)
        if service is None:
            return False
        now = self._loop.clock.now()
        return self._control.on_rejected(service, instance, now)

    def on_answered(self, service: str, latency: Millis) -> None:
        """Count a success of this VM; ``latency`` is in milliseconds."""
        if service in self._control.load_by_service:
            self._control.on_answered(service, latency, self._loop.clock.now())

    def lacks_room(self, service: str) -> bool:
        """Whether requests to a service are refused for lack of room."""
        load = self._control.load_by_service.get(service)
        if load is None:
            return False
        load.advance(self._loop.clock.now())
        return load.level > 0.0

    def decide(self, service: str, priority: int, digest: int) -> Decision:
        """Return whether a request is admitted."""
        clock = self._loop.clock
        if service not in self._control.load_by_service:
            # No listed instance can be full.
            return ADMIT
        arrival = Arrival(priority, digest, clock.wall_time())
        decision = self._control.decide(service, arrival, clock.now(), self._random)
        if isinstance(decision, Refuse):
            self.refused_count += 1
            self._continue_episode(service).count_refusal(priority)
        return decision

    def on_refused(self, digest: int, retry_after: Millis) -> None:
        """Keep that no instance had room for an admitted request."""
        self._control.on_refused(digest, retry_after, self._loop.clock.now())

    def count_late(self) -> None:
        """Count a request that was refused because of too little time."""
        self.late_count += 1

    def _check(self) -> None:
        now = self._loop.clock.now()
        for service, load in self._control.load_by_service.items():
            load.set_priorities(self._priorities_of(service))
            load.advance(now)
            if load.level:
                self._continue_episode(service)
        for service, episode in list(self._episode_by_service.items()):
            if now - episode.refused_at >= SETTLING_MS:
                del self._episode_by_service[service]
                log.info(
                    "service is no longer overloaded",
                    service=service,
                    lasted_ms=int(episode.refused_at - episode.began_at),
                    refused_by_priority=episode.refused_by_priority,
                )

    def _continue_episode(self, service: str) -> "_Episode":
        now = self._loop.clock.now()
        episode = self._episode_by_service.get(service)
        if episode is None:
            episode = self._episode_by_service[service] = _Episode(now)
            load = self._control.load_by_service[service]
            log.info(
                "service is overloaded; refusing requests",
                service=service,
                level=round(load.level, 2),
                rejected_share=round(load.share, 3),
                rejected_per_second=round(load.rates.per_second, 1),
                capacity_per_second=round(load.capacity_per_second, 1),
                instances=load.instance_count,
                slots=load.slots,
                priorities=load.priorities,
            )
        episode.refused_at = now
        return episode


class _Episode:
    """A time in which requests to one service are refused."""

    __slots__ = ("began_at", "refused_at", "refused_by_priority")

    def __init__(self, now: Millis) -> None:
        self.began_at = now
        self.refused_at = now
        self.refused_by_priority: dict[int, int] = {}

    def count_refusal(self, priority: int) -> None:
        """Count a refused request."""
        count = self.refused_by_priority.get(priority, 0)
        self.refused_by_priority[priority] = count + 1
