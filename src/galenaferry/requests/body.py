"""The body of a request between the caller and the attempts."""

from typing import Final

REPLAY_LIMIT_BYTES: Final = 65_536


class RequestBody:
    """Parts of a body that have come and not yet been sent.

    As long as the whole is small, sent parts are kept, so that another attempt
    can send them again.
    """

    __slots__ = ("_parts", "_sent_parts", "is_complete", "is_replayable", "size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._sent_parts = 0
        self.is_complete = False
        self.is_replayable = True
        self.size = 0

    @property
    def has_unsent(self) -> bool:
        """Whether a part waits to be sent."""
        return self._sent_parts < len(self._parts)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        return sum(len(part) for part in self._parts[self._sent_parts :])

    def append(self, part: bytes) -> None:
        """Take a part from the caller."""
        self.size += len(part)
        self._parts.append(part)

    def take_unsent(self) -> list[bytes]:
        """Return the unsent parts, which count as sent from then on."""
        parts = self._parts[self._sent_parts :]
        if self.size > REPLAY_LIMIT_BYTES:
            self.is_replayable = False
            self._parts.clear()
        self._sent_parts = len(self._parts)
        return parts

    def rewind(self) -> None:
        """Make all parts unsent again, for another attempt."""
        self._sent_parts = 0
