"""Blocking HTTP client of a VM's administration interface."""

import http.client
import json
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from ..json_data import parse_json

TIMEOUT_SECONDS: Final = 10.0


class AdminTarget(NamedTuple):
    """Address of an administration interface and the token for it."""

    address: tuple[str, int]
    token: str


class AdminResponse(NamedTuple):
    """Status and JSON data of a response, or its text if it is not JSON."""

    status: int
    data: Any


def send_request(
    target: AdminTarget, method: str, path: str, body: Any = None
) -> Result[AdminResponse, str]:
    """Return the response to a request, or the error text if there is none."""
    connection = http.client.HTTPConnection(*target.address, timeout=TIMEOUT_SECONDS)
    headers = {"Authorization": f"Bearer {target.token}"} if target.token else {}
    payload = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, payload, headers)
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        host, port = target.address
        return Err(f"request to {host}:{port} failed: {error}")
    finally:
        connection.close()
    try:
        return Ok(AdminResponse(response.status, parse_json(text)))
    except ValueError:
        return Ok(AdminResponse(response.status, text))
