"""Metrics of a VM: observable instruments over counters that the VM keeps anyway.

Collecting on request needs no exporter thread, and observable instruments cost
nothing while a request is handled.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

from ..requests.messages import RequestCounters


class Metrics:
    """OpenTelemetry instruments of one process.

    Parameters
    ----------
    name, zone : str
        The VM's name and its availability zone.
    """

    def __init__(self, name: str, zone: str) -> None:
        self._reader = InMemoryMetricReader()
        resource = Resource({"service.name": "galenaferry", "vm": name, "zone": zone})
        provider = MeterProvider(
            metric_readers=[self._reader], resource=resource, shutdown_on_exit=False
        )
        self._meter = provider.get_meter("galenaferry")

    def add_counter(self, name: str, description: str, read: Callable[[], int]) -> None:
        """Add a counter whose value ``read`` returns."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read())

        self._meter.create_observable_counter(name, [observe], description=description)

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value ``read`` returns."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read())

        self._meter.create_observable_gauge(name, [observe], description=description)

    def add_histogram(
        self, name: str, unit: str, bounds: tuple[float, ...]
    ) -> Callable[[float, dict[str, str]], None]:
        """Add a histogram with the bucket bounds ``bounds``.

        Returns
        -------
        callable
            Records a value with its attributes.
        """
        histogram = self._meter.create_histogram(
            name, unit, explicit_bucket_boundaries_advisory=bounds
        )
        return histogram.record

    def add_request_counters(self, counters: RequestCounters) -> None:
        """Add all counters of request handling."""
        for field in RequestCounters.__dataclass_fields__:
            if field.startswith("by_"):
                continue
            self.add_counter(f"requests.{field}", "", _counter_reader(counters, field))
        self._meter.create_observable_counter(
            "answers", [lambda options: _by_status(counters)], description="by status"
        )
        self._meter.create_observable_counter(
            "refusals",
            [lambda options: _by_refusal(counters)],
            description="generated answers by status and reason",
        )

    def collect(self) -> Any:
        """Return the current values as OpenTelemetry JSON data."""
        data = self._reader.get_metrics_data()
        return json.loads(data.to_json()) if data is not None else {}


def _counter_reader(counters: RequestCounters, field: str) -> Callable[[], int]:
    return lambda: int(getattr(counters, field))


def _by_status(counters: RequestCounters) -> Iterable[Observation]:
    for status, count in counters.by_status.items():
        yield Observation(count, {"status": status})


def _by_refusal(counters: RequestCounters) -> Iterable[Observation]:
    for (status, reason), count in counters.by_refusal.items():
        yield Observation(count, {"status": status, "reason": reason})
