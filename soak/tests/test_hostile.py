"""Hostile peers send what they claim to send, and findings follow from what ran."""

import os
from types import SimpleNamespace

import pytest

from galenaferry.framing.requests import RequestLimits, RequestReader
from soak import hostile
from soak.hostile import HostilePeers
from soak.instances import ExecutionRecord


class Sent:
    """Connection that collects what is sent on it."""

    def __init__(self):
        self.data = b""
        self.stream = self

    def send(self, data):
        self.data += data

    def write(self, data):
        self.data += data


class Parsed:
    """Owner of a reader, which collects the request."""

    def __init__(self):
        self.body = b""
        self.is_complete = False

    def on_head(self, head):
        self.head = head

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        self.is_complete = True


def make_peers(seed=1, vms=()):
    connection, timers = Sent(), []
    peers = HostilePeers(
        SimpleNamespace(after=lambda wait, callback: timers.append(callback)),
        list(vms) or [SimpleNamespace(front_address=("127.0.0.2", 1), number=0, pid=0)],
        None,
        SimpleNamespace(begin_booking=lambda request, address: connection),
        ExecutionRecord(),
        seed,
    )
    return peers, connection, timers


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("act", ["_offer_upgrade", "_send_in_pieces"])
def test_a_booking_is_whole_whatever_its_form(seed, act):
    """Guards against findings for bodies that the harness itself has not sent."""
    peers, connection, timers = make_peers(seed)
    getattr(peers, act)()
    while timers:
        timers.pop(0)()
    parsed = Parsed()
    # The reader of a VM reads no further behind the offer of another protocol.
    data = connection.data.replace(b"Upgrade: h2c\r\n", b"")
    RequestReader(parsed, RequestLimits(65_536, 1 << 20)).feed(data)
    assert parsed.is_complete
    assert [parsed.body] == list(peers._record.body_by_request.values())


def test_a_seed_always_gives_the_same_acts():
    """Guards against findings that can't be played again."""
    sent = []
    for _ in range(2):
        peers, connection, _ = make_peers(3)
        peers._offer_upgrade()
        sent.append(connection.data)
    assert sent[0] == sent[1]


def test_a_vm_with_much_memory_is_reported(monkeypatch):
    """Guards against a run that passes while a VM grows."""
    own = SimpleNamespace(front_address=("127.0.0.2", 1), number=3, pid=os.getpid())
    peers, _, _ = make_peers(vms=[own])
    monkeypatch.setattr(hostile, "MAX_RSS_MB", 1.0)
    (finding,) = peers.find_large_vms()
    assert finding.startswith("vm-3 holds ")
    monkeypatch.setattr(hostile, "MAX_RSS_MB", 1_000_000.0)
    assert peers.find_large_vms() == []


def test_chunks_are_of_a_few_bytes():
    """Guards against pieces that no parser finds hard."""
    peers, _, _ = make_peers()
    data, sizes = peers._encode_chunks(b"x" * 100), []
    while data:
        size, _, rest = data.partition(b"\r\n")
        sizes.append(int(size, 16))
        data = rest[sizes[-1] + 2 :]
    assert sum(sizes) == 100
    assert set(sizes[:-1]) <= {1, 2, 3, 4}
