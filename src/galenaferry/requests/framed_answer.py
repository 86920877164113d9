"""The answer on a caller connection, in the framing that its request permits."""

from ..framing.heads import LAST_CHUNK, encode_chunk, encode_response
from ..framing.messages import Header, RequestHead, ResponseHead
from ..framing.responses import BODILESS_STATUSES
from ..network.loop import Loop
from ..network.stream import Stream


class FramedAnswer:
    """Writes one answer after another to the stream of a caller.

    Parameters
    ----------
    loop : Loop
    stream : Stream

    Attributes
    ----------
    is_last : bool
        Whether the connection closes after the latest answer.
    is_open : bool
        Whether an answer has been started and not ended.
    """

    __slots__ = (
        "_is_bodiless",
        "_is_chunked",
        "_loop",
        "_stream",
        "_unsent_head",
        "is_last",
        "is_open",
    )

    def __init__(self, loop: Loop, stream: Stream) -> None:
        self._loop = loop
        self._stream = stream
        self._is_bodiless = False
        self._is_chunked = False
        self._unsent_head = b""
        self.is_last = False
        self.is_open = False

    def start(
        self,
        request: RequestHead,
        head: ResponseHead,
        extra: tuple[Header, ...],
        must_close: bool,
    ) -> None:
        """Send the head of the answer to a request.

        The connection closes after the answer if ``must_close`` is True, or if only the
        end of the connection can show where the answer ends.
        """
        self.is_open = True
        self._is_bodiless = (
            request.method == b"HEAD" or head.status in BODILESS_STATUSES
        )
        has_end = head.length is not None or self._is_bodiless
        self._is_chunked = not has_end and request.version == "1.1"
        self.is_last = must_close or not (has_end or self._is_chunked)
        # The head is delayed to share one TCP segment with the first body part.
        self._unsent_head = encode_response(head, extra, self._is_chunked, self.is_last)
        self._loop.call_soon(self._send_unsent_head)

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._is_bodiless:
            part = encode_chunk(data) if self._is_chunked else data
            head, self._unsent_head = self._unsent_head, b""
            self._stream.write(head + part)

    def end(self) -> None:
        """Send what marks the end of the answer."""
        self.is_open = False
        self._send_unsent_head()
        if self._is_chunked:
            self._stream.write(LAST_CHUNK)

    def _send_unsent_head(self) -> None:
        if self._unsent_head:
            head, self._unsent_head = self._unsent_head, b""
            self._stream.write(head)
