"""HTTP client of the platform's metadata store."""

import base64
import json
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..clock import Millis
from ..discovery.messages import (
    MAX_COUNTER,
    MAX_ERA,
    NO_VERSION,
    READ_TIMEOUT_MS,
    HistoryLost,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
    TableUpdateCallback,
)
from ..framing.messages import find_header
from ..json_data import FIELD_ERRORS, check_text, parse_json
from ..logs import logger
from ..network.fetch import FetchRequest, FetchResponse, FetchResult, fetch
from ..network.loop import Loop
from ..numbers import parse_whole_number

WRITE_TIMEOUT_MS: Final = 2_000.0
CONNECT_TIMEOUT_MS: Final = 1_500.0
"""Time for a connection to the store, in which a lost SYN packet is repeated once."""
STALL_TIMEOUT_MS: Final = 1_000.0
"""Longest silence in the midst of a response."""
HISTORY_LOST_STATUS: Final = 410
"""Status if the store no longer has all changes since the requested version."""
ROWS_PER_PAGE: Final = 500
ERA_HEADER: Final = b"store-era"
"""Header of all responses, which counts how often the store was restored from a copy
that lacked its latest changes."""


PrepareRow = Callable[[str, TableRow], TableRow]
"""Returns a row of a table as it may be kept in memory and sent to other VMs."""

log = logger("discovery")


def _keep_row(table: str, row: TableRow) -> TableRow:
    return row


class _FoundRow(NamedTuple):
    """A row of a response, with the counter of its latest change."""

    row: TableRow
    counter: int


class StoreClient:
    """Makes asynchronous calls to the store, each on its own connection.

    The rows of a table are divided into parts. The client uses only those of the part
    with the empty name.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
    prepare_row : callable
        Applied to each row that is read.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        prepare_row: PrepareRow = _keep_row,
    ) -> None:
        self._prepare_row = prepare_row
        self._loop = loop
        self._address = address
        self._era = 0

    def set_address(self, address: tuple[str, int]) -> None:
        """Use another address for all later calls."""
        self._address = address

    def read_all(
        self,
        table: str,
        done: TableUpdateCallback,
        answer_within: Millis = READ_TIMEOUT_MS,
    ) -> None:
        """Read all rows of a table, page by page."""
        self._read_page(table, "", None, [], NO_VERSION, done, answer_within)

    def read_changes(
        self,
        table: str,
        after: StoreVersion,
        wait: Millis,
        done: TableUpdateCallback,
        answer_within: Millis = READ_TIMEOUT_MS,
    ) -> None:
        """Read the changes after a version; wait for the first one if needed.

        If the response is of a later era, the store does not have ``after`` even where
        its counter has passed that of ``after`` again.
        """
        query = {"table": table, "after": after.counter, "waitMs": int(wait)}

        def finish(result: FetchResult) -> None:
            update = self._parse_response(result, _parse_changes)
            if isinstance(update, Ok) and isinstance(update.ok_value, TableUpdate):
                era = update.ok_value.version.era
                if era > after.era:
                    update = Ok(HistoryLost())
                elif era < after.era:
                    update = Err(TableError(f"response of era {era}"))
                else:
                    rows = self._prepare_rows(table, update.ok_value.rows)
                    update = Ok(update.ok_value._replace(rows=rows))
            done(update)

        self._get("/rows-feed", query, wait + answer_within, finish)

    def put(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row unconditionally; ``done`` gets the error, empty on success."""
        self._write({"table": table, "part": "", "key": key}, value, [], done)

    def insert(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row unless there is one; ``done`` gets the error as for ``put``."""
        row = {"table": table, "part": "", "key": key}
        # Version 0 stands for a row that does not exist.
        self._write(row, value, [row | {"ver": 0}], done)

    def _write(
        self,
        row: dict[str, Any],
        value: bytes,
        expected: list[dict[str, Any]],
        done: Callable[[str], None],
    ) -> None:
        text = base64.b64encode(value).decode()
        body = {"expected": expected, "put": [row | {"value": text}], "remove": []}
        request = FetchRequest(
            self._address,
            "POST",
            "/rows-tx",
            ((b"content-type", b"application/json"),),
            json.dumps(body).encode(),
            WRITE_TIMEOUT_MS,
            needs_body=False,
        )

        def finish(result: FetchResult) -> None:
            if isinstance(result, Err):
                done(result.err_value.text)
                return
            status = result.ok_value.status
            done("" if status == 200 else f"status {status}")

        fetch(self._loop, request, finish)

    def _read_page(
        self,
        table: str,
        start: str,
        era: int | None,
        rows: list[TableRow],
        last_change_before: StoreVersion,
        done: TableUpdateCallback,
        answer_within: Millis,
    ) -> None:
        """Read the rows from a key on.

        ``era`` and ``last_change_before`` are those of the pages before.
        """
        query = {"table": table, "part": "", "limit": ROWS_PER_PAGE}
        if start:
            query["from"] = start

        def finish(result: FetchResult) -> None:
            page = self._parse_response(result, _parse_page)
            if isinstance(page, Err):
                done(page)
                return
            version, found, found_change, has_more = page.ok_value
            if era is not None and version.era != era:
                done(Err(TableError("the store was restored during the read")))
                return
            rows.extend(self._prepare_rows(table, found))
            last_change = max(last_change_before, found_change)
            if has_more and found:
                # The start of a range is inclusive. No key sorts between the last
                # one and the same key with a zero byte appended.
                start = found[-1].key + "\0"
                self._read_page(
                    table, start, version.era, rows, last_change, done, answer_within
                )
            else:
                done(Ok(TableUpdate(version, tuple(rows), True, last_change)))

        self._get("/rows-get", query, answer_within, finish)

    def _prepare_rows(
        self, table: str, rows: Iterable[TableRow]
    ) -> tuple[TableRow, ...]:
        return tuple(self._prepare_row(table, row) for row in rows)

    def _parse_response(
        self, result: FetchResult, parse: Callable[[FetchResponse, int], Any]
    ) -> Result[Any, TableError]:
        if isinstance(result, Err):
            error = result.err_value
            return Err(TableError(error.text, error.has_timed_out))
        response = result.ok_value
        era = self._read_era(response)
        if isinstance(era, Err):
            return era
        if response.status == HISTORY_LOST_STATUS:
            return Ok(HistoryLost())
        if response.status != 200:
            return Err(TableError(f"status {response.status}"))
        try:
            return Ok(parse(response, era.ok_value))
        except FIELD_ERRORS as error:
            return Err(TableError(f"invalid response: {error!r}"))

    def _read_era(self, response: FetchResponse) -> Result[int, TableError]:
        """Return the era of a response, the latest known one if it states none."""
        text = find_header(response.headers, ERA_HEADER)
        if text is None:
            return Ok(self._era)
        era = parse_whole_number(text.decode("latin-1"), MAX_ERA)
        if isinstance(era, Err):
            return Err(TableError(f"era {era.err_value}"))
        self._era = max(self._era, era.ok_value)
        return Ok(era.ok_value)

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
            FetchRequest(
                self._address,
                "GET",
                target,
                timeout=timeout,
                stall_timeout=STALL_TIMEOUT_MS,
                connect_timeout=CONNECT_TIMEOUT_MS,
            ),
            done,
        )


def _parse_page(
    response: FetchResponse, era: int
) -> tuple[StoreVersion, list[TableRow], StoreVersion, bool]:
    data = parse_json(response.body)
    version = _parse_version(data, era)
    found = _parse_rows(data["rows"], version)
    rows = [one.row for one in found]
    return version, rows, _last_change(found, version), bool(data["hasMore"])


def _parse_version(data: dict[str, Any], era: int) -> StoreVersion:
    counter = int(data["ver"])
    if not 0 <= counter <= MAX_COUNTER:
        raise ValueError(f"version {counter} is out of range")
    return StoreVersion(era, counter)


def _parse_changes(response: FetchResponse, era: int) -> TableUpdate:
    data = parse_json(response.body)
    version = _parse_version(data, era)
    found = _parse_rows(data["rows"], version)
    rows = tuple(one.row for one in found)
    return TableUpdate(version, rows, False, _last_change(found, version))


def _last_change(rows: list[_FoundRow], version: StoreVersion) -> StoreVersion:
    """Return the latest version of the rows, at most that of the response.

    The version of the response also grows with changes of other tables.
    """
    latest = max((row.counter for row in rows), default=0)
    return StoreVersion(version.era, min(max(latest, 0), version.counter))


def _parse_rows(rows: Any, version: StoreVersion) -> list[_FoundRow]:
    """Return the valid rows of a response; the others are logged and left out.

    A request for changes names no part of the table, so rows of other parts are skipped
    here.
    """
    found = []
    for row in rows:
        try:
            if not row.get("part"):
                found.append(_parse_row(row, version))
        except FIELD_ERRORS as error:
            log.warning("invalid row in a response of the store", error=repr(error))
    return found


def _parse_row(row: dict[str, Any], version: StoreVersion) -> _FoundRow:
    key = check_text(row["key"], "the key")
    value = None if row.get("removed") else base64.b64decode(row["value"])
    # Rows without a version count as changed at that of the response.
    counter = row.get("ver", version.counter)
    if not isinstance(counter, int):
        raise ValueError("the version is not an integer")
    return _FoundRow(TableRow(key, value), counter)
