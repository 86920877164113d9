"""A small mixed load of the demonstration and what came of it."""

import http.client
import time
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from .fleet import EntryVm

CORRECTION_SHARE: Final = 0.2
BOOKING_SHARE: Final = 0.3


class Call(NamedTuple):
    """One request of the load; ``booking_id`` is empty where it may repeat."""

    method: str
    path: str
    booking_id: str


@dataclass
class Tally:
    """Answers counted by kind."""

    ok: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    broken: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    answered_ids: set[str] = field(default_factory=set)
    not_run_ids: set[str] = field(default_factory=set)


def make_calls(count: int, seed: int) -> list[Call]:
    """Return a seeded mix of queries, bookings, archives and corrections."""
    random = Random(seed)
    calls = []
    for number in range(count):
        draw = random.random()
        if draw < BOOKING_SHARE:
            calls.append(Call("POST", "/summit-bookings/slots", f"b{number}"))
        elif draw < BOOKING_SHARE + CORRECTION_SHARE:
            calls.append(Call("POST", "/archives/corrections", f"c{number}"))
        elif draw < 0.55:
            calls.append(Call("GET", f"/archives/size/{random.randrange(200_000)}", ""))
        else:
            calls.append(Call("GET", f"/depth-queries/station/{number % 50}", ""))
    return calls


def send_calls(vms: list[EntryVm], calls: list[Call]) -> Tally:
    """Send the calls over one connection a VM, in turn, and judge the answers."""
    tally = Tally()
    connections = [
        http.client.HTTPConnection("127.0.0.1", vm.callers, timeout=20) for vm in vms
    ]
    for number, call in enumerate(calls):
        connection = connections[number % len(connections)]
        started = time.perf_counter()
        try:
            _send(connection, call, tally)
        except (OSError, http.client.HTTPException):
            tally.broken += 1
            connection.close()
        tally.latencies_ms.append((time.perf_counter() - started) * 1000.0)
    for connection in connections:
        connection.close()
    return tally


def _send(connection: http.client.HTTPConnection, call: Call, tally: Tally) -> None:
    headers = {"X-Booking-Id": call.booking_id} if call.booking_id else {}
    body = "slot 7" if call.method == "POST" else None
    connection.request(call.method, call.path, body, headers)
    response = connection.getresponse()
    data = response.read()
    ran = response.getheader("Galenaferry-Ran")
    if ran == "not-run":
        tally.not_run += 1
        tally.not_run_ids.add(call.booking_id)
    elif ran == "unknown" or response.status >= 500:
        tally.unknown += 1
    elif _is_right(call, data):
        tally.ok += 1
        tally.answered_ids.add(call.booking_id)
    else:
        tally.wrong += 1


def _is_right(call: Call, data: bytes) -> bool:
    size = call.path.rpartition("/size/")[2]
    if size.isdigit():
        return len(data) == int(size)
    sent = 6 if call.method == "POST" else 0
    return data == f"{call.method} {call.path} {sent}\n".encode()
