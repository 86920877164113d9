"""Limits on what clients make a JSON server hold, and clients that never meet them."""

import pytest

from galenaferry.network.json_server import ServerLimits
from galenaferry.network.json_server.decisions import (
    Closing,
    Idle,
    Queued,
    Receiving,
    Sending,
    choose_replaced,
)
from galenaferry.network.json_server.tests.builders import (
    GET,
    GET_LARGE,
    LARGE_ANSWER,
    WIDE_WINDOW,
    Bench,
)
from galenaferry.network.json_server.turns import TurnQueue

LIMITS = ServerLimits(connections=4, memory_bytes=500_000)
FIRST, LATER = Queued(is_first=True), Queued(is_first=False)


@pytest.mark.parametrize(
    ("phases", "position"),
    [
        ([FIRST, Sending(), Idle()], 1),
        ([FIRST, LATER, Receiving()], 2),
        ([FIRST, LATER, LATER], 1),
        ([Closing(), Idle()], 0),
        ([FIRST, FIRST], None),
        ([], None),
    ],
)
def test_a_new_connection_replaces_one_that_waits_for_its_client(phases, position):
    assert choose_replaced(phases) == position


def test_first_requests_and_others_take_turns():
    queue = TurnQueue()
    for number in range(3):
        queue.append(f"later {number}", is_first=False)
    queue.append("first", is_first=True)
    assert [queue.pop() for _ in range(4)][:2] == ["first", "later 0"]


@pytest.mark.parametrize("is_in_one_piece", [True, False])
def test_no_request_is_read_while_the_answer_before_is_unread(is_in_one_piece):
    bench = Bench()
    client = bench.client()
    for data in [GET_LARGE * 50] if is_in_one_piece else [GET_LARGE] * 50:
        client.send(data)
        bench.poll(3)
    assert len(bench.requests) == 1
    assert bench.server.connections.used_bytes < len(LARGE_ANSWER) + 70_000


def test_a_crowd_that_sends_ahead_delays_no_client_that_asks_once():
    """Guards against one connection's requests being answered all in one turn."""
    bench = Bench()
    crowd = [bench.client(GET * 200) for _ in range(10)]
    bench.poll(3)
    client = bench.client(GET)
    bench.poll(3)
    assert client.read().statuses == [200]
    assert len(bench.requests) < 200
    assert [other.finish().statuses for other in crowd] == [[200] * 200] * 10


def test_the_connection_without_progress_makes_room_for_a_client_that_asks_once():
    bench = Bench(LIMITS._replace(memory_bytes=100_000_000))
    silent, partial, unread, idle = (
        bench.client(data) for data in (b"", GET[:9], GET_LARGE, GET)
    )
    bench.poll()
    partial.send(b"x")
    later = [bench.client(GET).finish() for _ in range(20)]
    assert [client.statuses for client in later] == [[200]] * 20
    assert len(bench.server.connections) == 4
    assert bench.counters.replaced == 20
    assert all(client.finish().is_closed for client in (silent, partial, unread, idle))
    assert len(unread.received) < len(LARGE_ANSWER)


def test_unread_answers_above_the_budget_are_dropped_but_not_the_latest():
    bench = Bench(LIMITS)
    unread = [bench.client(GET_LARGE) for _ in range(3)]
    bench.poll()
    client = bench.client(GET_LARGE, window=WIDE_WINDOW)
    assert len(client.finish().received) > len(LARGE_ANSWER)
    assert bench.counters.relieved == 3
    assert all(other.finish().is_closed for other in unread)
    assert bench.server.connections.used_bytes < 20_000


@pytest.mark.parametrize(
    ("data", "limit"),
    [
        (b"", LIMITS.idle_timeout),
        (GET, LIMITS.idle_timeout),
        (GET[:9], LIMITS.receive_timeout),
        (GET_LARGE, LIMITS.send_timeout),
        (GET.replace(b"1.1", b"1.0"), 1_000.0),
    ],
)
def test_a_client_without_progress_is_disconnected(data, limit):
    bench = Bench(LIMITS)
    client = bench.client(data)
    bench.poll()
    bench.run_for(limit - 500.0)
    assert len(bench.server.connections) == 1
    bench.run_for(4_000.0)
    assert len(bench.server.connections) == 0
    client.sock.close()


def test_a_client_that_reads_slowly_gets_its_whole_answer():
    bench = Bench(LIMITS)
    client = bench.client(GET_LARGE, window=WIDE_WINDOW)
    bench.run_for(600_000.0, 4_000.0, lambda: client.read(100_000))
    assert len(client.finish().received) > len(LARGE_ANSWER)


def test_a_client_that_sends_slowly_is_answered():
    bench = Bench(LIMITS)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
    client = bench.client()
    parts = iter([head[:9], head[9:]] + [b"x"] * 20)
    bench.run_for(22 * 8_000.0, 8_000.0, lambda: client.send(next(parts)))
    assert client.finish().statuses == [200]
