"""Mixed load of the demonstration and the results of its requests."""

import http.client
import time
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from .fleet import EntryVm

CORRECTION_SHARE: Final = 0.2
BOOKING_SHARE: Final = 0.3
"""Shares of all requests; another 0.05 are downloads and the rest are queries."""


class LoadRequest(NamedTuple):
    """One request of the load; ``booking_id`` is empty if it is idempotent."""

    method: str
    path: str
    booking_id: str


@dataclass
class LoadResult:
    """Counts of requests by outcome, latencies and ids of requests.

    Attributes
    ----------
    succeeded : int
        Responses with the expected body.
    not_run : int
        Responses that report that the request was not executed.
    unknown : int
        Other responses with status 5xx or an unknown execution state.
    wrong : int
        Other responses with an unexpected body.
    connection_errors : int
    latencies_ms : list of float
    succeeded_ids : set of str
        Booking ids of the succeeded requests; the empty id stands for idempotent ones.
    not_run_ids : set of str
        Booking ids of the requests reported as not executed, likewise.
    """

    succeeded: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    connection_errors: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    succeeded_ids: set[str] = field(default_factory=set)
    not_run_ids: set[str] = field(default_factory=set)


def make_requests(count: int, seed: int) -> list[LoadRequest]:
    """Return a seeded mix of queries, downloads, bookings and corrections."""
    random = Random(seed)
    requests = []
    for number in range(count):
        draw = random.random()
        if draw < BOOKING_SHARE:
            requests.append(LoadRequest("POST", "/summit-bookings/slots", f"b{number}"))
        elif draw < BOOKING_SHARE + CORRECTION_SHARE:
            requests.append(LoadRequest("POST", "/archives/corrections", f"c{number}"))
        elif draw < 0.55:
            requests.append(
                LoadRequest("GET", f"/archives/size/{random.randrange(200_000)}", "")
            )
        else:
            requests.append(
                LoadRequest("GET", f"/depth-queries/station/{number % 50}", "")
            )
    return requests


def send_requests(vms: list[EntryVm], requests: list[LoadRequest]) -> LoadResult:
    """Send the requests one by one, to the VMs in turn, and classify the responses.

    Each VM gets one persistent connection.
    """
    result = LoadResult()
    connections = [
        http.client.HTTPConnection("127.0.0.1", vm.caller_port, timeout=20)
        for vm in vms
    ]
    for number, request in enumerate(requests):
        connection = connections[number % len(connections)]
        started = time.perf_counter()
        try:
            _send(connection, request, result)
        except (OSError, http.client.HTTPException):
            result.connection_errors += 1
            connection.close()
        result.latencies_ms.append((time.perf_counter() - started) * 1000.0)
    for connection in connections:
        connection.close()
    return result


def _send(
    connection: http.client.HTTPConnection, request: LoadRequest, result: LoadResult
) -> None:
    headers = {"X-Booking-Id": request.booking_id} if request.booking_id else {}
    body = "slot 7" if request.method == "POST" else None
    connection.request(request.method, request.path, body, headers)
    response = connection.getresponse()
    data = response.read()
    ran = response.getheader("Galenaferry-Ran")
    if ran == "not-run":
        result.not_run += 1
        result.not_run_ids.add(request.booking_id)
    elif ran == "unknown" or response.status >= 500:
        result.unknown += 1
    elif _is_expected_body(request, data):
        result.succeeded += 1
        result.succeeded_ids.add(request.booking_id)
    else:
        result.wrong += 1


def _is_expected_body(request: LoadRequest, data: bytes) -> bool:
    size = request.path.rpartition("/size/")[2]
    if size.isdigit():
        return len(data) == int(size)
    sent_bytes = 6 if request.method == "POST" else 0
    return data == f"{request.method} {request.path} {sent_bytes}\n".encode()
