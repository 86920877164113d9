"""Requests and responses of the JSON server, and their encoding."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl, quote, unquote

from ...framing.heads import encode_response
from ...framing.messages import RequestHead, ResponseHead
from ...json_data import parse_json

REQUEST_BYTES: Final = 1_024
"""Memory of a request besides its head and body."""
HEADER_BYTES: Final = 128
"""Memory of a header besides its name and value."""


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


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request that has been received completely."""

    head: RequestHead
    body: bytes

    @property
    def held_bytes(self) -> int:
        """Memory of the request."""
        headers = self.head.headers
        size = sum(len(name) + len(value) for name, value in headers)
        size += len(self.head.target) + HEADER_BYTES * len(headers)
        return REQUEST_BYTES + size + len(self.body)


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """Bytes that are no acceptable request; ``status`` is that of the response."""

    status: int
    text: str

    @property
    def held_bytes(self) -> int:
        """Memory of the response to be made."""
        return REQUEST_BYTES


Received = CompleteRequest | MalformedRequest


def parse_request(request: CompleteRequest) -> JsonRequest:
    """Return a request with its JSON body parsed."""
    head = request.head
    path, _, query = head.target.decode("latin-1").partition("?")
    headers: dict[str, str] = {}
    for name, value in head.headers:
        key, text = name.decode("latin-1"), value.decode("latin-1")
        headers[key] = f"{headers[key]}, {text}" if key in headers else text
    try:
        body = parse_json(request.body) if request.body else None
    except ValueError:
        body = None
    return JsonRequest(
        method=head.method.decode("latin-1"),
        path=quote(unquote(path)),
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=headers,
        body=body,
        raw_body=request.body,
    )


def encode_json_response(
    response: JsonResponse, is_head_only: bool, is_connection_closing: bool
) -> bytes:
    """Return a serialized response.

    Parameters
    ----------
    response : JsonResponse
    is_head_only : bool
        Whether the request has the method HEAD, so that no body is sent.
    is_connection_closing : bool
        Whether the connection is closed after this response.
    """
    if isinstance(response.body, str):
        content_type = b"text/plain; charset=utf-8"
        body = (response.body or "\n").encode("utf-8", "replace")
    else:
        content_type = b"application/json"
        body = json.dumps(response.body).encode() + b"\n"
    headers = (
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(body)),
    )
    head = ResponseHead(response.status, b"", headers, len(body))
    encoded = encode_response(
        head, (), is_chunked=False, is_connection_closing=is_connection_closing
    )
    return encoded if is_head_only else encoded + body
