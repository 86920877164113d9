"""Prometheus text exposition format of the metrics."""

from collections.abc import Iterator
from typing import Any


def render_text(data: dict[str, Any]) -> str:
    """Return OpenTelemetry JSON data in the Prometheus text format."""
    return "".join(f"{line}\n" for line in _lines(data))


def _lines(data: dict[str, Any]) -> Iterator[str]:
    for resource in data.get("resource_metrics", []):
        for scope in resource["scope_metrics"]:
            for metric in scope["metrics"]:
                yield from _metric_lines(metric)


def _metric_lines(metric: dict[str, Any]) -> Iterator[str]:
    name = "galenaferry_" + metric["name"].replace(".", "_")
    for point in metric["data"]["data_points"]:
        labels = {key: str(value) for key, value in point["attributes"].items()}
        if "bucket_counts" in point:
            yield from _histogram_lines(name, labels, point)
        else:
            yield f"{name}{_label_text(labels)} {point['value']}"


def _histogram_lines(
    name: str, labels: dict[str, str], point: dict[str, Any]
) -> Iterator[str]:
    # Prometheus buckets are cumulative, those of OpenTelemetry are not.
    total = 0
    bounds = [f"{bound:g}" for bound in point["explicit_bounds"]] + ["+Inf"]
    for bound, count in zip(bounds, point["bucket_counts"]):
        total += count
        yield f"{name}_bucket{_label_text(labels | {'le': bound})} {total}"
    yield f"{name}_sum{_label_text(labels)} {point['sum']:g}"
    yield f"{name}_count{_label_text(labels)} {point['count']}"


def _label_text(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{key}="{_escape(value)}"' for key, value in sorted(labels.items()))
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
