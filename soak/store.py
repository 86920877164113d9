"""The platform's store as the soak plays it, with its ways to fail."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

from galenaferry.network.loop import Loop

from .exchange import Incoming, serve


class Store:
    """Rows by table and key; ``fault`` is empty, ``refuse``, ``silent`` or ``lose``."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._waiting: list[tuple[Incoming, str, int]] = []
        self.version = 1
        self.value_by_place: dict[tuple[str, str], bytes | None] = {}
        self.changed_at: dict[tuple[str, str], int] = {}
        self.oldest = 0
        self.fault = ""
        serve(loop, address, self._on_request)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, None to remove it, and answer those who wait for it."""
        self.version += 1
        text = None if value is None else json.dumps(value).encode()
        self.value_by_place[table, key] = text
        self.changed_at[table, key] = self.version
        waiting, self._waiting = self._waiting, []
        for incoming, waited, after in waiting:
            self._feed(incoming, waited, after)

    def drop_history(self) -> None:
        """Forget what changed and cut those who wait."""
        self.oldest = self.version
        waiting, self._waiting = self._waiting, []
        for incoming, _, _ in waiting:
            incoming.respond(410, {}, b"{}")

    def _on_request(self, incoming: Incoming) -> None:
        if self.fault == "silent" or incoming.head is None:
            return
        if self.fault == "refuse":
            incoming.respond(503, {}, b"{}")
            return
        parts = urlsplit(incoming.head.target.decode())
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/rows-get":
                self._get(incoming, query["table"])
            case "/rows-feed":
                self._feed(incoming, query["table"], int(query["after"]))
            case "/rows-tx":
                for row in json.loads(incoming.body)["put"]:
                    value = json.loads(base64.b64decode(row["value"]))
                    self.put(row["table"], row["key"], value)
                self._answer(incoming, [])

    def _get(self, incoming: Incoming, table: str) -> None:
        rows = [
            _row(place, value)
            for place, value in sorted(self.value_by_place.items())
            if place[0] == table and value is not None
        ]
        self._answer(incoming, rows)

    def _feed(self, incoming: Incoming, table: str, after: int) -> None:
        if after < self.oldest:
            incoming.respond(410, {}, b"{}")
            return
        changed = sorted(
            (at, place)
            for place, at in self.changed_at.items()
            if place[0] == table and at > after
        )
        if changed:
            rows = [_row(place, self.value_by_place[place]) for _, place in changed]
            self._answer(incoming, rows)
        elif not incoming.is_gone:
            self._waiting.append((incoming, table, after))

    def _answer(self, incoming: Incoming, rows: list[dict[str, object]]) -> None:
        if self.fault == "lose":
            incoming.close()
            return
        data = {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": 0}
        incoming.respond(200, {}, json.dumps(data).encode())


def _row(place: tuple[str, str], value: bytes | None) -> dict[str, object]:
    row: dict[str, object] = {"table": place[0], "part": "", "key": place[1]}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
