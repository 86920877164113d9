"""Simulated platform store of the soak, with its faults."""

import base64
import json
from random import Random
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from galenaferry.network.loop import Loop

from .connections import ServerConnection, serve


class StoreCopy(NamedTuple):
    """Contents of the store at one time."""

    version: int
    value_by_row_key: dict[tuple[str, str], bytes | None]
    version_by_row_key: dict[tuple[str, str], int]


class Store:
    """Rows by table and key, served over HTTP with long polls for changes.

    ``fault`` is empty or one of ``refuse`` (respond 503 to new requests), ``silent``
    (never respond to new requests) and ``lose`` (handle a request, then close the
    connection instead of responding with rows). Of new requests the part
    ``refused_share``, from 0 to 1, is responded to with 503.
    """

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._waiting_feeds: list[tuple[ServerConnection, str, int]] = []
        self.version = 1
        self.value_by_row_key: dict[tuple[str, str], bytes | None] = {}
        self.version_by_row_key: dict[tuple[str, str], int] = {}
        self.oldest_version = 0
        self.fault = ""
        self.refused_share = 0.0
        self._refusal_random = Random(0)
        self.era = 1
        serve(loop, address, self._on_request)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as JSON, or remove it if ``value`` is None."""
        self.put_bytes(
            table, key, None if value is None else json.dumps(value).encode()
        )

    def put_bytes(self, table: str, key: str, text: bytes | None) -> None:
        """Write a row, or remove it if ``text`` is None, and wake waiting feeds."""
        self.version += 1
        self.value_by_row_key[table, key] = text
        self.version_by_row_key[table, key] = self.version
        waiting_feeds, self._waiting_feeds = self._waiting_feeds, []
        for connection, feed_table, after in waiting_feeds:
            self._respond_feed(connection, feed_table, after)

    def drop_history(self) -> None:
        """Drop the change history and respond 410 to all waiting feeds.

        Readers at an older version get 410, too, and must read the table again.
        """
        self.oldest_version = self.version
        waiting_feeds, self._waiting_feeds = self._waiting_feeds, []
        for connection, _, _ in waiting_feeds:
            connection.respond(410, self._headers(), b"{}")

    def take_copy(self) -> StoreCopy:
        """Return a copy that ``restore`` accepts."""
        return StoreCopy(
            self.version, dict(self.value_by_row_key), dict(self.version_by_row_key)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; connections of waiting feeds are closed."""
        self.era += 1
        self.version = copy.version
        self.value_by_row_key = dict(copy.value_by_row_key)
        self.version_by_row_key = dict(copy.version_by_row_key)
        self.oldest_version = min(self.oldest_version, copy.version)
        waiting_feeds, self._waiting_feeds = self._waiting_feeds, []
        for connection, _, _ in waiting_feeds:
            connection.close()

    def _on_request(self, connection: ServerConnection) -> None:
        if self.fault == "silent" or connection.head is None:
            return
        is_refused = self._refusal_random.random() < self.refused_share
        if self.fault == "refuse" or is_refused:
            connection.respond(503, self._headers(), b"{}")
            return
        parts = urlsplit(connection.head.target.decode())
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/rows-get":
                self._respond_get(connection, query["table"])
            case "/rows-feed":
                self._respond_feed(connection, query["table"], int(query["after"]))
            case "/rows-tx":
                body = json.loads(connection.body)
                keys = [(row["table"], row["key"]) for row in body["expected"]]
                if any(self.value_by_row_key.get(key) is not None for key in keys):
                    # Callers expect only rows that don't exist.
                    connection.respond(412, self._headers(), b'{"rows": []}')
                    return
                for row in body["put"]:
                    value = json.loads(base64.b64decode(row["value"]))
                    self.put(row["table"], row["key"], value)
                self._respond_rows(connection, [])

    def _respond_get(self, connection: ServerConnection, table: str) -> None:
        rows = [
            _row(row_key, value)
            for row_key, value in sorted(self.value_by_row_key.items())
            if row_key[0] == table and value is not None
        ]
        self._respond_rows(connection, rows)

    def _respond_feed(
        self, connection: ServerConnection, table: str, after: int
    ) -> None:
        if not self.oldest_version <= after <= self.version:
            connection.respond(410, self._headers(), b"{}")
            return
        changed = sorted(
            (version, row_key)
            for row_key, version in self.version_by_row_key.items()
            if row_key[0] == table and version > after
        )
        if changed:
            rows = [
                _row(row_key, self.value_by_row_key[row_key]) for _, row_key in changed
            ]
            self._respond_rows(connection, rows)
        elif not connection.is_closed:
            self._waiting_feeds.append((connection, table, after))

    def _respond_rows(
        self, connection: ServerConnection, rows: list[dict[str, object]]
    ) -> None:
        if self.fault == "lose":
            connection.close()
            return
        data = {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": 0}
        connection.respond(200, self._headers(), json.dumps(data).encode())

    def _headers(self) -> dict[str, str]:
        return {"store-era": str(self.era)}


def _row(row_key: tuple[str, str], value: bytes | None) -> dict[str, object]:
    row: dict[str, object] = {"table": row_key[0], "part": "", "key": row_key[1]}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
