"""Stand-in of the platform's store: rows, reads, feeds and transactions."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import Request, Responder, serve_http

PAGE_ROWS = 500


class Store:
    """Rows by table, part and key; each transaction raises the version by one."""

    def __init__(self) -> None:
        self.version = 1
        self.value_by_row: dict[tuple[str, str, str], bytes] = {}
        self.version_by_row: dict[tuple[str, str, str], int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await serve_http(host, 0, self._handle)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row of the operator or of an instance, as JSON."""
        self._apply([((table, "", key), json.dumps(value).encode())])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([((table, "", key), None)])

    def _apply(self, writes: list[tuple[tuple[str, str, str], bytes | None]]) -> None:
        self.version += 1
        for row, value in writes:
            if value is None:
                self.value_by_row.pop(row, None)
            else:
                self.value_by_row[row] = value
            self.version_by_row[row] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, responder: Responder) -> None:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            self._respond(responder, self._get(query))
        elif parts.path == "/rows-feed":
            await self._feed(query, responder)
        elif parts.path == "/rows-tx":
            await asyncio.sleep(0.005)
            self._transact(json.loads(request.body), responder)
        else:
            responder.respond(404, {}, b"{}")

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        start, end = query.get("from", ""), query.get("to")
        rows = sorted(
            row
            for row in self.value_by_row
            if row[:2] == (query["table"], query.get("part", ""))
            and row[2].encode() >= start.encode()
            and (end is None or row[2].encode() < end.encode())
        )
        found = [self._render(row) for row in rows[:limit]]
        return {"rows": found, "hasMore": len(rows) > limit}

    async def _feed(self, query: dict[str, str], responder: Responder) -> None:
        after = int(query["after"])
        ends_at = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000.0)
        if after > self.version:
            responder.respond(410, {}, b"{}")
            return
        while True:
            changed = sorted(
                (version, row)
                for row, version in self.version_by_row.items()
                if row[0] == query["table"] and version > after
            )
            left = ends_at - time.monotonic()
            if changed or left <= 0:
                rows = [self._render(row) for _, row in changed]
                self._respond(responder, {"rows": rows})
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, list], responder: Responder) -> None:
        for expected in body.get("expected", []):
            row = (expected["table"], expected.get("part", ""), expected["key"])
            known = self.version_by_row[row] if row in self.value_by_row else 0
            if known != expected["ver"]:
                data = {"rows": [self._render(row)] if known else []}
                self._respond(responder, data, 412)
                return
        writes: list[tuple[tuple[str, str, str], bytes | None]] = []
        for put in body.get("put", []):
            row = (put["table"], put.get("part", ""), put["key"])
            writes.append((row, base64.b64decode(put["value"])))
        for gone in body.get("remove", []):
            writes.append(((gone["table"], gone.get("part", ""), gone["key"]), None))
        if any(row[0] in ("op", "servers") for row, _ in writes):
            responder.respond(403, {}, b"{}")
            return
        self._apply(writes)
        self._respond(responder, {})

    def _render(self, row: tuple[str, str, str]) -> dict[str, object]:
        table, part, key = row
        data: dict[str, object] = {"table": table, "part": part, "key": key}
        data["ver"] = self.version_by_row[row]
        value = self.value_by_row.get(row)
        if value is None:
            return data | {"removed": True}
        return data | {"value": base64.b64encode(value).decode()}

    def _respond(
        self, responder: Responder, data: dict[str, object], status: int = 200
    ) -> None:
        now_ms = int(time.monotonic() * 1000)
        text = json.dumps(data | {"ver": self.version, "nowMs": now_ms})
        responder.respond(status, {"Content-Type": "application/json"}, text.encode())
