"""Evidence that this VM's own work gives of instances."""

from collections import OrderedDict
from typing import Final

from ..attempts.messages import Evidence
from ..clock import Millis
from .messages import Counts, instance_key

SLOW_QUANTILE: Final = 0.9
QUANTILE_STEP: Final = 0.03
ATTRIBUTION_WINDOW_MS: Final = 30_000.0
MAX_TRACKED_REQUESTS: Final = 4096


class SlowThreshold:
    """Running estimate of the latency that one answer in ten exceeds."""

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = 0.0

    def is_slow(self, latency: Millis) -> bool:
        """Whether ``latency`` is above the estimate, which it then moves."""
        if self._limit == 0.0:
            self._limit = max(latency, 0.01) * 2.0
            return False
        is_above = latency > self._limit
        step = QUANTILE_STEP * (SLOW_QUANTILE if is_above else SLOW_QUANTILE - 1.0)
        self._limit *= 1.0 + step
        return is_above


class FailureAttribution:
    """Tells failures of a bad request from failures of an instance.

    A request that fails at two instances and succeeds at none is at fault
    itself. The same request failing again at one instance adds nothing as long
    as no other instance has answered it.
    """

    def __init__(self) -> None:
        self._failures_by_request: OrderedDict[int, tuple[Millis, frozenset[str]]] = (
            OrderedDict()
        )
        self._succeeded_at_by_request: OrderedDict[int, Millis] = OrderedDict()

    def on_success(self, request: int, now: Millis) -> None:
        """Remember that an instance answered the request."""
        self._succeeded_at_by_request[request] = now
        self._succeeded_at_by_request.move_to_end(request)
        self._failures_by_request.pop(request, None)
        if len(self._succeeded_at_by_request) > MAX_TRACKED_REQUESTS:
            self._succeeded_at_by_request.popitem(last=False)

    def is_instance_at_fault(self, request: int, address: str, now: Millis) -> bool:
        """Whether a failure of the request speaks against the instance."""
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
    """Totals by instance since the start of the process."""

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
        """Count the end of one attempt.

        Parameters
        ----------
        address, zone : str
            The instance and its availability zone.
        route : str
            Latencies are compared within a route and a zone.
        target : bytes
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
        """Drop the totals of an instance that left."""
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
