"""Asynchronous client of the platform's HTTP protocol (docs/INTERFACES.md)."""

import json
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from ..json_data import FIELD_ERRORS, parse_json
from ..membership.vm_list import VmChange, decode_row
from ..network.fetch import FetchRequest, FetchResponse, FetchResult, fetch
from ..network.loop import Loop
from .messages import (
    CommitCallback,
    Committed,
    Conflict,
    GetObjectCallback,
    PlatformError,
    PutObjectCallback,
    ReadCallback,
    Row,
    ScanCallback,
    Transaction,
    VmListCallback,
    VmListUpdate,
)

T = TypeVar("T")


class PlatformClient:
    """Client of the platform; every call passes its result to a callback ``done``.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        IP address and port of the platform.
    timeout_ms : int
        Timeout of each call in milliseconds.
    """

    def __init__(self, loop: Loop, address: tuple[str, int], timeout_ms: int) -> None:
        self._loop = loop
        self._address = address
        self._timeout_ms = timeout_ms

    @property
    def timeout_ms(self) -> int:
        """Timeout of each call in milliseconds."""
        return self._timeout_ms

    def read(self, key: str, done: ReadCallback) -> None:
        """Read one row; the result is None if it does not exist."""
        self._get(f"/table/rows?key={quote(key, safe='')}", _parse_row, done)

    def scan(self, prefix: str, after: str, limit: int, done: ScanCallback) -> None:
        """Read up to ``limit`` rows in key order.

        Only rows whose key starts with ``prefix`` and sorts after ``after`` are
        read.
        """
        target = (
            f"/table/scan?prefix={quote(prefix, safe='')}"
            f"&after={quote(after, safe='')}&limit={limit}"
        )
        self._get(target, _parse_rows, done)

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Write the rows of a transaction atomically if all its conditions hold."""
        body = {
            "conditions": [list(row) for row in transaction.conditions],
            "puts": [list(row) for row in transaction.puts],
        }
        request = self._request("POST", "/table/transactions", json.dumps(body))
        self._fetch(request, _parse_commit, done)

    def list_vms(self, region: str, since: int, done: VmListCallback) -> None:
        """Read the changes of a region's VM list after the revision ``since``."""
        target = f"/vms?region={quote(region, safe='')}&since={since}"
        self._get(target, _parse_vm_list, done)

    def get_object(self, name: str, done: GetObjectCallback) -> None:
        """Read an object; the result is None if it does not exist."""
        self._get(f"/objects?name={quote(name, safe='')}", _parse_object, done)

    def put_object(self, name: str, text: str, done: PutObjectCallback) -> None:
        """Write an object."""
        request = self._request("PUT", f"/objects?name={quote(name, safe='')}", text)
        self._fetch(request, lambda response: None, done)

    def _request(self, method: str, target: str, body: str) -> FetchRequest:
        return FetchRequest(
            self._address,
            method,
            target,
            body=body.encode(),
            timeout=float(self._timeout_ms),
        )

    def _get(
        self,
        target: str,
        parse: Callable[[FetchResponse], T],
        done: Callable[[Result[T, PlatformError]], None],
    ) -> None:
        self._fetch(self._request("GET", target, ""), parse, done)

    def _fetch(
        self,
        request: FetchRequest,
        parse: Callable[[FetchResponse], T],
        done: Callable[[Result[T, PlatformError]], None],
    ) -> None:
        def finish(result: FetchResult) -> None:
            done(_to_platform_result(result, parse))

        fetch(self._loop, request, finish)


def _to_platform_result(
    result: FetchResult, parse: Callable[[FetchResponse], T]
) -> Result[T, PlatformError]:
    if isinstance(result, Err):
        error = result.err_value
        return Err(PlatformError(error.text, error.may_have_run))
    response = result.ok_value
    if response.status >= 500:
        return Err(PlatformError(f"status {response.status}", True))
    try:
        return Ok(parse(response))
    except FIELD_ERRORS as error:
        return Err(PlatformError(f"bad answer: {error!r}", True))


def _parse_json(response: FetchResponse) -> Any:
    return parse_json(response.body)


def _parse_row(response: FetchResponse) -> Row | None:
    if response.status == 404:
        return None
    data = _parse_json(response)
    return Row(data["key"], data["value"], data["revision"])


def _parse_rows(response: FetchResponse) -> list[Row]:
    return [
        Row(row["key"], row["value"], row["revision"])
        for row in _parse_json(response)["rows"]
    ]


def _parse_commit(response: FetchResponse) -> Committed | Conflict:
    data = _parse_json(response)
    if response.status == 409:
        return Conflict(data["conflict"])
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return Committed(data["revision"])


def _parse_object(response: FetchResponse) -> str | None:
    return None if response.status == 404 else response.body.decode()


def _parse_vm_list(response: FetchResponse) -> VmListUpdate:
    data = _parse_json(response)
    if "rows" in data:
        rows = tuple(decode_row(row) for row in data["rows"])
        return VmListUpdate(int(data["revision"]), rows, ())
    changes = tuple(
        VmChange(int(revision), str(address), row and decode_row(row))
        for revision, address, row in data["changes"]
    )
    return VmListUpdate(int(data["revision"]), None, changes)
