"""Instances of a simulated fleet, and connections to them that hang."""

import socket
from collections import deque
from typing import NamedTuple

from galenaferry.backends.messages import Instance
from galenaferry.framing.messages import RequestHead
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.ini import parse_address
from galenaferry.network.listener import Listener
from galenaferry.network.stream import Stream
from galenaferry.platform.headers import HEADER_NAMES

ZONES = ("north", "south", "west")
HOST = "127.0.0.1"
HEALTH_PATH = b"/health"


class Arrival(NamedTuple):
    """A request that reached an instance, with the time that it was given."""

    at: float
    target: bytes
    instance: str
    time_left_ms: int = 0


class SimulatedInstance:
    """Instance with slots and a queue, which some requests crash.

    Each VM reaches it at an address of its own, so that the link of one can be cut.
    ``announced`` holds header lines that all of its responses have.
    """

    def __init__(self, fleet, number, version="v1", slots=6, work_ms=60.0):
        self.fleet = fleet
        self.slots = slots
        self.work_ms = work_ms
        self.busy = 0
        self.is_up = True
        self.status = b"200 OK"
        self.announced = b""
        self.queue = deque()
        self.connections = set()
        self.closing_for_vms = set()
        self.silent_to_vms = set()
        self.resetting_for_vms = set()
        self.listener_by_vm = {}
        self.address_by_vm = {}
        self.reserved_by_vm = {}
        self.instance = Instance(
            f"{HOST}:1",
            "bookings",
            ZONES[number % len(ZONES)],
            False,
            f"i-{number}",
            1,
            slots,
            version=version,
        )
        self.version = version

    def seen_by(self, vm_number):
        """Return the instance with the address at which a VM reaches it."""
        if vm_number not in self.listener_by_vm:
            listener = self.listener_by_vm[vm_number] = Listener(
                self.fleet.loop, (HOST, 0), lambda sock: self._accept(sock, vm_number)
            )
            self.address_by_vm[vm_number] = f"{HOST}:{listener.port}"
        return self.instance._replace(address=self.address_by_vm[vm_number])

    def refuse(self, vm_number):
        """Refuse new connections of a VM; open ones go on."""
        self.listener_by_vm[vm_number].close()
        if vm_number not in self.reserved_by_vm:
            self.reserved_by_vm[vm_number] = _reserve(self.address_by_vm[vm_number])

    def mute(self, vm_number):
        """Neither read nor write on the open connections of a VM any more."""
        for connection in self.connections:
            if connection.vm_number == vm_number:
                connection.is_mute = True
                connection.stream.pause()

    def accept_again(self, vm_number):
        """End ``refuse``, and what befalls new connections."""
        for vms in (self.closing_for_vms, self.silent_to_vms, self.resetting_for_vms):
            vms.discard(vm_number)
        if not self.listener_by_vm[vm_number].is_open:
            self.reserved_by_vm.pop(vm_number).close()
            address = parse_address(self.address_by_vm[vm_number])
            self.listener_by_vm[vm_number] = Listener(
                self.fleet.loop, address, lambda sock: self._accept(sock, vm_number)
            )

    def reset(self, vm_number=None):
        """Close the open connections of a VM, or of all."""
        for connection in list(self.connections):
            if vm_number in (None, connection.vm_number):
                connection.stream.close()
                self.connections.discard(connection)

    def crash(self):
        """End: close the listeners and all connections at once."""
        self.is_up = False
        for vm_number in self.listener_by_vm:
            self.refuse(vm_number)
        self.reset()

    def run(self, connection):
        """Begin to run a request, or queue it."""
        if self.busy >= self.slots:
            self.queue.append(connection)
            return
        self.busy += 1
        self.fleet.loop.after(self.work_ms, lambda: self._finish(connection))

    def _finish(self, connection):
        if not self.is_up:
            return
        self.busy -= 1
        target = connection.head.target
        self.fleet.finished_at_by_target[target] = self.fleet.clock.now()
        if (target, connection.body) in self.fleet.crashing and (
            self.version in self.fleet.crashing_versions
        ):
            self.fleet.on_crash(self, target)
            return
        size = len(connection.body)
        text = b"done %b %d" % (target, size) if size > 100 else b"done " + target
        connection.respond(self.status, text, self.announced)
        while self.queue and self.busy < self.slots:
            waiting = self.queue.popleft()
            if waiting.stream.is_open:
                self.run(waiting)

    def _accept(self, sock, vm_number):
        if vm_number in self.closing_for_vms:
            sock.close()
            return
        connection = InstanceConnection(self, sock, vm_number)
        self.connections.add(connection)
        if vm_number in self.silent_to_vms:
            connection.is_mute = True
            connection.stream.pause()


def _reserve(address):
    """Return a socket that keeps a port, which refuses connections, from others."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    return sock


class InstanceConnection:
    """A connection from a VM to an instance."""

    def __init__(self, server, sock, vm_number):
        self.server = server
        self.vm_number = vm_number
        self.is_mute = False
        self.reader = RequestReader(self, RequestLimits(65_536, 1 << 30))
        self.stream = Stream(server.fleet.loop, sock, self, is_connecting=False)

    def respond(self, status, body, extra=b""):
        if not self.stream.is_open or self.is_mute:
            return
        request_id = self.head.header(HEADER_NAMES.request_id)
        self.stream.write(
            b"HTTP/1.1 %b\r\ncontent-length: %d\r\n%b: %b\r\n%b: s\r\n%b\r\n%b"
            % (
                status,
                len(body),
                HEADER_NAMES.request_id,
                request_id,
                HEADER_NAMES.signature,
                extra,
                body,
            )
        )

    def on_head(self, head: RequestHead):
        self.head, self.body = head, b""

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        server = self.server
        if self.head.target == HEALTH_PATH:
            self.stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        expected = self.head.header(HEADER_NAMES.expected_instance)
        if expected != server.instance.id.encode():
            self.respond(b"421 Misdirected Request", b"")
            return
        server.fleet.arrivals.append(
            Arrival(
                server.fleet.clock.now(),
                self.head.target,
                server.instance.id,
                int(self.head.header(HEADER_NAMES.time_left) or 0),
            )
        )
        server.run(self)

    def on_connected(self):
        return

    def on_data(self, data):
        if self.vm_number in self.server.resetting_for_vms:
            self.server.connections.discard(self)
            self.stream.close()
            return
        self.reader.feed(data)

    def on_drained(self):
        return

    def on_ended(self, reason):
        self.server.connections.discard(self)
        self.stream.close()


class HungStream:
    """Stand-in for a stream whose connection is never established."""

    is_connecting = True
    is_congested = has_unsent = False
    bytes_sent = bytes_received = 0

    def __init__(self, owner):
        self.owner = owner
        self.is_open = True

    def write(self, data):
        return

    def pause(self):
        return

    def resume(self):
        return

    def close(self):
        self.is_open = False
