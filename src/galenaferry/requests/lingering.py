"""Stream of a caller after its last answer."""

from typing import Final, Protocol

from ..network.stream import Stream

DISCARDED_BYTES: Final = 262_144
"""Bytes that are dropped after malformed ones, so that a client which is still sending
sees the answer before the connection is reset."""


class LingeringOwner(Protocol):
    """Connection that has sent its last answer."""

    def on_answer_flushed(self) -> None:
        """Handle that the kernel has accepted the last answer."""

    def close(self) -> None:
        """Close the connection."""


class Lingering:
    """Stream owner after the last answer, which waits for the caller to close.

    Parameters
    ----------
    connection : LingeringOwner
    stream : Stream
    most_discarded : int
        Bytes that are received and dropped; then reading ends.
    """

    def __init__(
        self, connection: LingeringOwner, stream: Stream, most_discarded: int
    ) -> None:
        self._connection = connection
        self._stream = stream
        self._discardable_bytes = most_discarded

    def on_connected(self) -> None:
        """Do nothing: accepted sockets are already connected."""

    def on_data(self, data: bytes) -> None:
        """Drop what follows the last request, up to the limit."""
        self._discardable_bytes -= len(data)
        if self._discardable_bytes < 0:
            self._stream.pause()

    def on_drained(self) -> None:
        """Shut down the sending direction."""
        self._connection.on_answer_flushed()
        self.shutdown_write()

    def shutdown_write(self) -> None:
        """Shut down the sending direction, or close if the caller has left."""
        self._stream.shutdown_write()
        if not self._stream.is_open:
            self._connection.close()

    def on_ended(self, reason: str) -> None:
        """Close the connection."""
        self._connection.close()
