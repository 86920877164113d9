"""Checks whether any of some instances answers.

A connection that is accepted proves nothing: a proxy or the kernel in between may
accept it for an instance that gets none of its bytes.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from ..clock import Millis
from ..ini import parse_address
from ..network.connect_check import ConnectCheck
from ..network.fetch import FetchRequest, FetchResult, fetch
from ..network.loop import Loop

CONNECT_TIMEOUT_MS: Final[Millis] = 300.0
"""The connect timeout of requests (``routing.hosts``)."""
ANSWER_TIMEOUT_MS: Final[Millis] = 1_000.0
"""Time for an answer, for which a health check may have to wait for a slot."""
HEAD_START_MS: Final[Millis] = 300.0
"""Time after which the other instances are asked too if the first has not answered."""


class AnswerCheck(NamedTuple):
    """One instance to ask; without a path it is enough that it accepts."""

    address: str
    path: str


def find_answer(
    loop: Loop, checks: Sequence[AnswerCheck], done: Callable[[bool], None]
) -> None:
    """Call ``done`` once with whether an instance answers, whatever its answer is.

    The first instance is asked alone; the others follow if it does not answer.
    """
    _Search(loop, checks, done)


class _Search:
    def __init__(
        self, loop: Loop, checks: Sequence[AnswerCheck], done: Callable[[bool], None]
    ) -> None:
        self._loop = loop
        self._others = list(checks[1:])
        self._done: Callable[[bool], None] | None = done
        self._pending = 1
        loop.after(HEAD_START_MS, self._ask_others)
        self._ask(checks[0])

    def _ask(self, check: AnswerCheck) -> None:
        if not check.path:
            ConnectCheck(self._loop, check.address, self._on_result)
            return
        request = FetchRequest(
            parse_address(check.address),
            "GET",
            check.path,
            timeout=ANSWER_TIMEOUT_MS,
            connect_timeout=CONNECT_TIMEOUT_MS,
            needs_body=False,
        )
        fetch(self._loop, request, self._on_response)

    def _on_response(self, result: FetchResult) -> None:
        self._on_result(result.is_ok())

    def _ask_others(self) -> None:
        others, self._others = self._others, []
        if self._done is not None:
            self._pending += len(others)
            for check in others:
                self._ask(check)

    def _on_result(self, is_answered: bool) -> None:
        self._pending -= 1
        if not is_answered:
            self._ask_others()
        if self._done is not None and (is_answered or not self._pending):
            done, self._done = self._done, None
            done(is_answered)
