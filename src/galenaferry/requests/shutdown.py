"""Requests of a VM in its graceful shutdown: which ones it still passes on.

A request that is passed on too late is cut when the process exits, and its caller can't
know whether it was executed. Refused before it is passed on, it can be sent to another
VM at once.
"""

from collections.abc import Callable
from typing import Final

from ..clock import Clock, Millis
from ..drain.admission import ResponseTimes, ShutdownSchedule, may_start
from ..routing.table import Route
from .body import RequestBody

SHUTDOWN_REASON: Final = "this VM is shutting down"
RETRY_ELSEWHERE_MS: Final[Millis] = 50.0
"""Delay before a refused caller retries: other VMs can take the request now."""

GetResponseTimes = Callable[[Route], ResponseTimes]
"""Returns the times that the responses to requests on a route take now."""


class ShutdownPolicy:
    """Limits of a VM in its graceful shutdown on the requests that it passes on.

    Parameters
    ----------
    clock : Clock
    schedule : ShutdownSchedule
    response_times : callable
        Returns the times of the responses on a route.
    """

    def __init__(
        self, clock: Clock, schedule: ShutdownSchedule, response_times: GetResponseTimes
    ) -> None:
        self._clock = clock
        self._schedule = schedule
        self._response_times = response_times

    def may_start(
        self, route: Route, deadline: Millis, must_be_certain: bool = False
    ) -> bool:
        """Whether a request may start now (see ``drain.admission.may_start``)."""
        times = self._response_times(route)
        now = self._clock.now()
        return may_start(self._schedule, times, deadline, now, must_be_certain)

    def may_go_on(self, route: Route, deadline: Millis) -> bool:
        """Whether a request may end that an instance gets as its body arrives.

        It is one of those that are in flight, and waits for none of them.
        """
        times = self._response_times(route)._replace(load=0.0)
        return may_start(self._schedule, times, deadline, self._clock.now())

    def limit_time(self, remaining: Millis) -> Millis:
        """Return the time in ms that an instance is given, at least 1.

        Work that goes on when this process has exited has nobody to answer to.
        """
        until_exit = self._schedule.answered_by - self._clock.now()
        return max(1.0, min(remaining, until_exit))


class ShutdownCheck:
    """Check of one request before each of its attempts, while the VM shuts down.

    The body is received before anything is sent, as far as it is kept for a retry.
    Until then it is certain that the request was not executed.

    Parameters
    ----------
    get_policy : callable
        Returns the limits, None if the VM does not shut down.
    body : RequestBody
    request_body : callable
        Asks a caller that waits for permission to send the body.
    """

    __slots__ = ("_body", "_get_policy", "_on_body", "_request_body")

    def __init__(
        self,
        get_policy: Callable[[], ShutdownPolicy | None],
        body: RequestBody,
        request_body: Callable[[], None],
    ) -> None:
        self._get_policy = get_policy
        self._body = body
        self._request_body = request_body
        self._on_body: Callable[[], None] | None = None

    def may_start(self, route: Route, deadline: Millis) -> bool:
        """Whether an attempt may start now; ``deadline`` is in monotonic ms."""
        policy = self._get_policy()
        return policy is None or policy.may_start(route, deadline)

    def may_go_on(self, route: Route, deadline: Millis) -> bool:
        """Whether an attempt may go on whose body is not complete."""
        policy = self._get_policy()
        return policy is None or policy.may_go_on(route, deadline)

    def may_abandon(self, route: Route, deadline: Millis) -> bool:
        """Whether an overdue attempt may be given up for one at another instance.

        The first one may still answer in time, so the second one must be sure to.
        """
        policy = self._get_policy()
        return policy is None or policy.may_start(route, deadline, must_be_certain=True)

    def check(
        self,
        route: Route,
        deadline: Millis,
        proceed: Callable[[], None],
        refuse: Callable[[], None],
    ) -> None:
        """Call ``proceed`` or ``refuse``, at once or when the body has arrived."""
        if not self.may_start(route, deadline):
            refuse()
        elif self._get_policy() is None or self._is_body_received():
            proceed()
        else:
            self._on_body = lambda: self.check(route, deadline, proceed, refuse)
            self._request_body()

    def on_body(self) -> None:
        """Handle that more of the body, or its end, has arrived."""
        if self._on_body is not None and self._is_body_received():
            on_body, self._on_body = self._on_body, None
            on_body()

    def close(self) -> None:
        """Stop waiting."""
        self._on_body = None

    def _is_body_received(self) -> bool:
        return self._body.is_complete or self._body.size > self._body.replay_limit
