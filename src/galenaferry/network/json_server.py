"""HTTP server with JSON bodies, based on ``circuits.web``.

It serves operators, readiness checks of the load balancer and other VMs. In tests and
demos the stand-in for the platform uses it too. ``circuits.web`` buffers whole bodies
and parses leniently, which is acceptable for these clients but not for callers.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from circuits import BaseComponent, handler
from circuits.web import Server

from ..json_data import parse_json
from ..logs import logger

log = logger("json_server")


class JsonRequest(NamedTuple):
    """A request; ``body`` is the parsed JSON, None if there is no valid JSON.

    Header names are in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any
    raw_body: bytes


class JsonResponse(NamedTuple):
    """A response; ``body`` is JSON data, or a str that is sent as plain text."""

    status: int
    body: Any


JsonRequestHandler = Callable[[JsonRequest], JsonResponse]


class JsonServer(BaseComponent):
    """HTTP server that passes every request to one function.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port to listen on.
    respond : callable
        Returns the response to a request.
    """

    def __init__(self, address: tuple[str, int], respond: JsonRequestHandler) -> None:
        # On a shared channel, servers of one process would get each other's events.
        self.channel = f"web-{address[0]}-{address[1]}"
        super().__init__(channel=self.channel)
        self._respond = respond
        self._server = Server(address, channel=self.channel, display_banner=False)
        self._server.register(self)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.port)

    @handler("request", priority=10.0)
    def _on_request(self, event: Any, request: Any, response: Any) -> str:
        event.stop()
        try:
            result = self._handle_request(request)
        except Exception as error:
            log.error("a request failed", path=request.path, error=repr(error))
            result = JsonResponse(500, {"error": "internal error"})
        response.status = result.status
        if isinstance(result.body, str):
            response.headers["Content-Type"] = "text/plain; charset=utf-8"
            return result.body or "\n"
        response.headers["Content-Type"] = "application/json"
        return json.dumps(result.body) + "\n"

    def _handle_request(self, request: Any) -> JsonResponse:
        raw_body = request.body.read()
        try:
            body = parse_json(raw_body) if raw_body else None
        except ValueError:
            body = None
        return self._respond(
            JsonRequest(
                method=request.method,
                path=request.path,
                query=dict(parse_qsl(request.qs, keep_blank_values=True)),
                headers={k.lower(): v for k, v in request.headers.items()},
                body=body,
                raw_body=raw_body,
            )
        )
