"""Time from accepted to in force on the last VM, by replay of the decisions.

Every node has its own store, spreader and member table view; messages are lost
and delayed at random, the codec gives their sizes. Reads of the table follow the
fleet's read budget. One process replays all nodes on a fake clock.
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
from galenaferry.configuration.state import ConfigurationStore
from galenaferry.membership.heartbeats import HEARTBEAT_FANOUT, HEARTBEAT_INTERVAL_MS
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.membership.state import SAMPLE_SIZE
from galenaferry.peers.codec import Datagram, PeerKeys, encode
from galenaferry.spreading.messages import LogName, Pull, Push
from galenaferry.spreading.replicator import GossipReplicator

KEYS = PeerKeys(b"a key for the replay of spreading")
ME = Member(
    "10.100.200.30:7000", 1764806400000, 70_000, "zone-north", "andes", False, 9
)
SHORTEST_DELAY_MS = 1.0
LONGEST_DELAY_MS = 60.0
CHANGES_APART_MS = 6_000.0
HEADER_BYTES = 28


class Setting(NamedTuple):
    nodes: int
    loss: float
    is_platform_up: bool
    changes: int
    seed: int


class Result(NamedTuple):
    times_ms: list[float]
    missing: int
    bytes_per_node: float
    reads_per_second: float


class Replay:
    """Nodes, a clock and a queue of events."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.random = Random(setting.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, tuple]] = []
        self.order = count()
        self.stores = [ConfigurationStore() for _ in range(setting.nodes)]
        self.spreaders = [
            GossipReplicator(LogName.CONFIGURATION, store, self._peers)
            for store in self.stores
        ]
        self.bytes = 0
        self.reads = 0
        self.head = Head(0, "")
        self.changes = []
        self.adopted_at: dict[int, list[float]] = {}
        sample = tuple([ME] * min(SAMPLE_SIZE, setting.nodes))
        beat = Heartbeat(9, "d" * 32, Freshness(100), 9, sample)
        self.heartbeat_bytes = len(encode(Datagram(ME, beat), KEYS)) + HEADER_BYTES
        self.pull_bytes = (
            len(encode(Datagram(ME, Pull(LogName.CONFIGURATION, 9)), KEYS))
            + HEADER_BYTES
        )

    def _peers(self, number: int) -> list[str]:
        return [str(self.random.randrange(self.setting.nodes)) for _ in range(number)]

    def at(self, when: float, *event: object) -> None:
        heapq.heappush(self.events, (when, next(self.order), event))

    def send(self, sender: int, address: str, message: object, size: int) -> None:
        self.bytes += size
        if self.random.random() < self.setting.loss:
            return
        delay = self.random.uniform(SHORTEST_DELAY_MS, LONGEST_DELAY_MS)
        self.at(self.now + delay, "message", int(address), sender, message)

    def send_all(self, sender: int, sends: list) -> None:
        for send in sends:
            size = self.pull_bytes
            if isinstance(send.message, Push):
                size = self.push_bytes * len(send.message.entries)
            self.send(sender, send.address, send.message, size)

    def run(self) -> Result:
        setting = self.setting
        interval = max(
            MIN_POLL_INTERVAL_MS, setting.nodes / FLEET_READS_PER_SECOND * 1e3
        )
        for node in range(setting.nodes):
            self.at(self.random.uniform(0, HEARTBEAT_INTERVAL_MS), "beat", node)
            if setting.is_platform_up:
                self.at(self.random.uniform(0, interval), "poll", node)
        for number in range(setting.changes):
            self.at(1000.0 + number * CHANGES_APART_MS, "accept", number)
        ends_at = 1000.0 + setting.changes * CHANGES_APART_MS + 4000.0
        while self.events and self.events[0][0] <= ends_at:
            self.now, _, event = heapq.heappop(self.events)
            getattr(self, event[0])(*event[1:])
        return self.result(ends_at)

    def accept(self, number: int) -> None:
        edit = Edit("exception route-12345", "max_attempts", str(number % 9 + 1))
        proposal = Proposal(f"{number:036d}", self.head.version, "ana", "why", (edit,))
        change = make_change(self.head, proposal, self.now)
        self.head = Head(change.version, change.digest)
        self.changes.append(change)
        push = Push(LogName.CONFIGURATION, (encode_change(change),))
        self.push_bytes = len(encode(Datagram(ME, push), KEYS)) + HEADER_BYTES
        self.adopted_at[change.version] = []
        node = self.random.randrange(self.setting.nodes)
        self.catch_up(node)

    def catch_up(self, node: int) -> None:
        """What a read of the table gives: all newer changes."""
        store = self.stores[node]
        before = store.version
        for change in self.changes[before:]:
            store.adopt(change)
        self.note(node, before)
        self.send_all(node, self.spreaders[node].pushes_since(before))

    def note(self, node: int, before: int) -> None:
        for version in range(before + 1, self.stores[node].version + 1):
            self.adopted_at[version].append(self.now)

    def poll(self, node: int) -> None:
        self.reads += 1
        interval = self.setting.nodes / FLEET_READS_PER_SECOND * 1e3
        interval = max(MIN_POLL_INTERVAL_MS, interval)
        self.at(self.now + interval * self.random.uniform(0.8, 1.2), "poll", node)
        self.catch_up(node)

    def beat(self, node: int) -> None:
        self.at(self.now + HEARTBEAT_INTERVAL_MS, "beat", node)
        head = self.stores[node].head
        for address in self._peers(HEARTBEAT_FANOUT):
            self.send(node, address, head, self.heartbeat_bytes)

    def message(self, node: int, sender: int, message: object) -> None:
        spreader = self.spreaders[node]
        before = self.stores[node].version
        if isinstance(message, Head):
            sends = spreader.on_version(str(sender), message.version, self.now)
        else:
            sends = spreader.on_message(str(sender), message, self.now).outgoing
        self.note(node, before)
        self.send_all(node, sends)

    def result(self, ends_at: float) -> Result:
        times, missing = [], 0
        for number, moments in enumerate(self.adopted_at.values()):
            accepted = 1000.0 + number * CHANGES_APART_MS
            missing += self.setting.nodes - len(moments)
            times.append(max(moments) - accepted)
        seconds = ends_at / 1000.0
        return Result(
            sorted(times),
            missing,
            self.bytes / self.setting.nodes / seconds,
            self.reads / seconds,
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
                result = Replay(Setting(nodes, loss, is_up, changes, 1)).run()
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
