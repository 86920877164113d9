"""Stand-in of the platform's store: rows with one counter, long polls, transactions."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http

CALL_S = 0.004
"""Time of a call, as on the sheet of the site."""


class Store:
    """Rows by table and key, all in the part with the empty name."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        self._server = await asyncio.start_server(self._serve, *address)

    async def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row as the operator, an instance or another writer."""
        async with self._changed:
            self._put(table, key, value)
            self._changed.notify_all()

    async def put_json(self, table: str, key: str, value: object) -> None:
        await self.put(table, key, json.dumps(value).encode())

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = (value, self.version)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await http.read_head(reader)
                body = await http.read_body(reader, headers)
                status, data = await self._answer(first, body)
                text = json.dumps(data).encode()
                names = {"Content-Type": "application/json"}
                writer.write(http.encode(f"HTTP/1.1 {status} Status", names, text))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, first: str, body: bytes) -> tuple[int, dict]:
        await asyncio.sleep(CALL_S)
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match method, parts.path:
            case "GET", "/rows-get":
                return 200, self._get(query)
            case "GET", "/rows-feed":
                return 200, await self._feed(query)
            case "POST", "/rows-tx":
                return await self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(
            (key for table, key in self.rows if table == query["table"]),
            key=str.encode,
        )
        found = [
            _row(query["table"], key, *self.rows[query["table"], key])
            for key in keys
            if key >= start
            and (end is None or key < end)
            and self.rows[query["table"], key][0] is not None
        ]
        return self._reply(found[:limit]) | {"hasMore": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> dict:
        after, wait_s = int(query["after"]), int(query.get("waitMs", "0")) / 1000.0

        def changed() -> list[dict]:
            rows = sorted(
                (version, key, value)
                for (table, key), (value, version) in self.rows.items()
                if table == query["table"] and version > after
            )
            return [_row(query["table"], k, v, n) for n, k, v in rows]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(changed)
            except TimeoutError:
                pass
            return self._reply(changed())

    async def _transact(self, call: dict) -> tuple[int, dict]:
        async with self._changed:
            for row in call.get("expected", []):
                value, version = self.rows.get((row["table"], row["key"]), (None, 0))
                if (version if value is not None else 0) != row["ver"]:
                    return 412, self._reply([])
            for row in call.get("put", []):
                value = base64.b64decode(row["value"])
                self._put(row["table"], row["key"], value)
            for row in call.get("remove", []):
                self._put(row["table"], row["key"], None)
            self._changed.notify_all()
            return 200, self._reply([])

    def _reply(self, rows: list[dict]) -> dict:
        return {"rows": rows, "ver": self.version, "nowMs": int(time.monotonic() * 1e3)}


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
