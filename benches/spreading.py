"""Simulate how long a configuration change takes to be in force on all VMs.

Every node, that is every VM, has a configuration and a gossip replicator of its
own, of the production classes. Messages are lost and delayed at random; heartbeats and
pushes of new changes go to uniformly random nodes; the codec gives the sizes. The
platform's table holds the accepted changes, and nodes poll it within the fleet's read
budget. One process simulates all nodes in virtual time.
"""

import argparse
import heapq
import sys
import time
from itertools import count
from random import Random
from typing import NamedTuple

from galenaferry.configuration.component import (
    FLEET_READS_PER_SECOND,
    MIN_POLL_INTERVAL_MS,
)
from galenaferry.configuration.messages import (
    Edit,
    Head,
    Proposal,
    encode_change,
    make_change,
)
from galenaferry.configuration.state import ConfigurationState
from galenaferry.membership.heartbeats import HEARTBEAT_FANOUT, HEARTBEAT_INTERVAL_MS
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.membership.state import SAMPLE_SIZE
from galenaferry.peers.codec import Datagram, PeerKeys, encode
from galenaferry.spreading.messages import LogName, Pull, Push
from galenaferry.spreading.replicator import GossipReplicator

PEER_KEYS = PeerKeys(b"a key for the replay of spreading")
SAMPLE_MEMBER = Member(
    "10.100.200.30:7000", 1764806400000, 70_000, "zone-north", "andes", False, 9
)
MIN_DELAY_MS = 1.0
MAX_DELAY_MS = 60.0
"""Bounds of the random delay of a message."""
CHANGE_INTERVAL_MS = 6_000.0
"""Time between two changes. The first one is accepted 1 s after the start."""
HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""


class SimulationParameters(NamedTuple):
    """One simulation; ``loss`` is the share of lost messages.

    Without the platform no node polls, and only the node that accepts a change
    gets it from the table.
    """

    nodes: int
    loss: float
    is_platform_up: bool
    changes: int
    seed: int


class SimulationResult(NamedTuple):
    """Result of a simulation.

    ``times_ms`` holds the time from the acceptance of each change to its adoption by
    the last node that adopted it, in ascending order. ``missing`` is the number of
    pairs of a node and a change that it did not adopt. ``bytes_per_node`` is the
    number of bytes that a node sends per second, and ``reads_per_second`` the number
    of reads of the table by the whole fleet.
    """

    times_ms: list[float]
    missing: int
    bytes_per_node: float
    reads_per_second: float


class SpreadingSimulation:
    """Discrete-event simulation of all nodes; times are in milliseconds.

    An event is the name of a method and its arguments.
    """

    def __init__(self, parameters: SimulationParameters) -> None:
        self.parameters = parameters
        self.random = Random(parameters.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, tuple]] = []
        self.sequence = count()
        self.states = [ConfigurationState() for _ in range(parameters.nodes)]
        self.replicators = [
            GossipReplicator(LogName.CONFIGURATION, state, self._peers)
            for state in self.states
        ]
        self.bytes_sent = 0
        self.read_count = 0
        self.head = Head(0, "")
        self.changes = []
        self.adoption_times_by_version: dict[int, list[float]] = {}
        sample = tuple([SAMPLE_MEMBER] * min(SAMPLE_SIZE, parameters.nodes))
        heartbeat = Heartbeat(9, "d" * 32, Freshness(100), 9, sample)
        self.heartbeat_bytes = (
            len(encode(Datagram(SAMPLE_MEMBER, heartbeat), PEER_KEYS)) + HEADER_BYTES
        )
        self.pull_bytes = (
            len(
                encode(
                    Datagram(SAMPLE_MEMBER, Pull(LogName.CONFIGURATION, 9)), PEER_KEYS
                )
            )
            + HEADER_BYTES
        )

    def _peers(self, limit: int) -> list[str]:
        return [str(self.random.randrange(self.parameters.nodes)) for _ in range(limit)]

    def schedule(self, when: float, *event: object) -> None:
        """Call a method, given by its name, at a time in milliseconds."""
        heapq.heappush(self.events, (when, next(self.sequence), event))

    def send(self, sender: int, address: str, message: object, size: int) -> None:
        self.bytes_sent += size
        if self.random.random() < self.parameters.loss:
            return
        delay = self.random.uniform(MIN_DELAY_MS, MAX_DELAY_MS)
        self.schedule(
            self.now + delay, "deliver_message", int(address), sender, message
        )

    def send_all(self, sender: int, outgoing: list) -> None:
        for outgoing_message in outgoing:
            size = self.pull_bytes
            if isinstance(outgoing_message.message, Push):
                size = self.push_bytes * len(outgoing_message.message.entries)
            self.send(sender, outgoing_message.address, outgoing_message.message, size)

    def run(self) -> SimulationResult:
        parameters = self.parameters
        poll_interval = max(
            MIN_POLL_INTERVAL_MS, parameters.nodes / FLEET_READS_PER_SECOND * 1e3
        )
        for node in range(parameters.nodes):
            self.schedule(
                self.random.uniform(0, HEARTBEAT_INTERVAL_MS), "send_heartbeat", node
            )
            if parameters.is_platform_up:
                self.schedule(self.random.uniform(0, poll_interval), "poll_table", node)
        for number in range(parameters.changes):
            self.schedule(1000.0 + number * CHANGE_INTERVAL_MS, "accept_change", number)
        ends_at = 1000.0 + parameters.changes * CHANGE_INTERVAL_MS + 4000.0
        while self.events and self.events[0][0] <= ends_at:
            self.now, _, event = heapq.heappop(self.events)
            getattr(self, event[0])(*event[1:])
        return self.summarize(ends_at)

    def accept_change(self, number: int) -> None:
        """Accept a change in the table; a random node reads it at once."""
        edit = Edit("exception route-12345", "max_attempts", str(number % 9 + 1))
        proposal = Proposal(f"{number:036d}", self.head.version, "ana", "why", (edit,))
        change = make_change(self.head, proposal, self.now)
        self.head = Head(change.version, change.digest)
        self.changes.append(change)
        push = Push(LogName.CONFIGURATION, (encode_change(change),))
        self.push_bytes = (
            len(encode(Datagram(SAMPLE_MEMBER, push), PEER_KEYS)) + HEADER_BYTES
        )
        self.adoption_times_by_version[change.version] = []
        node = self.random.randrange(self.parameters.nodes)
        self.catch_up(node)

    def catch_up(self, node: int) -> None:
        """Adopt all newer changes of the table and push them to other nodes."""
        state = self.states[node]
        previous_version = state.version
        for change in self.changes[previous_version:]:
            state.adopt(change)
        self.record_adoptions(node, previous_version)
        self.send_all(node, self.replicators[node].pushes_since(previous_version))

    def record_adoptions(self, node: int, previous_version: int) -> None:
        for version in range(previous_version + 1, self.states[node].version + 1):
            self.adoption_times_by_version[version].append(self.now)

    def poll_table(self, node: int) -> None:
        self.read_count += 1
        poll_interval = self.parameters.nodes / FLEET_READS_PER_SECOND * 1e3
        poll_interval = max(MIN_POLL_INTERVAL_MS, poll_interval)
        self.schedule(
            self.now + poll_interval * self.random.uniform(0.8, 1.2), "poll_table", node
        )
        self.catch_up(node)

    def send_heartbeat(self, node: int) -> None:
        self.schedule(self.now + HEARTBEAT_INTERVAL_MS, "send_heartbeat", node)
        head = self.states[node].head
        for address in self._peers(HEARTBEAT_FANOUT):
            self.send(node, address, head, self.heartbeat_bytes)

    def deliver_message(self, node: int, sender: int, message: object) -> None:
        """Handle a message at a node; a ``Head`` stands for a heartbeat."""
        replicator = self.replicators[node]
        previous_version = self.states[node].version
        if isinstance(message, Head):
            outgoing = replicator.on_version(str(sender), message.version, self.now)
        else:
            outgoing = replicator.on_message(str(sender), message, self.now).outgoing
        self.record_adoptions(node, previous_version)
        self.send_all(node, outgoing)

    def summarize(self, ends_at: float) -> SimulationResult:
        times_ms, missing = [], 0
        for number, adoption_times in enumerate(
            self.adoption_times_by_version.values()
        ):
            accepted_at = 1000.0 + number * CHANGE_INTERVAL_MS
            missing += self.parameters.nodes - len(adoption_times)
            times_ms.append(max(adoption_times) - accepted_at)
        duration_s = ends_at / 1000.0
        return SimulationResult(
            sorted(times_ms),
            missing,
            self.bytes_sent / self.parameters.nodes / duration_s,
            self.read_count / duration_s,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[40, 400, 4800])
    parser.add_argument("--changes", type=int, default=0)
    arguments = parser.parse_args()
    print(
        "last VM in force after a change was accepted, ms; control bytes a node a s"
        " include heartbeats and 28 B of headers a datagram"
    )
    print("nodes loss platform changes  median     99%   worst missing  B/s  reads/s")
    for nodes in arguments.nodes:
        for loss in (0.0, 0.05, 0.2):
            for is_up in (True, False):
                changes = arguments.changes or max(4, min(100, 20_000 // nodes))
                started = time.monotonic()
                result = SpreadingSimulation(
                    SimulationParameters(nodes, loss, is_up, changes, 1)
                ).run()
                times = result.times_ms
                rank = min(len(times) - 1, int(0.99 * len(times)))
                print(
                    f"{nodes:5} {loss:4.0%} {'up' if is_up else 'down':8}"
                    f" {changes:7} {times[len(times) // 2]:7.0f} {times[rank]:7.0f}"
                    f" {times[-1]:7.0f} {result.missing:7}"
                    f" {result.bytes_per_node:5.0f} {result.reads_per_second:7.1f}"
                    f"   ({time.monotonic() - started:.0f} s)"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
