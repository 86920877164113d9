"""Latencies and sizes of the responses of each route, as this VM sees them."""

from typing import Final

from ..clock import Millis
from ..drain.admission import ResponseTimes
from ..routing.table import Route
from .latency import LatencyTracker

SLOW_FACTOR: Final = 2.0
"""A response is overdue after this many times the 90th percentile of its route's
latencies."""
RESPONSE_SIZE_WEIGHT: Final = 0.2
"""Weight of the latest response in the moving average of response sizes."""
DEFAULT_RESPONSE_KB: Final = 1.0
"""Size of a response in KiB until one was seen."""


class RouteStatistics:
    """Statistics by the name of the route.

    A route of which too little was seen yet takes the latencies of its service.
    """

    def __init__(self) -> None:
        self._latency_tracker_by_service: dict[str, LatencyTracker] = {}
        self._latency_tracker_by_route: dict[str, LatencyTracker] = {}
        self._response_kb_by_route: dict[str, float] = {}

    def overdue_after(self, route: Route) -> Millis:
        """Return the time in ms after which a response is overdue, 0 if unknown.

        Until this VM has enough samples of the route, it is the route's target latency,
        but no less than for other routes of the service: the target may be shorter than
        the work takes.
        """
        service_tracker = self._latency_tracker_by_service.get(route.service)
        service_p90 = 0.0 if service_tracker is None else service_tracker.p90
        return SLOW_FACTOR * self._latency_tracker(route.name).p90 or max(
            route.target_latency, SLOW_FACTOR * service_p90
        )

    def second_attempt_after(self, route: Route) -> Millis:
        """Return the 95th percentile of the route's latencies in ms, 0 if unknown."""
        return self._latency_tracker(route.name).p95

    def record_lower_bound(self, route: Route, latency: Millis) -> None:
        """Add the time after which a slow attempt was cancelled.

        Without the slowest attempts each percentile would fall, and second attempts
        would be made earlier and earlier.
        """
        self._latency_tracker(route.name).add(latency)

    def response_times(self, route: str, target_latency: Millis) -> ResponseTimes:
        """Return the times that responses take, for a graceful shutdown."""
        tracker = self._latency_tracker(route)
        return ResponseTimes(tracker.p90 or target_latency, tracker.longest_expected())

    def record_latency(self, service: str, route: str, latency: Millis) -> bool:
        """Add the latency of a success; return whether it was overdue."""
        self._latency_tracker_by_service.setdefault(service, LatencyTracker()).add(
            latency
        )
        tracker = self._latency_tracker(route)
        was_overdue = 0.0 < SLOW_FACTOR * tracker.p90 < latency
        tracker.add(latency)
        return was_overdue

    def response_kb(self, route: str) -> float:
        """Return the mean size of the responses in KiB."""
        return self._response_kb_by_route.get(route, DEFAULT_RESPONSE_KB)

    def record_response_size(self, route: str, size: int) -> None:
        """Update the mean response size of a route; ``size`` is in bytes."""
        kb = size / 1024.0
        previous_kb = self._response_kb_by_route.get(route, kb)
        self._response_kb_by_route[route] = previous_kb + RESPONSE_SIZE_WEIGHT * (
            kb - previous_kb
        )

    def _latency_tracker(self, route: str) -> LatencyTracker:
        tracker = self._latency_tracker_by_route.get(route)
        if tracker is None:
            tracker = self._latency_tracker_by_route[route] = LatencyTracker()
        return tracker
