"""HTTP interface with JSON bodies on ``circuits.web``, for operators and stand-ins.

``circuits.web`` holds whole bodies in memory and parses leniently, which is
acceptable here and not towards callers.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from circuits import BaseComponent, handler
from circuits.web import Server


class JsonRequest(NamedTuple):
    """A request; ``body`` is the parsed JSON, None where there is none."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any
    raw_body: bytes


class JsonResponse(NamedTuple):
    """An answer; ``body`` is JSON data, or text that is sent as it is."""

    status: int
    body: Any


JsonRequestHandler = Callable[[JsonRequest], JsonResponse]


class JsonServer(BaseComponent):
    """Web server that hands every request to one function.

    Parameters
    ----------
    address : tuple of str and int
    respond : callable
    """

    def __init__(self, address: tuple[str, int], respond: JsonRequestHandler) -> None:
        # Each server needs a channel of its own within one process.
        self.channel = f"web-{address[0]}-{address[1]}"
        super().__init__(channel=self.channel)
        self._respond = respond
        self._server = Server(address, channel=self.channel, display_banner=False)
        self._server.register(self)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return int(self._server.port)

    @handler("request", priority=10.0)
    def _on_request(self, event: Any, request: Any, response: Any) -> str:
        event.stop()
        answer = self._handle_request(request)
        response.status = answer.status
        if isinstance(answer.body, str):
            response.headers["Content-Type"] = "text/plain; charset=utf-8"
            return answer.body or "\n"
        response.headers["Content-Type"] = "application/json"
        return json.dumps(answer.body) + "\n"

    def _handle_request(self, request: Any) -> JsonResponse:
        raw_body = request.body.read()
        try:
            body = json.loads(raw_body) if raw_body else None
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
