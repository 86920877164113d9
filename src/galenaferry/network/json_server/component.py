"""The JSON server: a listener, its connections and the turns of their requests."""

import socket
from contextlib import suppress
from typing import Final

from ...clock import Millis
from ...logs import logger
from ..listener import Listener
from ..loop import Loop
from .connection import JsonConnection
from .connections import OpenConnections
from .limits import ServerLimits
from .messages import (
    CompleteRequest,
    JsonRequestHandler,
    JsonResponse,
    MalformedRequest,
    Received,
    encode_json_response,
    parse_request,
)
from .turns import TurnQueue

SWEEP_INTERVAL_MS: Final[Millis] = 1_000.0
"""Interval of the search for connections without progress."""
TURN_MS: Final[Millis] = 5.0
"""Time for which requests are answered before other sockets get their turn."""
LOGGED_PATH_CHARACTERS: Final = 200
REFUSAL: Final = JsonResponse(503, {"error": "too many connections"})

log = logger("json_server")


class JsonServer:
    """HTTP server that passes every request to one function.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        IP address and port to listen on.
    respond : callable
        Returns the response to a request.
    limits : ServerLimits

    Raises
    ------
    OSError
        When the address can't be bound.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        respond: JsonRequestHandler,
        limits: ServerLimits = ServerLimits(),  # noqa: B008
    ) -> None:
        self.loop = loop
        self.connections = OpenConnections(limits)
        self._respond = respond
        self._waiting: TurnQueue[JsonConnection] = TurnQueue()
        self._is_turn_scheduled = False
        self._listener = Listener(loop, address, self._accept)
        loop.every(
            SWEEP_INTERVAL_MS,
            lambda: self.connections.close_expired(loop.clock.now()),
        )

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._listener.port

    def request_turn(self, connection: JsonConnection, is_first: bool) -> None:
        """Answer a connection's next request when it is its turn."""
        self._waiting.append(connection, is_first)
        self._schedule_turn()

    def respond(self, received: Received) -> tuple[bytes, bool]:
        """Return the encoded response, and whether it is the last of its connection."""
        match received:
            case MalformedRequest(status, text):
                response = JsonResponse(status, {"error": text})
                return encode_json_response(response, False, True), True
            case CompleteRequest(head, _):
                is_last = not head.is_persistent or head.version == "1.0"
                is_head_only = head.method == b"HEAD"
                response = self._handle(received)
                return encode_json_response(response, is_head_only, is_last), is_last

    def _handle(self, request: CompleteRequest) -> JsonResponse:
        try:
            return self._respond(parse_request(request))
        except Exception as error:
            path = request.head.target[:LOGGED_PATH_CHARACTERS].decode("latin-1")
            log.error("a request failed", path=path, error=repr(error))
            return JsonResponse(500, {"error": "internal error"})

    def _accept(self, sock: socket.socket) -> None:
        if not self.connections.make_room():
            with suppress(OSError):
                sock.send(encode_json_response(REFUSAL, False, True))
            sock.close()
            return
        # The request has often arrived with the connection. Reading it now keeps the
        # connection from being replaced before it is answered.
        JsonConnection(self, sock).receive_pending()

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.loop.call_soon(self._take_turns)

    def _take_turns(self) -> None:
        """Answer requests that wait, as far as time permits."""
        self._is_turn_scheduled = False
        ends_at = self.loop.clock.now() + TURN_MS
        for _ in range(len(self._waiting)):
            self._waiting.pop().answer_next()
            if self.loop.clock.now() >= ends_at:
                break
        if self._waiting:
            self._schedule_turn()
