"""Transfer of table updates between VMs, over HTTP on their peer addresses."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok, Result

from ..clock import Millis
from ..network.fetch import FetchRequest, FetchResult, fetch
from ..network.json_server import JsonRequest, JsonResponse
from ..network.loop import Loop
from ..numbers import parse_whole_number
from .messages import (
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)

TIMEOUT_MS: Final = 1_000.0
"""Longest silence of a VM that is asked: some round trips between the most distant
zones and a lost packet."""
PATH_PREFIX: Final = "/tables/"
MAX_NUMBER: Final = (1 << 63) - 1


def encode_update(update: TableUpdate) -> dict[str, Any]:
    """Return an update of a table as JSON data."""
    rows = [
        [row.key, None if row.value is None else base64.b64encode(row.value).decode()]
        for row in update.rows
    ]
    era, counter = update.version
    return {"version": counter, "era": era, "whole": update.is_snapshot, "rows": rows}


def decode_update(body: bytes) -> TableUpdate:
    """Decode an update from the body of a response.

    Raises
    ------
    ValueError
        When the body is not an encoded update.
    """
    try:
        data = json.loads(body)
        rows = tuple(
            TableRow(str(key), None if value is None else base64.b64decode(value))
            for key, value in data["rows"]
        )
        version = StoreVersion(int(data.get("era", 0)), int(data["version"]))
        return TableUpdate(version, rows, bool(data["whole"]))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid table update: {error!r}") from None


def fetch_from_peer(
    loop: Loop,
    address: str,
    table: str,
    after: StoreVersion,
    done: Callable[[Result[TableUpdate, TableError]], None],
    timeout: Millis = TIMEOUT_MS,
) -> None:
    """Fetch the changes of a table after a version from the VM at ``address``.

    The address is IP:PORT. ``done`` is called once.
    """
    host, _, port = address.rpartition(":")
    target = (
        f"{PATH_PREFIX}{quote(table, safe='')}?after={after.counter}&era={after.era}"
    )
    request = FetchRequest(
        (host, int(port)), "GET", target, timeout=timeout, stall_timeout=timeout
    )

    def finish(result: FetchResult) -> None:
        done(_parse_response(result))

    fetch(loop, request, finish)


def respond_to_peer(
    update_since_by_table: Mapping[str, Callable[[StoreVersion], TableUpdate]],
    request: JsonRequest,
) -> JsonResponse:
    """Answer a request of ``fetch_from_peer``.

    The mapping has a function for each table that returns the changes after a
    version.
    """
    table = request.path.removeprefix(PATH_PREFIX)
    update_since = update_since_by_table.get(table)
    if update_since is None or not request.path.startswith(PATH_PREFIX):
        return JsonResponse(404, {"error": "no such table"})
    number_by_name: dict[str, int] = {}
    for name in ("after", "era"):
        number = parse_whole_number(request.query.get(name, "0"), MAX_NUMBER)
        if isinstance(number, Err):
            return JsonResponse(400, {"error": f"{name} {number.err_value}"})
        number_by_name[name] = number.ok_value
    after = StoreVersion(number_by_name["era"], number_by_name["after"])
    return JsonResponse(200, encode_update(update_since(after)))


def _parse_response(result: FetchResult) -> Result[TableUpdate, TableError]:
    if isinstance(result, Err):
        return Err(TableError(result.err_value.text))
    response = result.ok_value
    if response.status != 200:
        return Err(TableError(f"status {response.status}"))
    try:
        return Ok(decode_update(response.body))
    except ValueError as error:
        return Err(TableError(str(error)))
