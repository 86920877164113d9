"""HTTP client of the platform's metadata store."""

import base64
import json
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..clock import Millis
from ..discovery.messages import (
    HistoryLost,
    TableError,
    TableRow,
    TableUpdate,
    TableUpdateCallback,
)
from ..network.fetch import FetchRequest, FetchResponse, FetchResult, fetch
from ..network.loop import Loop

TIMEOUT_MS: Final = 2_000.0
"""Timeout of a call; the store responds in 4 ms, or 60 times that when it is slow."""
HISTORY_LOST_STATUS: Final = 410
"""Status if the store no longer has all changes since the requested version."""
ROWS_PER_PAGE: Final = 500


class StoreClient:
    """Makes asynchronous calls to the store, each on its own connection.

    The rows of a table are divided into parts. The client uses only those of the part
    with the empty name.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
    """

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address

    def set_address(self, address: tuple[str, int]) -> None:
        """Use another address for all later calls."""
        self._address = address

    def read_all(self, table: str, done: TableUpdateCallback) -> None:
        """Read all rows of a table, page by page."""
        self._read_page(table, "", [], done)

    def read_changes(
        self, table: str, after: int, wait: Millis, done: TableUpdateCallback
    ) -> None:
        """Read the changes after a version; wait for the first one if needed."""
        query = {"table": table, "after": after, "waitMs": int(wait)}

        def finish(result: FetchResult) -> None:
            done(_parse_response(result, _parse_changes))

        self._get("/rows-feed", query, wait + TIMEOUT_MS, finish)

    def put(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row unconditionally; ``done`` gets the error, empty on success."""
        row = {"table": table, "part": "", "key": key}
        text = base64.b64encode(value).decode()
        body = {"expected": [], "put": [row | {"value": text}], "remove": []}
        request = FetchRequest(
            self._address,
            "POST",
            "/rows-tx",
            ((b"content-type", b"application/json"),),
            json.dumps(body).encode(),
            TIMEOUT_MS,
        )

        def finish(result: FetchResult) -> None:
            if isinstance(result, Err):
                done(result.err_value.text)
                return
            status = result.ok_value.status
            done("" if status == 200 else f"status {status}")

        fetch(self._loop, request, finish)

    def _read_page(
        self, table: str, start: str, rows: list[TableRow], done: TableUpdateCallback
    ) -> None:
        query = {"table": table, "part": "", "limit": ROWS_PER_PAGE}
        if start:
            query["from"] = start

        def finish(result: FetchResult) -> None:
            page = _parse_response(result, _parse_page)
            if isinstance(page, Err):
                done(page)
                return
            version, found, has_more = page.ok_value
            rows.extend(found)
            if has_more and found:
                # The start of a range is inclusive. No key sorts between the last
                # one and the same key with a zero byte appended.
                self._read_page(table, found[-1].key + "\0", rows, done)
            else:
                done(Ok(TableUpdate(version, tuple(rows), is_snapshot=True)))

        self._get("/rows-get", query, TIMEOUT_MS, finish)

    def _get(
        self,
        path: str,
        query: dict[str, Any],
        timeout: Millis,
        done: Callable[[FetchResult], None],
    ) -> None:
        target = f"{path}?{urlencode(query)}"
        fetch(
            self._loop,
            FetchRequest(self._address, "GET", target, timeout=timeout),
            done,
        )


def _parse_response(
    result: FetchResult, parse: Callable[[FetchResponse], Any]
) -> Result[Any, TableError]:
    if isinstance(result, Err):
        return Err(TableError(result.err_value.text))
    response = result.ok_value
    if response.status == HISTORY_LOST_STATUS:
        return Ok(HistoryLost())
    if response.status != 200:
        return Err(TableError(f"status {response.status}"))
    try:
        return Ok(parse(response))
    except (ValueError, KeyError, TypeError) as error:
        return Err(TableError(f"invalid response: {error!r}"))


def _parse_page(response: FetchResponse) -> tuple[int, list[TableRow], bool]:
    data = json.loads(response.body)
    rows = [_parse_row(row) for row in data["rows"]]
    return int(data["ver"]), rows, bool(data["hasMore"])


def _parse_changes(response: FetchResponse) -> TableUpdate:
    data = json.loads(response.body)
    # The request names no part of the table, so rows of other parts are skipped here.
    rows = tuple(_parse_row(row) for row in data["rows"] if not row.get("part"))
    return TableUpdate(int(data["ver"]), rows, is_snapshot=False)


def _parse_row(row: dict[str, Any]) -> TableRow:
    if row.get("removed"):
        return TableRow(str(row["key"]), None)
    return TableRow(str(row["key"]), base64.b64decode(row["value"]))
