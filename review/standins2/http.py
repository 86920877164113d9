"""Plain HTTP/1.1 for the stand-ins: a server, and a client of one request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Request(NamedTuple):
    """A request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a client got; ``status`` is 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Responder:
    """Sends the response to one request."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole response."""
        lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.writer.transport.abort()


Handler = Callable[[Request, Responder], Awaitable[None]]
HeadHandler = Callable[[Request, Responder], bool]
"""Called with a head before its body is read; returns False to read no further."""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body that follows a head, in chunks or with a length."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        if not size:
            break
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return body


async def serve_http(
    host: str,
    port: int,
    handle: Handler,
    on_head: HeadHandler = lambda request, responder: True,
) -> asyncio.Server:
    """Serve requests, one after another on each connection."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        responder = Responder(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, b"")
                if not on_head(request, responder):
                    return
                body = await read_body(reader, headers)
                await handle(request._replace(body=body), responder)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20)


async def ask(address: tuple[str, int], data: bytes, timeout_s: float) -> Answer:
    """Send one request on a connection of its own and return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer on a connection."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"")
    first, headers = head
    body = await read_body(reader, headers)
    return Answer(int(first.split(" ")[1]), headers, body)
