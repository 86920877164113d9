"""Open-loop load over keep-alive connections: latency counts from the schedule."""

import selectors
import socket
import time
from collections import deque
from random import Random
from typing import NamedTuple


class Sample(NamedTuple):
    """Latencies in milliseconds and the number of answers that were not 200."""

    latencies_ms: list[float]
    failures: int


def measure(
    ports: list[int], path: str, rate: float, seconds: float, seed: int
) -> Sample:
    """Send GET requests at Poisson times and return the latencies.

    A request goes out at its time on an idle connection; where none is idle a
    new one is opened, so that slow answers don't hold the schedule back.
    """
    random = Random(seed)
    request = f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
    selector = selectors.DefaultSelector()
    idle: dict[int, deque[socket.socket]] = {port: deque() for port in ports}
    due_by_socket: dict[socket.socket, tuple[float, int, bytes]] = {}
    latencies: list[float] = []
    failures = 0
    for port in ports:
        for _ in range(8):
            idle[port].append(_connect(port, selector))
    start = time.perf_counter() + 0.05
    due = start
    sent = 0
    total = int(rate * seconds)
    while sent < total or due_by_socket:
        now = time.perf_counter()
        while sent < total and due <= now:
            port = ports[sent % len(ports)]
            sock = idle[port].popleft() if idle[port] else _connect(port, selector)
            due_by_socket[sock] = (due, port, b"")
            sock.send(request)
            sent += 1
            due += random.expovariate(rate)
        wait = max(0.0, due - time.perf_counter()) if sent < total else 1.0
        for key, _ in selector.select(min(wait, 0.0005)):
            sock = key.fileobj
            data = sock.recv(65536)
            now = time.perf_counter()
            if sock not in due_by_socket:
                continue
            begun, port, before = due_by_socket[sock]
            data = before + data
            head, blank, body = data.partition(b"\r\n\r\n")
            if blank and len(body) >= _length(head):
                del due_by_socket[sock]
                latencies.append((now - begun) * 1000.0)
                failures += not data.startswith(b"HTTP/1.1 200")
                idle[port].append(sock)
            else:
                due_by_socket[sock] = (begun, port, data)
        if time.perf_counter() > start + seconds + 10.0:
            failures += len(due_by_socket)
            break
    selector.close()
    return Sample(sorted(latencies), failures)


def percentile(ordered: list[float], part: float) -> float:
    """Return the value that ``part`` of the ordered values don't exceed."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _connect(port: int, selector: selectors.BaseSelector) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    selector.register(sock, selectors.EVENT_READ)
    return sock


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
