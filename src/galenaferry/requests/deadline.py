"""Deadline of a request, which a body that is still arriving may extend."""

from collections.abc import Callable

from ..clock import Millis
from ..configuration.policy import Policy
from ..framing.messages import RequestHead
from ..network.loop import Loop, Timer
from ..routing.table import Route
from .body import RequestBody
from .context import RequestContext
from .summary import RequestSummary


class Deadline:
    """Deadline timer of one request.

    Parameters
    ----------
    loop : Loop
    timeout : float
        Time for all attempts and all waiting, in milliseconds.
    body : RequestBody
    on_expired : callable
        Called when the time is over and no upload extends it.
    is_extended_by_uploads : bool
        Whether the timer restarts as long as parts of an incomplete body arrive.
    """

    __slots__ = (
        "_body",
        "_expires_at",
        "_is_extended_by_uploads",
        "_last_size",
        "_loop",
        "_on_expired",
        "_timeout",
        "_timer",
    )

    def __init__(
        self,
        loop: Loop,
        timeout: Millis,
        body: RequestBody,
        on_expired: Callable[[], None],
        is_extended_by_uploads: bool = True,
    ) -> None:
        self._is_extended_by_uploads = is_extended_by_uploads
        self._loop = loop
        self._timeout = timeout
        self._body = body
        self._on_expired = on_expired
        self._last_size = 0
        self._expires_at = loop.clock.now() + timeout
        self._timer: Timer = loop.after(timeout, self._on_timer)

    @property
    def expires_at(self) -> Millis:
        """The deadline in monotonic milliseconds."""
        return self._expires_at

    def remaining(self) -> Millis:
        """Return the remaining time in milliseconds, at least 1."""
        return max(1.0, self._expires_at - self._loop.clock.now())

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _on_timer(self) -> None:
        has_grown = self._is_extended_by_uploads and self._body.size > self._last_size
        if self._body.is_complete or not has_grown:
            self._on_expired()
            return
        self._last_size = self._body.size
        self._expires_at = self._loop.clock.now() + self._timeout
        self._timer = self._loop.after(self._timeout, self._on_timer)


def open_deadline(
    context: RequestContext,
    head: RequestHead,
    route: Route,
    body: RequestBody,
    summary: RequestSummary,
    on_expired: Callable[[], None],
) -> Deadline:
    """Return the running deadline of a request.

    The time that it spent in the startup queue counts as well.
    """
    settings = context.settings
    timeout = request_timeout(head, route.policy, settings.names.time_left)
    timeout -= context.loop.clock.now() - summary.started_at
    is_extended = settings.is_deadline_extended_by_uploads
    return Deadline(context.loop, timeout, body, on_expired, is_extended)


def request_timeout(
    head: RequestHead, policy: Policy, time_left_header: bytes
) -> Millis:
    """Return the total timeout of the policy, or the caller's if it is shorter.

    Parameters
    ----------
    head : RequestHead
    policy : Policy
    time_left_header : bytes
        Name of the header in which a caller states how long it still waits, in
        milliseconds.
    """
    timeout = float(policy.total_timeout_ms)
    text = head.header(time_left_header)
    if text is not None and text.isdigit():
        timeout = min(timeout, float(text))
    return timeout
