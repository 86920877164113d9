"""The caller's side of an exchange."""

from typing import Final, Protocol

from ..framing.messages import Header, ResponseHead


class AnswerSink(Protocol):
    """Receiver of an answer, and source of the request's body."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        """Send the head of the answer."""

    def send_answer_body(self, data: bytes) -> bool:
        """Send a part of the body; False asks to wait for ``on_caller_drained``."""

    def end_answer(self) -> None:
        """End the answer."""

    def abort_answer(self) -> None:
        """Break the connection, since the answer can't be completed."""

    def send_continue(self) -> None:
        """Tell the caller to send its body."""

    def pause_body(self) -> None:
        """Take no more of the request's body for now."""

    def resume_body(self) -> None:
        """Take more of the request's body."""


class _DiscardingSink:
    """Sink of an answer whose caller has left."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        return

    def send_answer_body(self, data: bytes) -> bool:
        return True

    def end_answer(self) -> None:
        return

    def abort_answer(self) -> None:
        return

    def send_continue(self) -> None:
        return

    def pause_body(self) -> None:
        return

    def resume_body(self) -> None:
        return


DISCARDING_SINK: Final = _DiscardingSink()
