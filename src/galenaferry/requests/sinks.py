"""The caller's side of an exchange."""

from typing import Final, Protocol

from ..framing.messages import Header, ResponseHead


class AnswerSink(Protocol):
    """Receiver of an answer and source of the request body."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        """Send the head of the answer."""

    def send_answer_body(self, data: bytes) -> bool:
        """Send a part of the body; after False, wait for ``on_caller_drained``."""

    def end_answer(self) -> None:
        """End the answer."""

    def may_buffer(self, size: int) -> bool:
        """Whether ``size`` bytes of the answer may be held before any is sent."""

    def abort_answer(self) -> None:
        """Close the connection, since the answer can't be completed."""

    def send_continue(self) -> None:
        """Send ``100 Continue``, so that the caller sends its body."""

    def pause_body(self) -> None:
        """Stop reading the request body."""

    def resume_body(self) -> None:
        """Read the request body again."""


class _DiscardingSink:
    """Discards the answer to a caller that has left."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        return

    def send_answer_body(self, data: bytes) -> bool:
        return True

    def end_answer(self) -> None:
        return

    def may_buffer(self, size: int) -> bool:
        return True

    def abort_answer(self) -> None:
        return

    def send_continue(self) -> None:
        return

    def pause_body(self) -> None:
        return

    def resume_body(self) -> None:
        return


DISCARDING_SINK: Final = _DiscardingSink()
