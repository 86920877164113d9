"""The configuration in force while the store or other VMs have another version."""

from random import Random

from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import NO_VERSION, TableError, TableRow
from galenaferry.discovery.news import MAX_NEWS_AGE_MS
from galenaferry.network.loop import Loop
from galenaferry.node.configuration import (
    FETCH_DELAY_MS,
    IN_FORCE_TABLE,
    ConfigurationUpdater,
    PeerConfigurations,
)
from galenaferry.platform.__main__ import make_adapter
from galenaferry.platform.settings import parse_node_file
from galenaferry.platform.tests.builders import NODE_FILE, configuration_json
from galenaferry.routing.hosts import HostRouteTable

SETTINGS = parse_node_file("local.toml", NODE_FILE).unwrap()


def row(version):
    return TableRow("config", configuration_json(version=f"{version:08x}"))


class ConfigurationBench:
    def __init__(self):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.routes = HostRouteTable(20, Random(1))
        self.updater = ConfigurationUpdater(
            make_adapter(SETTINGS, self.loop), self.routes
        )
        self.fetches = []
        self.is_table_behind = False
        self.peers = PeerConfigurations(
            self.loop,
            lambda *arguments: self.fetches.append(arguments),
            lambda: self.routes.version,
            self.updater.on_change,
            lambda: self.is_table_behind,
        )

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.clock.advance(10.0)
            self.loop.poll(0.0)


def test_an_older_configuration_of_a_restored_store_does_not_replace_a_newer_one():
    bench = ConfigurationBench()
    bench.updater.on_change((row(9),))
    bench.updater.on_change((row(5),))
    assert bench.routes.version == 9
    assert bench.updater.update_in_force(NO_VERSION).rows == (row(9),)
    bench.updater.on_change((TableRow("config", None),))
    assert bench.routes.version == 9


def test_a_vm_that_starts_after_a_restore_takes_the_version_in_force_elsewhere():
    bench = ConfigurationBench()
    bench.updater.on_change((row(5),))
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    bench.run_for(FETCH_DELAY_MS + 20.0)
    address, table, _, done = bench.fetches[0]
    assert (address, table) == ("10.0.0.2:7000", IN_FORCE_TABLE)
    other = ConfigurationBench()
    other.updater.on_change((row(9),))
    done(Ok(other.updater.update_in_force(NO_VERSION)))
    assert bench.routes.version == 9


def test_a_version_that_arrives_from_the_store_meanwhile_is_not_fetched():
    bench = ConfigurationBench()
    bench.updater.on_change((row(5),))
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    bench.updater.on_change((row(9),))
    bench.run_for(FETCH_DELAY_MS + 20.0)
    assert bench.fetches == []


def test_a_failed_fetch_is_repeated_after_the_next_heartbeat():
    bench = ConfigurationBench()
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    bench.run_for(20.0)
    bench.fetches[0][3](Err(TableError("no answer")))
    bench.peers.on_peer_version("10.0.0.3:7000", 9)
    bench.run_for(20.0)
    assert bench.fetches[1][0] == "10.0.0.3:7000"


def test_a_configuration_that_comes_with_the_table_is_not_fetched_a_second_time():
    bench = ConfigurationBench()
    bench.updater.on_change((row(5),))
    bench.is_table_behind = True
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    bench.run_for(FETCH_DELAY_MS + 20.0)
    assert bench.fetches == []
    # The table is whole, and doesn't have the version after a restore of the store.
    bench.is_table_behind = False
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    bench.run_for(FETCH_DELAY_MS + 20.0)
    assert len(bench.fetches) == 1


def test_a_version_in_force_only_on_a_vm_that_left_does_not_leave_others_behind():
    bench = ConfigurationBench()
    bench.updater.on_change((row(5),))
    bench.peers.on_peer_version("10.0.0.2:7000", 9)
    assert bench.peers.is_behind
    bench.run_for(MAX_NEWS_AGE_MS)
    bench.peers.on_peer_version("10.0.0.3:7000", 5)
    bench.run_for(100.0)
    assert not bench.peers.is_behind
