"""Instances that stop at any byte of a response and close the connection."""

import pytest

from galenaferry.backends import connection
from galenaferry.network import connect_check
from galenaferry.platform.headers import HEADER_NAMES
from galenaferry.tests.fleet import Fleet
from galenaferry.tests.rejections import no_proper_request_is_rejected  # noqa: F401
from galenaferry.tests.simulated_instances import InstanceConnection

FRAMINGS = ("length", "chunked", "until close")
PIECE_DELAY_MS = 6.0


def encode(framing, request_id, body):
    """Return the head and the encoded body of a response."""
    common = b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\n" % (
        HEADER_NAMES.request_id,
        request_id,
        HEADER_NAMES.signature,
    )
    if framing == "length":
        # The length is named last, so that a cut can make it a shorter one.
        return common + b"content-length: %d\r\n\r\n" % len(body), body
    if framing == "chunked":
        coded = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return common + b"transfer-encoding: chunked\r\n\r\n", coded
    return common + b"\r\n", body


def cut_responses(monkeypatch, framing, pieces=1, cut_targets=b"/"):
    """Let the instances cut each response one byte later than the one before.

    ``pieces`` is the number of parts in which a response is written, with pauses.
    Returns the list of (target, whether the head was cut).
    """
    cuts = []

    class CuttingConnection(InstanceConnection):
        def respond(self, status, body, extra=b""):
            if not self.stream.is_open:
                return
            target = self.head.target
            if not target.startswith(cut_targets):
                super().respond(status, body, extra)
                return
            request_id = self.head.header(HEADER_NAMES.request_id)
            head, coded = encode(framing, request_id, body)
            # A close ends a response without a length, so only its head is cut.
            whole = head if framing == "until close" else head + coded
            size = len(cuts) % len(whole)
            cuts.append((target, size < len(head)))
            step = size // pieces + 1
            for number in range(pieces + 1):
                part = whole[:size][number * step : (number + 1) * step]
                self.server.fleet.loop.after(
                    PIECE_DELAY_MS * number, lambda part=part: self.write(part)
                )
            self.server.fleet.loop.after(
                PIECE_DELAY_MS * (pieces + 1), self.stream.shutdown_write
            )

        def write(self, part):
            if self.stream.is_open and part:
                self.stream.write(part)

    monkeypatch.setattr(
        "galenaferry.tests.simulated_instances.InstanceConnection", CuttingConnection
    )
    return cuts


def is_whole(request):
    return request.received.endswith(b"\r\n\r\ndone " + request.target.encode())


def send_bookings(fleet, count, vms):
    requests = []

    def send(_):
        number = len(requests)
        if number < count:
            vm = vms[number % len(vms)]
            requests.append(fleet.post(f"/book/{number}", b"x", number % 200, vm))

    fleet.run(count * 0.026 + 0.1, (20.0, send))
    fleet.run(8.0)
    return requests


def check(requests, cuts):
    assert len({target for target, _ in cuts}) > 100
    assert any(is_head for _, is_head in cuts)
    assert [r.target for r in requests if r.status == 200 and not is_whole(r)] == []
    assert {r.status for r in requests} <= {200, 502, 503, 504}
    cut_targets = {target for target, _ in cuts}
    refused_but_run = [
        r.target
        for r in requests
        if r.status == 503 and r.target.encode() in cut_targets
    ]
    assert refused_but_run == []


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("pieces", [1, 3])
def test_no_cut_response_becomes_a_whole_one(monkeypatch, framing, pieces):
    cuts = cut_responses(monkeypatch, framing, pieces)
    fleet = Fleet(vms=2, instances=4, slots=20)
    requests = send_bookings(fleet, 300, fleet.vms)
    check(requests, cuts)
    assert not any(r.status == 200 for r in requests)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_cut_response_becomes_a_whole_one_by_way_of_another_vm(monkeypatch, framing):
    cuts = cut_responses(monkeypatch, framing, cut_targets=b"/book/")
    fleet = Fleet(vms=4, instances=4, slots=20)
    for module in (connection, connect_check):
        monkeypatch.setattr(module, "connect", fleet.connect)
    fleet.cut(0, "reset")
    fleet.run(2.0, (50.0, lambda number: fleet.get("/read/n", vm=fleet.vms[0])))
    assert fleet.vms[0].backends.is_cut_off
    check(send_bookings(fleet, 300, fleet.vms[:1]), cuts)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_lookups_whose_response_is_cut_are_answered_whole_or_not_at_all(
    monkeypatch, framing
):
    cuts = cut_responses(monkeypatch, framing, cut_targets=b"/read/cut")
    fleet = Fleet(vms=2, instances=4, slots=20)
    requests = []

    def send(number):
        kind = "cut" if number % 4 == 0 else "whole"
        vm = fleet.vms[number % 2]
        requests.append(fleet.get(f"/read/{kind}/{number}", number % 200, vm))

    fleet.run(9.0, (15.0, send))
    fleet.run(8.0)
    check(requests, cuts)
    whole = [r for r in requests if "/whole/" in r.target]
    assert sum(r.status == 200 for r in whole) > 0.8 * len(whole)
