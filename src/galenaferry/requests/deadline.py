"""The total time of a request, which a body that still comes extends."""

from collections.abc import Callable

from ..clock import Millis
from ..configuration.policy import Policy
from ..framing.messages import RequestHead
from ..network.loop import Loop, Timer
from .body import RequestBody


class Deadline:
    """Timer of one request.

    Parameters
    ----------
    loop : Loop
    total : float
        Time for all attempts and waiting, in milliseconds.
    body : RequestBody
    on_over : callable
        Called when the time is over and no upload goes on.
    do_uploads_extend : bool
        Whether a body that still comes extends the time.
    """

    __slots__ = (
        "_at",
        "_body",
        "_do_uploads_extend",
        "_loop",
        "_on_over",
        "_size_seen",
        "_timer",
        "_total",
    )

    def __init__(
        self,
        loop: Loop,
        total: Millis,
        body: RequestBody,
        on_over: Callable[[], None],
        do_uploads_extend: bool = True,
    ) -> None:
        self._do_uploads_extend = do_uploads_extend
        self._loop = loop
        self._total = total
        self._body = body
        self._on_over = on_over
        self._size_seen = 0
        self._at = loop.clock.now() + total
        self._timer: Timer = loop.after(total, self._check)

    @property
    def at(self) -> Millis:
        """The time at which the request is over."""
        return self._at

    def left(self) -> Millis:
        """Return the time left, at least 1 ms."""
        return max(1.0, self._at - self._loop.clock.now())

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        has_grown = self._do_uploads_extend and self._body.size > self._size_seen
        if self._body.is_complete or not has_grown:
            self._on_over()
            return
        self._size_seen = self._body.size
        self._at = self._loop.clock.now() + self._total
        self._timer = self._loop.after(self._total, self._check)


def total_time(head: RequestHead, policy: Policy, time_left: bytes) -> Millis:
    """Return the policy's total time or the caller's time left, if shorter.

    Parameters
    ----------
    head : RequestHead
    policy : Policy
    time_left : bytes
        Name of the header in which a caller says how long it waits.
    """
    total = float(policy.total_timeout_ms)
    text = head.header(time_left)
    if text is not None and text.isdigit():
        total = min(total, float(text))
    return total
