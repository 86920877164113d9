"""Stand-in of a sound instance: slots, a short queue, echoed ids, signatures."""

import asyncio
import hashlib
import time
from collections import Counter

from . import http
from .record import Record

SLOTS, QUEUE, IDLE_S = 6, 24, 10.0
ENDLESS_PIECE = b"2\r\n, \r\n" * 2000


class Instance:
    """One instance. A path /SERVICE/SIZE/REST is answered with SIZE bytes."""

    def __init__(
        self, key: str, service: str, zone: str, record: Record, work_s: float
    ) -> None:
        self.key, self.service, self.zone = key, service, zone
        self.record, self.work_s = record, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.address = ("", 0)
        self.runs: Counter[str] = Counter()
        self.answered: dict[str, float] = {}
        self.bodies: dict[str, bytes] = {}
        self.is_early = False
        """Whether it answers before it has read a body, and reads on later."""
        self.is_endless = False
        """Whether its answers have a body without end, until the caller closes."""
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        self.address = address
        self._server = await asyncio.start_server(self._serve, *address)

    def row(self) -> dict:
        """The entry in the table of servers; counts as a report."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        status = {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}
        return {
            "address": "%s:%d" % self.address,
            "born": self.born,
            "info": info | {"slots": SLOTS},
            "status": status,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    first, headers = await http.read_head(reader)
                request = headers.get("galenaferry-request-id", "")
                if self.is_early:
                    writer.write(await self._answer(first, headers, b""))
                    await writer.drain()
                    self.bodies[request] = await http.read_body(reader, headers)
                    size = len(self.bodies[request])
                    self.record.write("body read later", request, self.key, size)
                    continue
                body = self.bodies[request] = await http.read_body(reader, headers)
                if self.is_endless:
                    await self._send_without_end(writer, request, first)
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return
        except ValueError:
            # The bytes are no request.
            writer.write(http.encode("HTTP/1.1 400 Bad Request", {"Connection": "close"}))
        finally:
            writer.close()

    async def _send_without_end(
        self, writer: asyncio.StreamWriter, request: str, first: str
    ) -> None:
        """Send chunks of two bytes until the connection ends."""
        async with self._slots:
            self.runs[request] += 1
            self.record.write("endless answer", request, self.key, *first.split(" ")[:2])
            writer.write(
                b"HTTP/1.1 200 OK\r\nGalenaferry-Request-Id: %b\r\n"
                b"Transfer-Encoding: chunked\r\n"
                b"Galenaferry-Response-Signature: %b\r\n\r\n"
                % (request.encode(), b"0" * 16)
            )
            while True:
                writer.write(ENDLESS_PIECE)
                await writer.drain()

    async def _answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        request = headers.get("galenaferry-request-id", "")
        own = {"Galenaferry-Request-Id": request, "Keep-Alive": f"timeout={IDLE_S:.0f}"}
        if self.state == "draining":
            own["Server-Leaving"] = "1"
        if headers.get("galenaferry-expected-instance", self.key) != self.key:
            own["Galenaferry-Instance-Id"] = self.key
            return http.encode("HTTP/1.1 421 Misdirected Request", own)
        if not request:
            own["Galenaferry-Not-Executed"] = "1"
            return http.encode("HTTP/1.1 400 Bad Request", own)
        if self._waiting >= QUEUE:
            own["Galenaferry-Not-Executed"] = "1"
            return http.encode("HTTP/1.1 503 Service Unavailable", own)
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.runs[request] += 1
            method, target, _ = first.split(" ")
            self.record.write("run", request, self.key, method, target, len(body))
            await asyncio.sleep(self.work_s)
        data = body_of(target)
        own["Galenaferry-Response-Signature"] = hashlib.sha256(data).hexdigest()[:16]
        self.answered[request] = time.monotonic()
        return http.encode("HTTP/1.1 200 OK", own, data)


def body_of(target: str) -> bytes:
    """Return the whole body of the answer to a path."""
    size = int(target.split("/")[2])
    return (target.encode() * (size // len(target) + 1))[:size]
