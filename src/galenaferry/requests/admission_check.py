"""Check of a caller's request before its first attempt, while services lack room."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Clock, Millis
from ..framing.messages import RequestHead
from ..overload.draws import digest_request
from ..overload.messages import Refuse
from ..overload.monitor import OverloadMonitor
from ..relay.origin import Origin
from ..routing.table import Route
from ..workspaces.messages import Workspace, effective_priority
from .messages import IDEMPOTENCY_KEY_HEADER
from .shutdown import GetResponseTimes

OVERLOAD_REASON: Final = "the service is overloaded"
LATE_REASON: Final = "the service is overloaded and too little time is left"


class Overloaded(NamedTuple):
    """Why a request is refused, and the time in ms after which it may come back."""

    reason: str
    retry_after: Millis


class AdmissionCheck:
    """Admission of callers' requests to their services.

    Parameters
    ----------
    clock : Clock
    monitor : OverloadMonitor
    response_times : callable
        Returns the times that the responses to requests on a route take now.
    retry_after : callable
        Returns the delay before a request to a service may come back, in ms.
    """

    def __init__(
        self,
        clock: Clock,
        monitor: OverloadMonitor,
        response_times: GetResponseTimes,
        retry_after: Callable[[str], Millis],
    ) -> None:
        self._clock = clock
        self._monitor = monitor
        self._response_times = response_times
        self._retry_after = retry_after

    def find_refusal(
        self,
        route: Route,
        workspace: Workspace | None,
        head: RequestHead,
        origin: Origin,
        deadline: Millis,
    ) -> Overloaded | None:
        """Return why a request is refused, None if it is admitted.

        Requests of other VMs were decided there. ``deadline`` is in monotonic ms.
        """
        if origin.is_relayed:
            return None
        late = self.find_late(route, deadline)
        if late is not None:
            return late
        priority = effective_priority(workspace, route.priority)
        digest = digest_head(head, origin)
        match self._monitor.decide(route.service, priority, digest):
            case Refuse(retry_after):
                return Overloaded(OVERLOAD_REASON, retry_after)
            case _:
                return None

    def find_late(self, route: Route, deadline: Millis) -> Overloaded | None:
        """Return why a request is too late for its service, None if it is not.

        A request that can't be answered in time would take the place of one that can.
        ``deadline`` is in monotonic ms.
        """
        if not self._monitor.lacks_room(route.service):
            return None
        if self._clock.now() + self._response_times(route).usual <= deadline:
            return None
        self._monitor.count_late()
        return Overloaded(LATE_REASON, self._retry_after(route.service))

    def on_refused(
        self, service: str, head: RequestHead, origin: Origin, retry_after: Millis
    ) -> None:
        """Handle that an admitted request is refused after it was sent.

        Until ``retry_after`` has passed, its repetitions are refused as well.
        """
        if self._monitor.lacks_room(service):
            self._monitor.on_refused(digest_head(head, origin), retry_after)


def digest_head(head: RequestHead, origin: Origin) -> int:
    """Return a digest of what repetitions of a request have in common."""
    return digest_request(
        origin.caller,
        head.method,
        head.header(b"host") or b"",
        head.target,
        b"%d" % (head.length or 0),
        head.header(IDEMPOTENCY_KEY_HEADER) or b"",
    )
