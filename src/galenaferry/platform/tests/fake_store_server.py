"""Fake HTTP server of the metadata store, with rows, changes and faults."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.network.listener import Listener
from galenaferry.network.stream import Stream

LIMITS = RequestLimits(65_536, 1 << 20)
ROWS_PER_PAGE = 3


class FakeStoreServer:
    """Store that runs on the event loop of a test.

    ``era`` is sent in each response, unless it is None. ``fault`` is one of ``""``, ``"refuse"`` (status 503), ``"silent"`` (no response),
    ``"lose"`` (the request takes effect, but the connection is closed without a
    response) and ``"garble"`` (the body of the response is invalid JSON).
    """

    def __init__(self, loop):
        self.loop = loop
        self.version = 1
        self.rows = {}
        self.changed_version_by_row = {}
        self.oldest_version = 0
        self.fault = ""
        self.era = 1
        self.calls = []
        self.listener = Listener(loop, ("127.0.0.1", 0), self._accept)

    @property
    def address(self):
        return ("127.0.0.1", self.listener.port)

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = value
        self.changed_version_by_row[table, key] = self.version

    def remove(self, table, key):
        self.put(table, key, None)

    def drop_history(self):
        self.oldest_version = self.version

    def take_copy(self):
        return self.version, dict(self.rows), dict(self.changed_version_by_row)

    def restore(self, copy):
        """Go back to a copy; what was written since is lost."""
        version, rows, changed_version_by_row = copy
        self.version = version
        self.rows = dict(rows)
        self.changed_version_by_row = dict(changed_version_by_row)
        self.era += 1

    def respond(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.calls.append(f"{method} {parts.path}")
        match parts.path:
            case "/rows-get":
                return self._get(query)
            case "/rows-feed":
                return self._feed(query)
            case "/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        keys = sorted(
            key
            for (table, key), value in self.rows.items()
            if table == query["table"] and value is not None
        )
        keys = [key for key in keys if key >= query.get("from", "")]
        page = keys[:ROWS_PER_PAGE]
        rows = [self._row(query["table"], key) for key in page]
        return 200, {
            "rows": rows,
            "hasMore": len(keys) > ROWS_PER_PAGE,
            "ver": self.version,
        }

    def _feed(self, query):
        after = int(query["after"])
        if not self.oldest_version <= after <= self.version:
            return 410, {}
        changed = sorted(
            (at, key)
            for (table, key), at in self.changed_version_by_row.items()
            if table == query["table"] and at > after
        )
        rows = [self._row(query["table"], key) for _, key in changed]
        return 200, {"rows": rows, "ver": self.version}

    def _transact(self, body):
        for row in body["put"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"ver": self.version}

    def _row(self, table, key):
        value = self.rows[table, key]
        version = self.changed_version_by_row[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"removed": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _accept(self, sock):
        _Connection(self, sock)


class _Connection:
    def __init__(self, store, sock):
        self._store = store
        self._head = None
        self._body = b""
        self._reader = RequestReader(self, LIMITS)
        self._stream = Stream(store.loop, sock, self, is_connecting=False)

    def on_connected(self):
        return

    def on_data(self, data):
        self._reader.feed(data)

    def on_drained(self):
        return

    def on_ended(self, reason):
        self._stream.close()

    def on_head(self, head):
        self._head = head

    def on_body(self, data):
        self._body += data

    def on_complete(self):
        store = self._store
        method, target = self._head.method.decode(), self._head.target.decode()
        if store.fault == "silent":
            return
        status, data = 503, {}
        if store.fault != "refuse":
            status, data = store.respond(method, target, self._body)
        if store.fault == "lose":
            self._stream.close()
            return
        body = b"{" if store.fault == "garble" else json.dumps(data).encode()
        head = f"HTTP/1.1 {status} x\r\ncontent-length: {len(body)}\r\n"
        if store.era is not None:
            head += f"Store-Era: {store.era}\r\n"
        head += "\r\n"
        self._stream.write(head.encode() + body)
