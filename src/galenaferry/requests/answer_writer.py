"""Passes a response on to the caller, buffered completely first if its size permits."""

from ..framing.messages import Header, ResponseHead
from .buffered_answer import BufferedAnswer, is_bufferable
from .sinks import AnswerSink


class AnswerWriter:
    """The answer of an exchange to its caller.

    Parameters
    ----------
    sink : AnswerSink
    buffer_limit : int
        Size in bytes of the largest body that is buffered.

    Attributes
    ----------
    sink : AnswerSink
    is_started : bool
        Whether a part of the answer has been sent, so that it can't be replaced.
    buffered_bytes : int
        Length of the body that was buffered, 0 if it was not.
    """

    __slots__ = ("_buffered", "_limit", "buffered_bytes", "is_started", "sink")

    def __init__(self, sink: AnswerSink, buffer_limit: int) -> None:
        self.sink = sink
        self.is_started = False
        self.buffered_bytes = 0
        self._limit = buffer_limit
        self._buffered: BufferedAnswer | None = None

    @property
    def is_buffering(self) -> bool:
        """Whether the response is being buffered."""
        return self._buffered is not None

    def start(self, head: ResponseHead, extra: tuple[Header, ...]) -> bool:
        """Send the head of a response; return False if it is buffered instead."""
        if is_bufferable(head, self._limit):
            self._buffered = BufferedAnswer(head, extra, self._limit)
            return False
        self.is_started = True
        self.sink.start_answer(head, extra)
        return True

    def append(self, data: bytes) -> bool:
        """Send or buffer a part of the body; return False if the caller is slow."""
        if self._buffered is None:
            return self.sink.send_answer_body(data)
        is_within_limit = self._buffered.append(data)
        if is_within_limit and self.sink.may_buffer(self._buffered.size):
            return True
        return self.release()

    def release(self) -> bool:
        """Send the buffered part of the response; False if the caller is slow."""
        buffered, self._buffered = self._buffered, None
        if buffered is None:
            return True
        self.is_started = True
        body = buffered.body
        self.buffered_bytes = len(body)
        self.sink.start_answer(buffered.head, buffered.extra)
        return self.sink.send_answer_body(body)

    def discard(self) -> None:
        """Drop the buffered part of the response."""
        self._buffered = None
