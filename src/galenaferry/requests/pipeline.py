"""Requests that a caller has sent ahead, behind the one in progress."""

from collections import deque
from typing import Final

from ..clock import Millis
from ..framing.messages import RequestHead
from ..relay.origin import Origin

PIPELINE_LIMIT: Final = 32
"""Number of unanswered requests at which reading from the caller pauses."""
AHEAD_LIMIT_BYTES: Final = 65_536
"""Memory of unstarted requests at which reading from the caller pauses."""
PARSED_AT_ONCE_BYTES: Final = 2_048
"""Bytes after which the limits are checked, beyond the rest of a body: the parser can't
stop within the bytes that it is given."""
QUEUED_REQUEST_BYTES: Final = 1_024
"""Memory of an unstarted request besides its head and body."""
HEADER_BYTES: Final = 128
"""Memory of a header besides its name and value."""


def head_memory(head: RequestHead) -> int:
    """Return the approximate memory of a head in bytes."""
    size = sum(len(name) + len(value) for name, value in head.headers)
    return size + len(head.target) + HEADER_BYTES * len(head.headers)


class QueuedRequest:
    """Request that has not started: its head and the part of its body that arrived.

    Parameters
    ----------
    head : RequestHead
    origin : Origin
    arrived_at : float
        Monotonic time in milliseconds.
    """

    __slots__ = ("arrived_at", "body", "head", "is_complete", "origin")

    def __init__(self, head: RequestHead, origin: Origin, arrived_at: Millis) -> None:
        self.head = head
        self.origin = origin
        self.arrived_at = arrived_at
        self.body = bytearray()
        self.is_complete = False

    @property
    def held_bytes(self) -> int:
        """Memory of the request."""
        return QUEUED_REQUEST_BYTES + head_memory(self.head) + len(self.body)


class Pipeline:
    """Queue of requests that have not started, and bytes that are not parsed yet.

    ``held_bytes`` is the memory of the queue.
    """

    __slots__ = ("_queue", "held_bytes", "unparsed")

    def __init__(self) -> None:
        self._queue: deque[QueuedRequest] = deque()
        self.held_bytes = 0
        self.unparsed = b""

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether no more requests are parsed ahead of the one in progress."""
        return (
            len(self._queue) + 1 >= PIPELINE_LIMIT
            or self.held_bytes >= AHEAD_LIMIT_BYTES
        )

    def append(self, request: QueuedRequest) -> None:
        """Add a request whose head has arrived."""
        self._queue.append(request)
        self.held_bytes += request.held_bytes

    def append_body(self, data: bytes) -> None:
        """Add a part of the body of the latest request."""
        self._queue[-1].body += data
        self.held_bytes += len(data)

    def complete_last(self) -> None:
        """Mark the body of the latest request as complete."""
        self._queue[-1].is_complete = True

    def drop_last(self) -> None:
        """Drop the latest request."""
        self.held_bytes -= self._queue.pop().held_bytes

    def pop_first(self) -> QueuedRequest:
        """Remove and return the oldest request."""
        request = self._queue.popleft()
        self.held_bytes -= request.held_bytes
        return request

    def take_parsable(self, size: int) -> bytes:
        """Remove and return the first unparsed bytes."""
        part, self.unparsed = self.unparsed[:size], self.unparsed[size:]
        return part

    def clear(self) -> None:
        """Drop all requests and unparsed bytes."""
        self._queue.clear()
        self.held_bytes = 0
        self.unparsed = b""
