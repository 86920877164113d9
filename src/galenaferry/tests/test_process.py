"""Settings, structured logs and metrics of a process."""

import io
import json

import pytest

from galenaferry.clock import FakeClock
from galenaferry.findings import format_findings
from galenaferry.logs import StructuredHandler, logger
from galenaferry.metrics.registry import Metrics
from galenaferry.requests.messages import RequestCounters
from galenaferry.settings import read_settings

VALID_SETTINGS = """[vm]
name = vm1
zone = north
callers = 127.0.0.1:8080
peers = 127.0.0.1:7000
[admin]
address = 127.0.0.1:9901
[platform]
address = 127.0.0.1:5000
[peers]
key = a key of the fleet
seeds = 127.0.0.2:7000 127.0.0.3:7000
"""


def test_valid_settings_are_read():
    settings = read_settings("vm.ini", VALID_SETTINGS).ok()
    assert (settings.name, settings.region, settings.drain_wait_ms) == (
        "vm1",
        "default",
        3000,
    )
    assert settings.seeds == (("127.0.0.2", 7000), ("127.0.0.3", 7000))


@pytest.mark.parametrize(
    ("old", "new", "text"),
    [
        ("zone = north\n", "", "vm.ini:1: [vm] zone: a value is needed"),
        (
            "127.0.0.1:8080",
            "localhost:8080",
            "vm.ini:4: [vm] callers: 'localhost' is not an IP address",
        ),
        (
            "127.0.0.1:8080",
            "127.0.0.1",
            "vm.ini:4: [vm] callers: '127.0.0.1' is not IP:PORT",
        ),
        (
            "127.0.0.1:9901",
            "10.0.0.1:9901",
            "vm.ini:6: [admin] token: a token is needed on an address that is not loopback",
        ),
        (
            "a key of the fleet",
            "short",
            "vm.ini:11: [peers] key: shorter than 16 characters",
        ),
        ("[platform]", "[planet]", "vm.ini:8: [planet]: unknown section"),
    ],
)
def test_invalid_settings_are_reported_with_their_location(old, new, text):
    findings = read_settings("vm.ini", VALID_SETTINGS.replace(old, new)).err()
    assert text in format_findings(findings).splitlines()


class StreamOutput:
    """Line output that writes all lines to a stream."""

    def __init__(self, stream):
        self._stream = stream

    def write_line(self, line):
        self._stream.write(line + "\n")
        return True


def test_each_log_record_is_one_json_line():
    stream = io.StringIO()
    output = StreamOutput(stream)
    with StructuredHandler(output, True, FakeClock()).applicationbound():
        logger("health").warning("health changed", instance="10.0.0.1:80", state="sick")
        logger("drain").info("graceful shutdown requested")
    rows = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [row["channel"] for row in rows] == ["health", "drain"]
    assert rows[0] | {"time": ""} == {
        "time": "",
        "level": "WARNING",
        "channel": "health",
        "message": "health changed",
        "instance": "10.0.0.1:80",
        "state": "sick",
    }


def read_points(metrics):
    """Return the (attributes, value) pairs of the data points by metric name."""
    data = metrics.collect()
    points_by_name = {}
    for resource in data["resource_metrics"]:
        for scope in resource["scope_metrics"]:
            for metric in scope["metrics"]:
                points = metric["data"]["data_points"]
                points_by_name[metric["name"]] = [
                    (point["attributes"], point["value"]) for point in points
                ]
    return points_by_name


def test_metrics_show_the_current_counters():
    counters = RequestCounters()
    metrics = Metrics("vm1", "north")
    metrics.add_request_counters(counters)
    metrics.add_gauge("configuration.version", "", lambda: 7)
    counters.received = 3
    counters.count_status(200)
    counters.count_status(503)
    points = read_points(metrics)
    assert points["requests.received"] == [({}, 3)]
    assert points["configuration.version"] == [({}, 7)]
    assert sorted(value["status"] for value, _ in points["answers"]) == [200, 503]
    counters.received = 4
    assert read_points(metrics)["requests.received"] == [({}, 4)]
