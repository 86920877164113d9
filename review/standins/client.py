"""Stand-in of a client: requests with an id and a deadline on kept connections."""

import asyncio
import itertools

from . import http
from .record import Record

_numbers = itertools.count(1)


def head(
    method: str,
    target: str,
    request: str,
    deadline_ms: int,
    framing: str = "Content-Length: 0",
) -> bytes:
    """Return the head of a request."""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: sn.example\r\n"
        f"Galenaferry-Request-Id: {request}\r\n"
        f"Galenaferry-Request-Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    ).encode()


def new_id(kind: str) -> str:
    return f"{kind}{next(_numbers):06d}"


class Client:
    """A client with one kept connection; ``ask`` returns a status, 0 without one."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address, self.record = address, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, method: str, target: str, request: str = "", deadline_s: float = 8.0
    ) -> http.Message | None:
        """Send one request; return its answer, None if the connection ended."""
        request = request or new_id("q")
        self.record.write("sent", request, self.address[0], method, target)
        try:
            async with asyncio.timeout(deadline_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                writer.write(head(method, target, request, int(deadline_s * 1000)))
                answer = await http.read_answer(reader)
        except TimeoutError:
            self.record.write("gave up", request)
            self.close()
            return None
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.write("closed", request, type(error).__name__)
            self.close()
            return None
        reason = answer.headers.get("galenaferry-reason", "")
        self.record.write("answered", request, answer.first, reason)
        if answer.headers.get("connection") == "close" or not answer.is_complete:
            self.close()
        return answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def status_of(answer: http.Message | None) -> int:
    return 0 if answer is None else int(answer.first.split(" ")[1])
