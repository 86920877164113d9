"""Metrics in the Prometheus text format."""

from galenaferry.metrics.registry import Metrics
from galenaferry.metrics.text import render_text
from galenaferry.requests.messages import RequestCounters


def test_counters_and_histograms_are_rendered_as_lines():
    metrics = Metrics("vm-1", "north")
    counters = RequestCounters(received=3)
    counters.count_status(200)
    metrics.add_request_counters(counters)
    record = metrics.add_histogram("requests.duration", "ms", (10.0, 100.0))
    for latency in (5.0, 50.0, 500.0):
        record(latency, {"outcome": "answered"})
    lines = render_text(metrics.collect()).splitlines()
    assert "galenaferry_requests_received 3" in lines
    assert 'galenaferry_answers{status="200"} 1' in lines
    assert 'galenaferry_requests_duration_bucket{le="10",outcome="answered"} 1' in lines
    assert (
        'galenaferry_requests_duration_bucket{le="+Inf",outcome="answered"} 3' in lines
    )
    assert 'galenaferry_requests_duration_sum{outcome="answered"} 555' in lines
    assert 'galenaferry_requests_duration_count{outcome="answered"} 3' in lines


def test_quotes_in_a_label_value_are_escaped():
    data = {
        "resource_metrics": [
            {
                "scope_metrics": [
                    {
                        "metrics": [
                            {
                                "name": "x",
                                "data": {
                                    "data_points": [
                                        {"attributes": {"a": 'b"c'}, "value": 1}
                                    ]
                                },
                            }
                        ]
                    }
                ]
            }
        ]
    }
    assert render_text(data) == 'galenaferry_x{a="b\\"c"} 1\n'
