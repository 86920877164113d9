"""Transfer of table updates between VMs, over HTTP on their peer addresses."""

import base64
import zlib
from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok, Result

from ..clock import Millis
from ..json_data import FIELD_ERRORS, parse_json
from ..network.fetch import MAX_RESPONSE_BYTES, FetchRequest, FetchResult, fetch
from ..network.json_server import JsonRequest, JsonResponse
from ..network.loop import Loop
from ..numbers import parse_whole_number
from .messages import (
    MAX_COUNTER,
    MAX_ERA,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)

TIMEOUT_MS: Final = 1_000.0
"""Longest silence of a VM that is asked: some round trips between the most distant
zones and a lost packet."""
CONNECT_TIMEOUT_MS: Final[Millis] = 300.0
"""Time for a connection to another VM: some round trips, but no repeated SYN packet,
since another VM can be asked as well."""
PATH_PREFIX: Final = "/tables/"
COMPRESSED_PARAMETER: Final = "compressed"
"""Query parameter of a VM that reads compressed values; earlier versions ignore it."""
MIN_COMPRESSED_BYTES: Final = 1_024
COMPRESSION_LEVEL: Final = 1
MAX_VALUE_BYTES: Final = MAX_RESPONSE_BYTES
ZLIB: Final = "zlib"
"""Third element of the row of a value that is compressed with zlib."""
MAX_CACHED_VALUES: Final = 2
"""Compressed values that are kept: those of the configuration in both tables."""
MAX_NUMBER: Final = (1 << 63) - 1


def encode_update(update: TableUpdate, is_compressed: bool = False) -> dict[str, Any]:
    """Return an update of a table as JSON data, with large values compressed if asked.

    Parameters
    ----------
    update : TableUpdate
    is_compressed : bool
        Whether the receiver reads compressed values.
    """
    rows = [_encode_row(row, is_compressed) for row in update.rows]
    era, counter = update.version
    return {
        "version": counter,
        "era": era,
        "whole": update.is_snapshot,
        "changed": update.changed_at.counter,
        "rows": rows,
    }


def decode_update(body: bytes) -> TableUpdate:
    """Decode an update from the body of a response.

    Raises
    ------
    ValueError
        When the body is not an encoded update.
    """
    try:
        data = parse_json(body)
        rows = tuple(_decode_row(*row) for row in data["rows"])
        version = StoreVersion(int(data.get("era", 0)), int(data["version"]))
        is_whole = bool(data["whole"])
        # VMs of an earlier version don't tell.
        changed = StoreVersion(version.era, int(data.get("changed", version.counter)))
    except (*FIELD_ERRORS, zlib.error) as error:
        raise ValueError(f"invalid table update: {error!r}") from None
    if not (0 <= version.era <= MAX_ERA and 0 <= version.counter <= MAX_COUNTER):
        raise ValueError(f"invalid table update: {version} is out of range")
    if not 0 <= changed.counter <= version.counter:
        raise ValueError(f"invalid table update: changed at {changed.counter}")
    return TableUpdate(version, rows, is_whole, changed)


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
        f"&{COMPRESSED_PARAMETER}=1"
    )
    request = FetchRequest(
        (host, int(port)),
        "GET",
        target,
        timeout=timeout,
        stall_timeout=timeout,
        connect_timeout=CONNECT_TIMEOUT_MS,
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
    is_compressed = request.query.get(COMPRESSED_PARAMETER) == "1"
    return JsonResponse(200, encode_update(update_since(after), is_compressed))


def _encode_row(row: TableRow, is_compressed: bool) -> list[str | None]:
    if row.value is None:
        return [row.key, None]
    if is_compressed and len(row.value) >= MIN_COMPRESSED_BYTES:
        return [row.key, _compress(row.value), ZLIB]
    return [row.key, base64.b64encode(row.value).decode()]


@lru_cache(maxsize=MAX_CACHED_VALUES)
def _compress(value: bytes) -> str:
    """Return the text of a compressed value; many VMs ask for the same one."""
    return base64.b64encode(zlib.compress(value, COMPRESSION_LEVEL)).decode()


def _decode_row(key: str, text: str | None, encoding: str = "") -> TableRow:
    if text is None:
        return TableRow(str(key), None)
    value = base64.b64decode(text)
    if encoding == ZLIB:
        decompressor = zlib.decompressobj()
        value = decompressor.decompress(value, MAX_VALUE_BYTES)
        if not decompressor.eof:
            raise ValueError("a compressed value is incomplete or too large")
    elif encoding:
        raise ValueError(f"unknown encoding {encoding!r}")
    return TableRow(str(key), value)


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
