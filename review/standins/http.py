"""Reading and writing of HTTP/1.1 messages for the stand-ins, on asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """First line, headers with names in lower case, and the whole body."""

    first: str
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raises at the end of the stream."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request or of a response with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Return a response; ``is_complete`` is False if its body was cut short."""
    first, headers = await read_head(reader)
    while first.split(" ")[1].startswith("1"):
        first, headers = await read_head(reader)
    try:
        return Message(first, headers, await read_body(reader, headers), True)
    except asyncio.IncompleteReadError as error:
        return Message(first, headers, error.partial, False)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a body of known length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
