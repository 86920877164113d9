"""Open-loop load generator over keep-alive connections.

Latency counts from the scheduled time of a request, so that a stalled server is
not hidden by requests that are sent late.
"""

import selectors
import socket
import time
from collections import deque
from random import Random
from typing import NamedTuple


class LoadResult(NamedTuple):
    """Sorted latencies in milliseconds, and the number of failed requests.

    A request failed if its answer has another status than 200 or if it has no answer
    10 s after the end of the load. Answers with another status have a latency, too.
    """

    latencies_ms: list[float]
    failures: int


def run_load(
    ports: list[int], path: str, rate: float, seconds: float, seed: int
) -> LoadResult:
    """Send GET requests at Poisson times, in turn to the given ports.

    Eight connections per port are opened before the load starts. A request goes out
    at its scheduled time on an idle connection. Where none is idle a new one is opened,
    so that slow responses don't delay later requests.

    Parameters
    ----------
    ports : list of int
        Ports on the loopback address.
    path : str
    rate : float
        Requests per second over all ports.
    seconds : float
        Nominal duration; ``rate * seconds`` requests are sent.
    seed : int
    """
    random = Random(seed)
    request = f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
    selector = selectors.DefaultSelector()
    idle_by_port: dict[int, deque[socket.socket]] = {port: deque() for port in ports}
    pending_by_socket: dict[socket.socket, tuple[float, int, bytes]] = {}
    latencies_ms: list[float] = []
    failures = 0
    for port in ports:
        for _ in range(8):
            idle_by_port[port].append(_connect(port, selector))
    started = time.perf_counter() + 0.05
    next_due = started
    sent = 0
    request_count = int(rate * seconds)
    while sent < request_count or pending_by_socket:
        now = time.perf_counter()
        while sent < request_count and next_due <= now:
            port = ports[sent % len(ports)]
            sock = (
                idle_by_port[port].popleft()
                if idle_by_port[port]
                else _connect(port, selector)
            )
            pending_by_socket[sock] = (next_due, port, b"")
            sock.send(request)
            sent += 1
            next_due += random.expovariate(rate)
        wait_s = (
            max(0.0, next_due - time.perf_counter()) if sent < request_count else 1.0
        )
        for key, _ in selector.select(min(wait_s, 0.0005)):
            sock = key.fileobj
            data = sock.recv(65536)
            now = time.perf_counter()
            if sock not in pending_by_socket:
                continue
            due, port, received = pending_by_socket[sock]
            data = received + data
            head, blank, body = data.partition(b"\r\n\r\n")
            if blank and len(body) >= _content_length(head):
                del pending_by_socket[sock]
                latencies_ms.append((now - due) * 1000.0)
                failures += not data.startswith(b"HTTP/1.1 200")
                idle_by_port[port].append(sock)
            else:
                pending_by_socket[sock] = (due, port, data)
        if time.perf_counter() > started + seconds + 10.0:
            failures += len(pending_by_socket)
            break
    selector.close()
    return LoadResult(sorted(latencies_ms), failures)


def percentile(ordered: list[float], fraction: float) -> float:
    """Return the value that a ``fraction`` of the ordered values don't exceed."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _connect(port: int, selector: selectors.BaseSelector) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    selector.register(sock, selectors.EVENT_READ)
    return sock


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
