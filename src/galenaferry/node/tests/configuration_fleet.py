"""VMs that follow the configuration over slow links, on a fake clock.

The VMs use the real client of the store, the real transfer between VMs and the real
datagrams, which a link drops while its queue is full.
"""

import base64
import json
import math
from random import Random
from urllib.parse import parse_qs, urlsplit

from galenaferry.clock import FakeClock
from galenaferry.discovery.readers import is_reader, link_class_of, reader_order
from galenaferry.framing.messages import RequestHead
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.network import fetch as fetch_module
from galenaferry.network.json_server import JsonRequest
from galenaferry.network.loop import Loop
from galenaferry.node.tables import FleetAccess, TableListeners, Tables
from galenaferry.node.tests.simulated_network import STEP_MS, Link, Network
from galenaferry.peers import component as peers_module
from galenaferry.peers.codec import PeerKeys
from galenaferry.peers.component import PeersComponent
from galenaferry.platform.__main__ import make_adapter
from galenaferry.platform.settings import parse_node_file
from galenaferry.platform.tests.builders import NODE_FILE, configuration_json
from galenaferry.routing.hosts import HostRouteTable
from galenaferry.routing.table import NoRoute

MESSAGE_DELAY_MS = 6.0
HEARTBEAT_MS = 1_000.0
HEARTBEAT_FANOUT = 2
STORE_ADDRESS = ("10.200.1.7", 8384)
STORE_BYTES_PER_MS = 500_000.0
FAST_MBPS = 200.0
CONFIGURATION_TIMEOUT_MS = 2_500.0
LINK_QUEUE_BYTES = 16_384
"""What the link of a small VM queues before it drops datagrams."""
PEER_KEYS = PeerKeys(b"key of the fleet")


def make_configuration(version, route_count, random):
    """Return a configuration whose routes have random names."""
    routes = [
        {
            "name": f"r-{random.getrandbits(36):x}",
            "host": f"{random.getrandbits(28):x}.example",
            "prefix": f"/{random.getrandbits(36):x}/{number}/",
            "kind": "non_idempotent",
            "timeoutMs": 5000,
            "targetLatencyMs": 2641,
            "priority": 1,
            "service": "s",
            "maxAttempts": 2,
        }
        for number in range(route_count)
    ]
    return configuration_json(version=f"{version:08x}", routes=routes)


class _Poll:
    """A long poll that waits for changes."""

    def __init__(self, host, table, answer):
        self.host = host
        self.table = table
        self.answer = answer
        self.is_pending = True


class FakeStore:
    """Store of the tables, which turns some hosts away or is silent to them.

    ``silent`` and ``refused`` hold hosts. ``value`` is the newest configuration.
    """

    def __init__(self, loop):
        self._loop = loop
        self.version = 0
        self.value = b""
        # Value and version of each row, by table and key.
        self._row_by_key_by_table = {"op": {}, "servers": {}}
        self._removed_version_by_key_by_table = {"op": {}, "servers": {}}
        self.silent = set()
        self.refused = set()
        self._polls = []
        self.calls = 0

    def put(self, value):
        """Write the configuration."""
        self.value = value
        self.put_row("op", "config", value)

    def put_row(self, table, key, value):
        self.version += 1
        self._row_by_key_by_table[table][key] = value, self.version
        self._removed_version_by_key_by_table[table].pop(key, None)
        self._answer_polls(table)

    def _answer_polls(self, table):
        polls, self._polls = self._polls, []
        for poll in polls:
            if poll.table == table:
                poll.answer()
            else:
                self._polls.append(poll)

    def remove_rows(self, table, keys):
        """Remove rows in one transaction."""
        for key in keys:
            del self._row_by_key_by_table[table][key]
            self._removed_version_by_key_by_table[table][key] = self.version + 1
        self.version += 1
        self._answer_polls(table)

    def silence_connections(self, hosts):
        """Never answer the pending polls of some hosts; their new calls work."""
        for poll in self._polls:
            poll.is_pending &= poll.host not in hosts

    def server_for(self, host):
        def serve(request, respond):
            self.calls += 1
            if host in self.refused:
                respond(503, b"{}")
                return
            if host in self.silent:
                return
            url = urlsplit(request.target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            self._answer(host, url.path, query, respond)

        return serve

    def _answer(self, host, path, query, respond):
        table, after = query["table"], int(query.get("after", 0))
        if path == "/rows-feed" and not self._changed_rows(table, after):

            def answer():
                if poll.is_pending and host not in self.silent:
                    poll.is_pending = False
                    respond(200, self._rows(table, after))

            poll = _Poll(host, table, answer)
            self._loop.after(float(query["waitMs"]), answer)
            self._polls.append(poll)
            return
        respond(200, self._rows(table, after))

    def _changed_rows(self, table, after):
        return [
            {"key": key, "value": base64.b64encode(value).decode(), "ver": version}
            for key, (value, version) in self._row_by_key_by_table[table].items()
            if version > after
        ] + [
            {"key": key, "removed": True, "ver": version}
            for key, version in self._removed_version_by_key_by_table[table].items()
            if after and version > after
        ]

    def _rows(self, table, after):
        rows = self._changed_rows(table, after)
        return json.dumps(
            {"rows": rows, "ver": self.version, "hasMore": False, "nowMs": 0}
        ).encode()


class HostLoop:
    """The loop of the fleet, which also tells whose connections are made on it."""

    def __init__(self, fleet, host):
        self._loop = fleet.loop
        self.fleet = fleet
        self.host = host

    def __getattr__(self, name):
        return getattr(self._loop, name)


class FakeDatagramSocket:
    """Socket whose datagrams go over the link of the host of its loop."""

    def __init__(self, loop, address, on_datagram):
        self._loop = loop
        loop.fleet.socket_by_address[address] = on_datagram

    def send(self, data, address):
        self._loop.fleet.deliver(self._loop.host, data, address)


class FollowingVm:
    """The tables of one VM."""

    def __init__(self, fleet, number, zone, is_fast=False):
        self.fleet = fleet
        self.is_fast = is_fast
        link_rate = 125.0 * (FAST_MBPS if is_fast else fleet.nominal_mbps)
        self.host = f"10.0.{number}.1"
        self.address = f"{self.host}:7200"
        self.member = Member(
            self.address,
            1,
            1,
            zone,
            "r",
            False,
            0,
            link_class=link_class_of(link_rate),
        )
        settings = parse_node_file("local.toml", NODE_FILE).unwrap()
        self.routes = HostRouteTable(
            20,
            Random(number),
            lambda: self.tables.is_configuration_current,
            lambda: self.tables.is_configuration_outdated,
        )
        self.applied_at = {}
        # Names of the instances in use, and when each was last taken out of use.
        self.used_ids = frozenset()
        self.last_used_at = {}
        self.is_stopped = False
        loop = HostLoop(fleet, self.host)
        self.peers = PeersComponent(
            loop,
            (self.host, 7200),
            PEER_KEYS,
            lambda: self.member,
            self,
            link_rate,
        )
        self.tables = Tables(
            loop,
            make_adapter(settings, loop),
            self.routes,
            FleetAccess(self._is_designated_reader, self._send_notice, self._is_near),
            TableListeners(self._on_instances, self._on_configuration, lambda: None),
            Random(number),
            is_first_start=False,
            configuration_timeout=fleet.configuration_timeout,
            drain_timeout=fleet.configuration_timeout,
        )

    def respond(self, request, respond):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        answer = self.tables.respond_to_peer(
            JsonRequest(request.method, url.path, query, {}, None, request.body)
        )
        respond(answer.status, json.dumps(answer.body).encode())

    def _is_designated_reader(self):
        return is_reader(self.member, [vm.member for vm in self.fleet.vms])

    def _is_near(self, address):
        near = self.fleet.in_zone(self.member.zone)
        return any(vm.address == address for vm in near)

    def _send_notice(self, notice):
        if self.is_stopped:
            return
        addresses = [
            vm.address
            for vm in self.fleet.vms
            if vm is not self
            and (vm.member.zone == self.member.zone or vm in self.fleet.hubs)
        ]
        self.peers.send_to_all(addresses, notice)

    def on_notice(self, sender, notice):
        self.tables.on_notice(sender.address, notice)

    def on_table_notice(self, sender, notice):
        self.on_notice(sender, notice)

    def on_heartbeat(self, sender, heartbeat):
        self.tables.on_heartbeat(sender.address, heartbeat)

    def send_heartbeats(self):
        if self.is_stopped:
            return
        is_down = self.tables.is_store_unavailable
        self.member = self.member._replace(is_platform_down=is_down)
        heartbeat = Heartbeat(
            self.tables.configuration.last_change_version.encode(),
            "",
            Freshness(0),
            self.tables.instances.last_change_version.encode(),
            (),
            self.routes.version,
        )
        others = [vm for vm in self.fleet.vms if vm is not self]
        receivers = self.fleet.random.sample(others, HEARTBEAT_FANOUT)
        self.peers.send_to_all([vm.address for vm in receivers], heartbeat)

    def _on_instances(self, instances):
        used_ids = frozenset(i.id for i in instances if not i.is_leaving)
        now = self.fleet.clock.now()
        self.last_used_at |= dict.fromkeys(self.used_ids - used_ids, now)
        self.used_ids = used_ids

    def _on_configuration(self):
        self.applied_at.setdefault(self.routes.version, self.fleet.clock.now())


class ConfigurationFleet:
    """VMs of some zones with links of ``link_mbps``; the calls of the test are steps.

    ``loss`` is the share of the datagrams between VMs that are lost, beside those that
    a link drops because it queues ``queue_bytes`` already. ``nominal_mbps`` is the
    bandwidth of the links, of which callers leave ``link_mbps``. The last
    ``fast_per_zone`` VMs of each zone have links of ``FAST_MBPS``. A change must be in
    force on them after ``configuration_timeout`` ms.
    """

    def __init__(
        self,
        monkeypatch,
        vms=24,
        zones=2,
        link_mbps=5.0,
        loss=0.0,
        seed=1,
        queue_bytes=math.inf,
        nominal_mbps=None,
        fast_per_zone=0,
        configuration_timeout=CONFIGURATION_TIMEOUT_MS,
    ):
        self.configuration_timeout = configuration_timeout
        self.nominal_mbps = nominal_mbps or link_mbps
        self.random = Random(seed)
        self.clock = FakeClock(100_000.0)
        self.loop = Loop(self.clock)
        self.loss = loss
        self.network = Network(self.loop, self.random)
        self.store = FakeStore(self.loop)
        self.network.link_by_host[STORE_ADDRESS[0]] = Link(STORE_BYTES_PER_MS)
        self.socket_by_address = {}
        # Hosts whose connections are accepted and never answered.
        self.hanging = set()
        monkeypatch.setattr(fetch_module, "connect", self._connect)
        monkeypatch.setattr(peers_module, "DatagramSocket", FakeDatagramSocket)
        self.vms = []
        for number in range(vms):
            is_fast = number >= vms - zones * fast_per_zone
            vm = FollowingVm(self, number, f"zone-{number % zones}", is_fast)
            self.vms.append(vm)
            left = FAST_MBPS if vm.is_fast else link_mbps
            self.network.link_by_host[vm.host] = Link(left * 125.0, queue_bytes)
            self.network.server_by_address[vm.host, 7200] = vm.respond
        self.hubs = [
            vm
            for zone in {vm.member.zone for vm in self.vms}
            for vm in sorted(
                self.in_zone(zone), key=lambda vm: reader_order(vm.member)
            )[:2]
        ]
        for vm in self.vms:
            vm.tables.begin()
            self._schedule_heartbeats(vm)

    def readers(self):
        return [vm for vm in self.vms if vm._is_designated_reader()]

    def in_zone(self, zone):
        return [vm for vm in self.vms if vm.member.zone == zone]

    def _connect(self, loop, address, owner):
        server = self.network.server_by_address.get(address)
        if loop.host in self.hanging:
            server = None
        elif address == STORE_ADDRESS:
            server = self.store.server_for(loop.host)
        return self.network.connect(loop.host, address[0], server, owner)

    def deliver(self, host, data, address):
        """Send a datagram over the link of a host."""
        now = self.clock.now()
        sent_at = self.network.link_by_host[host].queue_datagram(len(data), now)
        if sent_at is None or self.random.random() < self.loss:
            return
        sender = (host, address[1])
        self.loop.after(
            sent_at - now + MESSAGE_DELAY_MS,
            lambda: self.socket_by_address[address](data, sender),
        )

    def datagrams_dropped(self):
        """Return how many datagrams the VMs' own links dropped."""
        return sum(
            self.network.link_by_host[vm.host].datagrams_dropped for vm in self.vms
        )

    def _schedule_heartbeats(self, vm):
        def send():
            vm.send_heartbeats()
            self.loop.after(HEARTBEAT_MS, send)

        self.loop.after(HEARTBEAT_MS * self.random.random(), send)

    def restart(self, vm):
        """Replace a VM by one that has nothing; return the new one."""
        vm.is_stopped = True
        number = self.vms.index(vm)
        started = FollowingVm(self, number, vm.member.zone, vm.is_fast)
        self.vms[number] = started
        self.hubs = [started if hub is vm else hub for hub in self.hubs]
        self.network.server_by_address[started.host, 7200] = started.respond
        started.tables.begin()
        self._schedule_heartbeats(started)
        return started

    def run(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.network.step()
            self.loop.poll(0.0)
            self.clock.advance(STEP_MS)

    def change(self, version, route_count):
        """Write a configuration; return the time of the acknowledgement."""
        value = make_configuration(version, route_count, self.random)
        route = json.loads(value)["routes"][-1]
        self.head_of_new_route = RequestHead(
            b"GET",
            route["prefix"].encode(),
            "1.1",
            ((b"host", route["host"].encode()),),
            0,
            True,
            False,
        )
        self.store.put(value)
        return self.clock.now()

    def rejecting(self, version, acked_at, bound):
        """Return the VMs that say that a route of a version doesn't exist.

        They are asked for it all the time from ``bound`` ms after the acknowledgement.
        """
        rejecting = set()
        while self.clock.now() < acked_at + 2.0 * bound:
            self.run(20.0)
            if self.clock.now() > acked_at + bound:
                rejecting |= {
                    vm.host
                    for vm in self.vms
                    if vm.routes.route(self.head_of_new_route) == NoRoute()
                }
        return rejecting

    def older_than(self, version):
        """Return the VMs on which an older version is in force."""
        return [vm.host for vm in self.vms if vm.routes.version < version]

    def late(self, version, acked_at, bound):
        """Return the VMs that did not apply a version within ``bound`` ms."""
        return [
            vm.host
            for vm in self.vms
            if vm.applied_at.get(version, float("inf")) > acked_at + bound
        ]
