"""Failures and slow responses that this VM sees, counted by instance."""

from collections import OrderedDict
from typing import Final

from ..attempts.messages import Evidence
from ..clock import Millis
from .messages import Counts, instance_key

SLOW_QUANTILE: Final = 0.9
QUANTILE_STEP: Final = 0.03
"""Relative step of the latency estimate.

Multiplied by the quantile for a step up, and by one minus the quantile for a step down,
so that the estimate settles where one response in ten exceeds it.
"""
ATTRIBUTION_WINDOW_MS: Final = 30_000.0
"""Time for which the success or failure of a request is kept."""
MAX_TRACKED_REQUESTS: Final = 4096
"""Requests whose success is kept, and as many whose failure is."""


class SlowThreshold:
    """Running estimate of the latency that one response in ten exceeds."""

    __slots__ = ("_threshold",)

    def __init__(self) -> None:
        self._threshold = 0.0

    def is_slow(self, latency: Millis) -> bool:
        """Whether ``latency`` is above the estimate; updates the estimate."""
        if self._threshold == 0.0:
            self._threshold = max(latency, 0.01) * 2.0
            return False
        is_above = latency > self._threshold
        step = QUANTILE_STEP * (SLOW_QUANTILE if is_above else SLOW_QUANTILE - 1.0)
        self._threshold *= 1.0 + step
        return is_above


class FailureAttribution:
    """Separates failures of an instance from those of a poison request.

    A poison request is at fault itself: it fails at two instances and succeeds at
    none. Until a request succeeds, only its first failure counts, even if it fails
    again at the same instance. Requests are identified by a hash of route and target.
    """

    def __init__(self) -> None:
        self._failures_by_request: OrderedDict[int, tuple[Millis, frozenset[str]]] = (
            OrderedDict()
        )
        self._succeeded_at_by_request: OrderedDict[int, Millis] = OrderedDict()

    def on_success(self, request: int, now: Millis) -> None:
        """Record that the request succeeded at an instance."""
        self._succeeded_at_by_request[request] = now
        self._succeeded_at_by_request.move_to_end(request)
        self._failures_by_request.pop(request, None)
        if len(self._succeeded_at_by_request) > MAX_TRACKED_REQUESTS:
            self._succeeded_at_by_request.popitem(last=False)

    def is_instance_at_fault(self, request: int, address: str, now: Millis) -> bool:
        """Record a failure; whether it counts against the instance at ``address``."""
        if (
            now - self._succeeded_at_by_request.get(request, -ATTRIBUTION_WINDOW_MS)
            < ATTRIBUTION_WINDOW_MS
        ):
            return True
        first_failed_at, addresses = self._failures_by_request.get(
            request, (now, frozenset())
        )
        if now - first_failed_at > ATTRIBUTION_WINDOW_MS:
            first_failed_at, addresses = now, frozenset()
        self._failures_by_request[request] = (first_failed_at, addresses | {address})
        if len(self._failures_by_request) > MAX_TRACKED_REQUESTS:
            self._failures_by_request.popitem(last=False)
        return not addresses


class _InstanceTotals:
    __slots__ = ("failures", "requests", "slow")

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.slow = 0


class LocalEvidence:
    """Totals by instance since the start of this process."""

    def __init__(self) -> None:
        self._totals_by_address: dict[str, _InstanceTotals] = {}
        self._slow_threshold_by_class: dict[tuple[str, str], SlowThreshold] = {}
        self._attribution = FailureAttribution()
        self._key_by_address: dict[str, int] = {}

    def observe(
        self,
        address: str,
        zone: str,
        route: str,
        target: bytes,
        evidence: Evidence,
        latency: Millis,
        now: Millis,
    ) -> bool:
        """Count the outcome of one attempt.

        Parameters
        ----------
        address, zone : str
            Address and availability zone of the instance.
        route : str
            Latencies are compared within a route and a zone.
        target : bytes
            Request target, which identifies the request together with ``route``.
        evidence : Evidence
        latency, now : float
            In milliseconds.

        Returns
        -------
        bool
            Whether a failure was counted.
        """
        if evidence is Evidence.SUCCESS:
            totals = self._totals(address)
            totals.requests += 1
            totals.slow += self._threshold(route, zone).is_slow(latency)
            self._attribution.on_success(hash((route, target)), now)
            return False
        if evidence is not Evidence.FAILURE:
            return False
        totals = self._totals(address)
        totals.requests += 1
        is_at_fault = self._attribution.is_instance_at_fault(
            hash((route, target)), address, now
        )
        totals.failures += is_at_fault
        return is_at_fault

    def counts(self, address: str) -> Counts:
        """Return the totals of an instance."""
        totals = self._totals(address)
        return Counts(self._key(address), totals.requests, totals.failures, totals.slow)

    def forget(self, address: str) -> None:
        """Drop the totals of an instance that is no longer listed."""
        self._totals_by_address.pop(address, None)
        self._key_by_address.pop(address, None)

    def _key(self, address: str) -> int:
        key = self._key_by_address.get(address)
        if key is None:
            key = self._key_by_address[address] = instance_key(address)
        return key

    def _totals(self, address: str) -> _InstanceTotals:
        totals = self._totals_by_address.get(address)
        if totals is None:
            totals = self._totals_by_address[address] = _InstanceTotals()
        return totals

    def _threshold(self, route: str, zone: str) -> SlowThreshold:
        threshold = self._slow_threshold_by_class.get((route, zone))
        if threshold is None:
            threshold = self._slow_threshold_by_class[route, zone] = SlowThreshold()
        return threshold
