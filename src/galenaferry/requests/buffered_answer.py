"""An answer that is received whole before its caller sees any of it."""

from ..framing.messages import Header, ResponseHead


class BufferedAnswer:
    """Head and body of a response that is still being received.

    Parameters
    ----------
    head : ResponseHead
    extra : tuple of Header
        Headers that replace those of the same name.
    limit : int
        Largest body in bytes that is held.
    """

    __slots__ = ("_limit", "_parts", "_size", "extra", "head")

    def __init__(
        self, head: ResponseHead, extra: tuple[Header, ...], limit: int
    ) -> None:
        self.head = head
        self.extra = extra
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """What has been received of the body."""
        return b"".join(self._parts)

    def append(self, data: bytes) -> bool:
        """Take a part of the body; False where it has become too long to hold."""
        self._parts.append(data)
        self._size += len(data)
        return self._size <= self._limit


def is_bufferable(head: ResponseHead, limit: int) -> bool:
    """Whether a response may be held by what its head says of its length."""
    return limit > 0 and (head.length is None or head.length <= limit)
