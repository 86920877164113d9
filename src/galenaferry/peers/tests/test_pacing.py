"""Datagrams that are paced to the bandwidth of the VM's link."""

from galenaferry.clock import FakeClock
from galenaferry.network.loop import Loop
from galenaferry.peers.pacing import (
    BURST_BYTES,
    LINK_SHARE,
    MAX_QUEUE_MS,
    DatagramPacer,
    Priority,
)

LINK_RATE = 1_250.0
ADDRESS = ("10.0.0.2", 7000)


class PacerBench:
    def __init__(self, link_rate=LINK_RATE):
        self.clock = FakeClock(1_000.0)
        self.loop = Loop(self.clock)
        self.sent = []
        self.pacer = DatagramPacer(self.loop, self._on_sent, link_rate)

    def _on_sent(self, data, address):
        self.sent.append((self.clock.now(), data))

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.clock.advance(1.0)
            self.loop.poll(0.0)

    def bytes_sent_between(self, start, end):
        return sum(len(data) for at, data in self.sent if start <= at < end)


def test_datagrams_are_sent_at_once_while_there_are_few():
    bench = PacerBench()
    for _ in range(4):
        bench.pacer.send(bytes(1_000), ADDRESS)
    assert len(bench.sent) == 4


def test_datagrams_are_sent_at_once_where_the_bandwidth_is_not_known():
    bench = PacerBench(link_rate=0.0)
    for _ in range(1_000):
        bench.pacer.send(bytes(1_000), ADDRESS)
    assert len(bench.sent) == 1_000


def test_no_interval_has_more_than_a_burst_and_the_share_of_the_link():
    bench = PacerBench()
    for _ in range(60):
        bench.pacer.send(bytes(4_000), ADDRESS)
    bench.run_for(1_000.0)
    assert len(bench.sent) == 60
    for interval in (5, 20, 100, 300):
        allowed = BURST_BYTES + interval * LINK_RATE * LINK_SHARE
        for start in range(1_000, 1_500):
            assert bench.bytes_sent_between(start, start + interval) <= allowed


def test_datagrams_larger_than_a_burst_are_sent():
    bench = PacerBench()
    for _ in range(3):
        bench.pacer.send(bytes(2 * BURST_BYTES), ADDRESS)
    bench.run_for(200.0)
    assert len(bench.sent) == 3


def test_news_of_a_table_is_sent_before_older_datagrams_of_other_kinds():
    bench = PacerBench()
    for _ in range(20):
        bench.pacer.send(b"o" * 4_000, ADDRESS)
    for _ in range(5):
        bench.pacer.send(b"n" * 4_000, ADDRESS, Priority.TABLE_NEWS)
    before = len(bench.sent)
    bench.run_for(1_000.0)
    kinds = [data[:1] for _, data in bench.sent[before:]]
    assert kinds[:5] == [b"n"] * 5
    assert len(kinds) == 25 - before


def test_a_full_queue_drops_the_oldest_datagrams_and_counts_them():
    bench = PacerBench()
    capacity = int(LINK_RATE * LINK_SHARE * MAX_QUEUE_MS) // 1_000
    at_once = BURST_BYTES // 1_000
    for number in range(at_once + capacity + 7):
        bench.pacer.send(number.to_bytes(2, "big") * 500, ADDRESS)
    assert bench.pacer.dropped_count == 7
    bench.run_for(2.0 * MAX_QUEUE_MS)
    numbers = [int.from_bytes(data[:2], "big") for _, data in bench.sent]
    assert numbers == [
        *range(at_once),
        *range(at_once + 7, at_once + capacity + 7),
    ]


def test_a_paused_process_sends_one_burst_afterwards():
    bench = PacerBench()
    for _ in range(60):
        bench.pacer.send(bytes(4_000), ADDRESS)
    before = bench.bytes_sent_between(0, 2_000)
    bench.clock.advance(10_000.0)
    bench.loop.poll(0.0)
    assert sum(len(data) for _, data in bench.sent) - before <= BURST_BYTES


def test_a_fast_link_carries_its_share():
    bench = PacerBench(link_rate=25_000.0)
    for _ in range(500):
        bench.pacer.send(bytes(4_000), ADDRESS)
    bench.run_for(200.0)
    assert len(bench.sent) == 500
    assert bench.pacer.dropped_count == 0
