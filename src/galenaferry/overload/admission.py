"""Decision whether a request is admitted to its service.

No function here reads a clock or a random source of its own.
"""

from random import Random
from typing import Final

from ..clock import Millis
from .draws import DigestCounts, RefusedDigests, draw_for
from .level import TARGET_SHARE, earliest_admission, next_level, refused_share
from .messages import ADMIT, Arrival, Decision, Refuse
from .rejections import RejectionRates

STEP_MS: Final[Millis] = 100.0
"""Interval at which a level is computed."""
MAX_STEPS: Final = 50
"""Steps that are made up for after a pause of the process."""
DEFAULT_WORK_MS: Final[Millis] = 250.0
"""Time of a request in a slot until some were answered."""
WORK_WEIGHT: Final = 0.05
"""Weight of the latest response in the average time of a request."""
MIN_RETRY_AFTER_MS: Final[Millis] = 200.0
RETRY_JITTER_MS: Final[Millis] = 1_000.0
"""Largest random time added to the time until a request may be admitted."""
MAX_PRIORITIES: Final = 16
"""Priorities of a service that are distinguished."""


class ServiceLoad:
    """What is known of the load of one service.

    ``slots`` and ``instance_count`` are those of its listed instances, ``level`` is its
    refusal level and ``share`` the share of the attempts that instances reject.
    """

    __slots__ = (
        "_seen_priorities",
        "_updated_at",
        "_work",
        "instance_count",
        "level",
        "priorities",
        "rates",
        "share",
        "slots",
    )

    def __init__(self, now: Millis) -> None:
        self._seen_priorities: set[int] = set()
        self._updated_at = now
        self._work: Millis = 0.0
        self.instance_count = 1
        self.slots = 1
        self.priorities: tuple[int, ...] = ()
        self.rates = RejectionRates(now)
        self.level = 0.0
        self.share = 0.0

    @property
    def capacity_per_second(self) -> float:
        """Requests per second that the slots of the service complete."""
        return self.slots * 1_000.0 / (self._work or DEFAULT_WORK_MS)

    @property
    def is_calm(self) -> bool:
        """Whether nothing is refused and nothing was rejected lately."""
        return not self.level and self.rates.is_empty

    def set_priorities(self, configured: tuple[int, ...]) -> None:
        """Replace the configured priorities; those seen on workspaces stay."""
        priorities = sorted({*configured, *self._seen_priorities})
        self.priorities = tuple(priorities[:MAX_PRIORITIES])

    def add_priority(self, priority: int) -> None:
        """Add the priority of a workspace."""
        if len(self.priorities) < MAX_PRIORITIES:
            self._seen_priorities.add(priority)
            self.set_priorities(self.priorities)

    def add_latency(self, latency: Millis) -> None:
        """Add the latency of a success, in milliseconds.

        While requests are rejected, latencies contain the time in the queue of the
        instance, so that only shorter ones count.
        """
        if not self._work:
            self._work = latency
        elif self.is_calm or latency < self._work:
            self._work += WORK_WEIGHT * (latency - self._work)

    def advance(self, now: Millis) -> None:
        """Update the share of rejections and the level."""
        if self.is_calm:
            self._updated_at = now
            self.rates.skip(now)
            return
        self._updated_at = max(self._updated_at, now - MAX_STEPS * STEP_MS)
        while now - self._updated_at >= STEP_MS:
            self._updated_at += STEP_MS
            self.rates.advance(self.instance_count, self._updated_at)
            rejected = self.rates.per_second
            self.share = rejected / (rejected + self.capacity_per_second)
            level_count = max(1, len(self.priorities))
            self.level = next_level(self.level, self.share, level_count, STEP_MS)


class AdmissionControl:
    """Admission to all services of one VM.

    Parameters
    ----------
    now : float
        Monotonic time in milliseconds.
    """

    def __init__(self, now: Millis) -> None:
        self.load_by_service: dict[str, ServiceLoad] = {}
        self._counts = DigestCounts(now)
        self._refused = RefusedDigests()

    def load(self, service: str, now: Millis) -> ServiceLoad:
        """Return the load of a service, a new one if it has none."""
        load = self.load_by_service.get(service)
        if load is None:
            load = self.load_by_service[service] = ServiceLoad(now)
        return load

    def decide(
        self, service: str, arrival: Arrival, now: Millis, random: Random
    ) -> Decision:
        """Return whether a request is admitted, or after which time it may come back.

        The times are monotonic, in milliseconds, but for that of the arrival.
        """
        load = self.load(service, now)
        load.advance(now)
        if arrival.priority not in load.priorities:
            load.add_priority(arrival.priority)
        share = refused_share(load.level, arrival.priority, load.priorities)
        is_common = self._counts.is_common(arrival.digest)
        if is_common:
            # Refusals count too: else a flow of equal requests would seem to end.
            self._counts.add(arrival.digest, now)
        if share:
            until = 0.0 if is_common else self._refused.until(arrival.digest, now)
            if until:
                return Refuse(until - now)
            draw = (
                random.random()
                if is_common
                else draw_for(arrival.digest, arrival.wall_time)
            )
            if draw < share:
                earliest = earliest_admission(
                    load.level, arrival.priority, load.priorities, draw
                )
                jitter = RETRY_JITTER_MS * random.random()
                retry_after = MIN_RETRY_AFTER_MS + earliest + jitter
                self._refused.add(arrival.digest, now + retry_after)
                return Refuse(retry_after)
        if not is_common:
            self._counts.add(arrival.digest, now)
        return ADMIT

    def on_refused(self, digest: int, retry_after: Millis, now: Millis) -> None:
        """Keep that an admitted request was answered that no instance has room."""
        self._refused.add(digest, now + retry_after)

    def on_rejected(self, service: str, instance: str, now: Millis) -> bool:
        """Count that an instance rejected a request.

        Returns whether the service is full, so that this is no evidence against the
        instance.
        """
        load = self.load(service, now)
        load.advance(now)
        load.rates.add(instance)
        return load.share > TARGET_SHARE and load.rates.is_shared(instance)

    def on_answered(self, service: str, latency: Millis, now: Millis) -> None:
        """Count a success of this VM."""
        self.load(service, now).add_latency(latency)
