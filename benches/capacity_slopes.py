"""Measure how memory, CPU time and message sizes of one VM grow with the fleet.

A line is fitted by least squares to the measurements at several sizes. Its error
is the largest distance of a measured point from the line, relative to that point.
"""

import gc
import json
import os
import sys
import time
from collections.abc import Callable
from multiprocessing import get_context
from random import Random
from typing import NamedTuple

import numpy as np

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.directory import InstanceDirectory, ServiceHealth
from galenaferry.backends.messages import Instance
from galenaferry.clock import FakeClock
from galenaferry.configuration.compact import Configuration
from galenaferry.configuration.messages import (
    Edit,
    Head,
    Proposal,
    encode_change,
    make_change,
)
from galenaferry.configuration.snapshots import SECTIONS_PER_PAGE
from galenaferry.configuration.state import ConfigurationState
from galenaferry.health.evidence import LocalEvidence
from galenaferry.health.home import DetectionSettings, Home, InstanceFacts
from galenaferry.health.home_vms import home_vms
from galenaferry.health.messages import Counts, Report
from galenaferry.health.state import HealthView
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.membership.state import MemberTable
from galenaferry.network.loop import Loop
from galenaferry.peers.codec import Datagram, PeerKeys, decode, encode
from galenaferry.routing.table import RouteTable
from galenaferry.spreading.messages import LogName, Push
from galenaferry.spreading.replicator import GossipReplicator

PEER_KEYS = PeerKeys(b"a key for the capacity bench")


class DesignSize(NamedTuple):
    """Size of the fleet that the design is for.

    ``nodes`` are the entry VMs, which run the proxy. A service has 17 instances on
    average.
    """

    routes: int = 270_000
    services: int = 12_000
    instances: int = 200_000
    nodes: int = 4_800
    regions: int = 11
    zones: int = 22


class Slope(NamedTuple):
    """A line fitted to measurements.

    ``slope`` is in ``unit`` per ``item``, and ``intercept`` in ``unit``. ``sizes``
    are the numbers of items that were measured.
    """

    name: str
    unit: str
    item: str
    slope: float
    intercept: float
    max_relative_error: float
    sizes: list[int]


def fit(name: str, unit: str, item: str, points: list[tuple[int, float]]) -> Slope:
    """Fit a line to points of (number of items, measured value)."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points])
    slope, intercept = np.polyfit(sizes, values, 1)
    errors = np.abs(slope * sizes + intercept - values) / np.maximum(values, 1e-12)
    return Slope(
        name,
        unit,
        item,
        slope,
        intercept,
        float(errors.max()),
        [size for size, _ in points],
    )


def resident_mb() -> float:
    """Return the resident memory of this process in MB (Linux only)."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def memory_growth_mb(build: Callable[[int], object], size: int) -> float:
    """Return by how many MB ``build(size)`` makes this process grow."""
    gc.collect()
    before_mb = resident_mb()
    built = build(size)
    gc.collect()
    growth = resident_mb() - before_mb
    assert built is not None
    return growth


def run_in_fresh_process(measurement: str, size: int) -> float:
    """Run one measurement in a process of its own.

    Memory that an earlier measurement freed would otherwise be reused.
    """
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(MEASUREMENTS[measurement], (size,))


def cpu_time_us(call: Callable[[], object], repeats: int) -> float:
    """Return the mean CPU time of a call in microseconds, after one warm-up call."""
    call()
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * 1e6


def route_sections(count: int, start: int = 0) -> dict[str, dict[str, str]]:
    """Return configuration sections with an exception for each of the routes.

    The routes are numbered from ``start`` up to, but not including, ``count``.
    """
    return {
        f"exception route-{number}": {
            "scope": f"route * /service-{number % 12_000}/part-{number}",
            "reason": f"ticket {number}",
            "attempt_timeout_ms": str(1000 + number % 1000),
        }
        for number in range(start, count)
    }


def load_routes(count: int) -> tuple[ConfigurationState, RouteTable]:
    """Load a snapshot of ``count`` routes in pages, as a starting VM does."""
    configuration = Configuration()
    for start in range(0, count, SECTIONS_PER_PAGE):
        page = route_sections(min(count, start + SECTIONS_PER_PAGE), start)
        configuration.extend(json.loads(json.dumps(page)))
    state = ConfigurationState()
    state.load_snapshot(Head(1, "digest"), configuration)
    return state, RouteTable(state.configuration, "north")


def routes_memory_mb(count: int) -> float:
    return memory_growth_mb(load_routes, count)


def snapshot_load_ms(count: int) -> float:
    """Return the CPU time in ms to parse and load a snapshot of ``count`` routes."""
    text = json.dumps(route_sections(count))
    started = time.process_time()
    state = ConfigurationState()
    state.load_snapshot(Head(1, "digest"), Configuration(json.loads(text)))
    RouteTable(state.configuration, "north")
    return (time.process_time() - started) * 1e3


def change_apply_ms(count: int) -> float:
    """Return the median CPU time in ms to apply a change to ``count`` routes."""
    state, table = load_routes(count)
    replicator = GossipReplicator(
        LogName.CONFIGURATION, state, lambda number: ["x"] * number
    )
    times_ms = []
    for number in range(12):
        edit = Edit(f"exception route-{number}", "max_attempts", "2")
        proposal = Proposal(str(number), state.head.version, "ana", "why", (edit,))
        change = make_change(state.head, proposal, 0.0)
        push = Push(LogName.CONFIGURATION, (encode_change(change),))
        started = time.process_time()
        replicator.on_message("x", push, 0.0)
        table.replace_configuration(state.configuration)
        times_ms.append((time.process_time() - started) * 1e3)
    return float(np.median(times_ms))


def make_instances(count: int) -> list[Instance]:
    return [
        Instance(
            f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8080",
            f"service-{number // 17}",
            f"zone-{number % 2}",
            False,
        )
        for number in range(count)
    ]


def build_directory(count: int) -> object:
    """Return a directory of ``count`` instances and an empty health view.

    Both are returned so that neither is freed before the memory is measured.
    """
    health_view = HealthView()

    class EqualWeights:
        def service_health(self, service, instances, policy):
            return ServiceHealth({i.address: 1.0 for i in instances}, frozenset())

    directory = InstanceDirectory(
        Loop(FakeClock(1.0)), "zone-0", EqualWeights(), Random(1)
    )
    directory.replace_instances(make_instances(count))
    return directory, health_view


def directory_memory_mb(count: int) -> float:
    return memory_growth_mb(build_directory, count)


def build_evidence(count: int) -> object:
    """Return evidence with one successful attempt at each of ``count`` instances."""
    evidence = LocalEvidence()
    for number, instance in enumerate(make_instances(count)):
        evidence.observe(
            instance.address,
            instance.zone,
            f"GET /{instance.service}",
            b"/x",
            Evidence.SUCCESS,
            5.0,
            float(number),
        )
        evidence.counts(instance.address)
    return evidence


def evidence_memory_mb(count: int) -> float:
    return memory_growth_mb(build_evidence, count)


def make_member(number: int, counter: int = 1) -> Member:
    return Member(
        f"10.9.{number // 256}.{number % 256}:7000",
        1764806400000,
        counter,
        f"zone-{number % 2}",
        "andes",
        False,
        1,
    )


def build_members(count: int) -> MemberTable:
    table = MemberTable(make_member(0), Random(1))
    for number in range(1, count + 1):
        table.merge(make_member(number), 0.0)
    return table


def members_memory_mb(count: int) -> float:
    return memory_growth_mb(build_members, count)


def make_home(instances: int) -> Home:
    """Return a home VM's state without evidence; services have 17 instances each."""

    def instance_facts(key: int) -> InstanceFacts:
        return InstanceFacts(key, f"s{key // 17}", f"zone-{key % 2}", False)

    return Home(instance_facts, lambda service: DetectionSettings(10.0))


def build_home(pairs: int) -> Home:
    """Return a home with about ``pairs`` pairs of a reporter and an instance.

    A reporter is a VM that reports its counts to the home. At the design size a VM
    is the home of 83 instances, and every reporter reports on all of them.
    """
    home = make_home(83)
    for reporter in range(max(1, pairs // 83)):
        counts = tuple(Counts(key, 10, 0, 1) for key in range(83))
        home.on_report(f"vm{reporter}", 1, Report(counts), 0.0)
    return home


def home_memory_mb(pairs: int) -> float:
    return memory_growth_mb(build_home, pairs)


def home_tick_us(instances: int) -> float:
    """Return the CPU time in us of a home's tick with that many instances.

    The least of three medians is taken, since other processes of the machine can
    only add to the time.
    """
    return min(median_home_tick_us(instances) for _ in range(3))


def median_home_tick_us(instances: int) -> float:
    """Return the median CPU time in us of 60 ticks with reports of 8 VMs in each.

    A tick is 200 ms long. A VM's totals of an instance grow by 8 requests per tick, and
    one of 200 requests fails.
    """
    home = make_home(instances)
    totals = [0] * instances
    times_us = []
    for tick in range(60):
        now = tick * 200.0
        for reporter in range(8):
            counts = []
            for key in range(instances):
                totals[key] += 1
                counts.append(Counts(key, totals[key], totals[key] // 200, 0))
            home.on_report(f"vm{reporter}", 1, Report(tuple(counts)), now)
        started = time.process_time()
        home.on_tick(now)
        times_us.append((time.process_time() - started) * 1e6)
    return float(np.median(times_us))


MEASUREMENTS = {
    "routes_memory_mb": routes_memory_mb,
    "snapshot_load_ms": snapshot_load_ms,
    "change_apply_ms": change_apply_ms,
    "directory_memory_mb": directory_memory_mb,
    "evidence_memory_mb": evidence_memory_mb,
    "members_memory_mb": members_memory_mb,
    "home_memory_mb": home_memory_mb,
    "home_tick_us": home_tick_us,
}

# Measurement, label, unit, item and numbers of items of each line.
FITS = (
    (
        "routes_memory_mb",
        "Memory of routes",
        "MB",
        "route",
        (20_000, 40_000, 80_000, 160_000),
    ),
    (
        "snapshot_load_ms",
        "Time to load a snapshot",
        "ms",
        "route",
        (20_000, 40_000, 80_000),
    ),
    ("change_apply_ms", "Time of one change", "ms", "route", (20_000, 80_000, 160_000)),
    (
        "directory_memory_mb",
        "Memory of listed instances",
        "MB",
        "instance",
        (20_000, 60_000, 200_000),
    ),
    (
        "evidence_memory_mb",
        "Memory of evidence",
        "MB",
        "instance",
        (5_000, 10_000, 20_000),
    ),
    ("members_memory_mb", "Memory of members", "MB", "member", (500, 2_000, 4_800)),
    (
        "home_memory_mb",
        "Memory of a home",
        "MB",
        "reporter x instance",
        (8_300, 16_600, 33_200),
    ),
    ("home_tick_us", "Time of a home's tick", "us", "instance", (17, 51, 102, 204)),
)


def measure_slopes() -> list[Slope]:
    """Run all measurements of ``FITS``, and print them and the slopes to stderr."""
    slopes = []
    for measurement, name, unit, item, sizes in FITS:
        points = [(size, run_in_fresh_process(measurement, size)) for size in sizes]
        slopes.append(fit(name, unit, item, points))
        print([(size, round(value, 3)) for size, value in points], file=sys.stderr)
        print(f"{name}: {slopes[-1].slope:.6g} {unit} a {item}", file=sys.stderr)
    return slopes


def measure_messages() -> dict[str, tuple[float, float, float]]:
    """Return the size and the cost of typical messages by name.

    The values are the bytes of the datagram with its IPv4 and UDP headers (28), and
    the CPU times to encode and to decode it in microseconds.
    """
    members = tuple(make_member(number) for number in range(10))
    counts = tuple(Counts(2**60 + number, 1000, 5, 100) for number in range(2))
    edit = Edit("exception route-12345", "max_attempts", "2")
    proposal = Proposal("f" * 36, 1, "operator", "a written reason", (edit,))
    change = make_change(Head(1, "d" * 32), proposal, 1764806400000.0)
    messages = {
        "heartbeat": Heartbeat(9, "d" * 32, Freshness(900), 9, members),
        "report of 2 counts": Report(counts),
        "push of 1 change": Push(LogName.CONFIGURATION, (encode_change(change),)),
    }
    measurements_by_message = {}
    for name, message in messages.items():
        datagram = Datagram(make_member(1), message)
        encoded = encode(datagram, PEER_KEYS)
        measurements_by_message[name] = (
            len(encoded) + 28.0,
            cpu_time_us(lambda d=datagram: encode(d, PEER_KEYS), 2000),
            cpu_time_us(lambda e=encoded: decode(e, PEER_KEYS), 2000),
        )
    return measurements_by_message


def measure_heartbeats() -> tuple[float, float]:
    """Return the CPU times of a heartbeat's sender and receiver in microseconds.

    The member table has 470 members, about as many as at the design size. The
    sender's time is for one round, in which the same heartbeat goes to all its
    targets. A heartbeat carries its sender's entry and ten others. Encoding and
    decoding are left out.
    """
    table = build_members(470)
    counters = iter(range(2, 10**9))

    def send_heartbeat() -> None:
        table.advance_own_entry(1, False)
        table.remove_expired(100.0)
        table.sample(100.0)
        table.gossip_targets(3, 100.0)

    def merge_heartbeat() -> None:
        counter = next(counters)
        for index in range(11):
            table.merge(make_member(index + 1, counter), 100.0)

    return cpu_time_us(send_heartbeat, 500), cpu_time_us(merge_heartbeat, 500)


def measure_home_lookup() -> float:
    """Return the CPU time in us to find a service's homes among 436 members."""
    addresses = [make_member(number).address for number in range(436)]
    services = iter(range(10**9))
    return cpu_time_us(lambda: home_vms(f"service-{next(services)}", addresses), 200)
