"""Counters, gauges and histograms of a node."""

from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

from ..clock import Millis
from ..metrics.registry import Metrics
from ..metrics.text import render_text
from ..quotas.component import FleetQuotas, QuotaCounters
from ..requests.messages import RequestCounters
from ..requests.summary import RequestSummary

DURATION_BOUNDS_MS: Final = (
    10.0,
    25.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1_000.0,
    2_000.0,
    4_000.0,
    8_000.0,
    16_000.0,
)
"""Bucket bounds from immediate refusals to the longest deadlines of callers."""


class Gauges(NamedTuple):
    """Functions that return the current values when the metrics are read.

    A metric has the name of its field with the first underscore replaced by a dot.
    """

    configuration_version: Callable[[], float]
    configuration_behind: Callable[[], float]
    configuration_behind_ms: Callable[[], float]
    configuration_missed_notices: Callable[[], float]
    instances_missed_notices: Callable[[], float]
    configuration_confirmed_ago_ms: Callable[[], float]
    instances_confirmed_ago_ms: Callable[[], float]
    instances_unlisted: Callable[[], float]
    instances_version: Callable[[], float]
    is_store_away: Callable[[], float]
    live_members: Callable[[], float]
    requests_in_flight: Callable[[], float]
    datagrams_sent: Callable[[], float]
    datagrams_dropped: Callable[[], float]
    instances_limited: Callable[[], float]
    instances_unreachable: Callable[[], float]
    is_cut_off: Callable[[], float]
    requests_relayed: Callable[[], float]
    requests_blocked: Callable[[], float]
    callers_held_bytes: Callable[[], float]
    callers_connections: Callable[[], float]
    callers_pauses: Callable[[], float]
    callers_relieved: Callable[[], float]
    callers_replaced: Callable[[], float]
    callers_refused: Callable[[], float]
    interfaces_connections: Callable[[], float]
    interfaces_held_bytes: Callable[[], float]
    interfaces_replaced: Callable[[], float]
    interfaces_relieved: Callable[[], float]
    interfaces_timed_out: Callable[[], float]
    interfaces_refused: Callable[[], float]
    interfaces_malformed: Callable[[], float]
    requests_suspected: Callable[[], float]
    admission_overloaded_services: Callable[[], float]
    admission_level: Callable[[], float]
    admission_refused: Callable[[], float]
    admission_refused_late: Callable[[], float]


class NodeMetrics:
    """Metrics of one VM.

    Parameters
    ----------
    name, zone : str
    counters : RequestCounters
    gauges : Gauges
    quotas : FleetQuotas or None
    """

    def __init__(
        self,
        name: str,
        zone: str,
        counters: RequestCounters,
        gauges: Gauges,
        quotas: FleetQuotas | None = None,
    ) -> None:
        self._metrics = Metrics(name, zone)
        self._metrics.add_request_counters(counters)
        for field, read in gauges._asdict().items():
            self._metrics.add_gauge(field.replace("_", ".", 1), "", read)
        if quotas is not None:
            self._add_quotas(quotas)
        self._record_duration = self._metrics.add_histogram(
            "requests.duration", "ms", DURATION_BOUNDS_MS
        )

    def _add_quotas(self, quotas: FleetQuotas) -> None:
        """Add the counters of rate limits and the number of limited workspaces."""
        counters = quotas.counters
        for field in QuotaCounters.__dataclass_fields__:
            self._metrics.add_counter(
                f"quotas.{field}", "", partial(getattr, counters, field)
            )
        self._metrics.add_gauge(
            "quotas.limited", "", lambda: float(quotas.limited_count)
        )

    def record_request(self, summary: RequestSummary, now: Millis) -> None:
        """Record the duration and the outcome of a request that has ended."""
        self._record_duration(now - summary.started_at, {"outcome": summary.outcome})

    def text(self) -> str:
        """Return all metrics as text."""
        return render_text(self._metrics.collect())
