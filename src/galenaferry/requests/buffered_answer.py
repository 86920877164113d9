"""An answer that is received completely before the caller gets any of it."""

from ..framing.messages import Header, ResponseHead


class BufferedAnswer:
    """Head and partial body of a response that is being buffered.

    Parameters
    ----------
    head : ResponseHead
    extra : tuple of Header
        Headers that replace those of the same name in the answer.
    limit : int
        Size in bytes of the largest body that is buffered.
    """

    __slots__ = ("_data", "_limit", "extra", "head")

    def __init__(
        self, head: ResponseHead, extra: tuple[Header, ...], limit: int
    ) -> None:
        self.head = head
        self.extra = extra
        self._limit = limit
        self._data = bytearray()

    @property
    def body(self) -> bytes:
        """The part of the body that has been received."""
        return bytes(self._data)

    @property
    def size(self) -> int:
        """Number of bytes of the body that have been received."""
        return len(self._data)

    def append(self, data: bytes) -> bool:
        """Add a part of the body; False when the body exceeds the limit."""
        self._data += data
        return len(self._data) <= self._limit


def is_bufferable(head: ResponseHead, limit: int) -> bool:
    """Whether the length in the head, if any, permits buffering the response."""
    return limit > 0 and (head.length is None or head.length <= limit)
