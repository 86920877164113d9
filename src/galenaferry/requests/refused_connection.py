"""Refusal of a connection of which nothing has been read."""

import socket
from contextlib import suppress
from random import Random
from typing import Final

from ..attempts.messages import Execution
from ..framing.heads import encode_response
from .local_answers import RETRY_AFTER_MS, make_refusal
from .messages import REQUEST_ID_HEADER

REASON: Final = "this VM has no room for more connections"


def refuse_connection(sock: socket.socket, random: Random) -> None:
    """Answer 503 and close; no request of the connection is ever read.

    The delay varies, so that refused callers don't return together.
    """
    retry_after = RETRY_AFTER_MS * (1.0 + random.random())
    request_id = (REQUEST_ID_HEADER, b"%032x" % random.getrandbits(128))
    answer = make_refusal(503, REASON, Execution.NOT_RUN, request_id, retry_after)
    data = encode_response(
        answer.head, (), is_chunked=False, is_connection_closing=True
    )
    # The caller may have left.
    with suppress(OSError):
        sock.send(data + answer.body)
    sock.close()
