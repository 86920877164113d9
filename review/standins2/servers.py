"""Stand-in of a server instance that registers itself, as the users' pages say."""

import asyncio
import time

from .http import Request, Responder, serve_http
from .store import Store

HEARTBEAT_S = 1.5


class Instance:
    """One instance: its entry in the store and its HTTP server.

    It works on each request for ``work_s``.
    """

    work_s = 0.1

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        host: str,
    ) -> None:
        self._store = store
        self.name = name
        self.service = service
        self._host = host
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None
        self._sequence = 0
        self.born = 0
        self.is_up = False
        self.runs: list[tuple[float, str, Request]] = []
        self.arrivals: list[tuple[float, str, Request]] = []

    async def start(self) -> None:
        """Listen and register; a later start is a new incarnation."""
        self._server = await serve_http(
            self._host, self._port, self._handle, self._on_head
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.is_up = True
        self._beat = asyncio.create_task(self._report())

    def register(self) -> None:
        """Write the entry in the store."""
        self._sequence += 1
        self._store.put(
            "servers",
            self.name,
            {
                "address": f"{self._host}:{self._port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": "a",
                    "slots": 6,
                },
                "status": {
                    "state": "ready",
                    "sequence": self._sequence,
                    "coldRemainingMs": 0,
                },
            },
        )

    def crash(self) -> None:
        """End: the listener and all connections close."""
        if not self.is_up:
            return
        self.is_up = False
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _report(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def _on_head(self, request: Request, responder: Responder) -> bool:
        """Check the head before the body is read."""
        self._writers = {w for w in self._writers if not w.is_closing()}
        self._writers.add(responder.writer)
        if request.target == "/health":
            return True
        request_id = request.headers.get("galenaferry-request-id", "")
        self.arrivals.append((time.monotonic(), request_id, request))
        return self.on_begin(request)

    def on_begin(self, request: Request) -> bool:
        """Hook for a request that begins to run; False if it ended the instance."""
        return True

    async def _handle(self, request: Request, responder: Responder) -> None:
        if not self.is_up:
            return
        if request.target == "/health":
            responder.respond(200, {"Galenaferry-Instance-Id": self.name}, b"")
            return
        request_id = request.headers.get("galenaferry-request-id", "")
        headers = {"Galenaferry-Request-Id": request_id} if request_id else {}
        if request.headers.get("galenaferry-expected-instance") != self.name:
            headers["Galenaferry-Instance-Id"] = self.name
            responder.respond(421, headers, b"")
            return
        if not request_id:
            headers["Galenaferry-Not-Executed"] = "1"
            responder.respond(400, headers, b"")
            return
        self.runs.append((time.monotonic(), request_id, request))
        await asyncio.sleep(self.work_s)
        if not self.is_up:
            return
        headers["Galenaferry-Response-Signature"] = f"{self.name}.{request_id}"
        responder.respond(200, headers, f"done {request_id}\n".encode())
