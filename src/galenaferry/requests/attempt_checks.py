"""What has to hold before each attempt of a request."""

from collections.abc import Callable
from typing import Protocol

from ..clock import Millis
from ..framing.messages import RequestHead
from ..relay.origin import Origin
from ..routing.table import Route
from .access import AccessCheck
from .admission_check import Overloaded
from .body import RequestBody
from .body_hold import BodyHold
from .context import RequestContext
from .deadline import Deadline
from .gating import open_gate
from .shutdown import ShutdownCheck
from .sinks import AnswerSink


class CheckedRequest(Protocol):
    """Request that is refused if a check fails."""

    def on_attempt_sending(self) -> None:
        """Send ``100 Continue`` if the caller expects it."""

    def refuse(self, status: int, reason: str) -> None:
        """End the request with a generated answer."""

    def refuse_for_shutdown(self) -> None:
        """Refuse the request because it can't end before the process exits."""

    def refuse_for_crash(self, reason: str, retry_after: Millis | None) -> None:
        """Refuse the request because it may crash instances."""


class AttemptChecks:
    """Checks of one request, in the order in which ``run`` makes them.

    Its body has arrived, if it must not wait in a slot; enough time is left if the
    service lacks room; it can end before the process does; and it is not suspected of
    crashing instances.

    Parameters
    ----------
    context : RequestContext
    request : CheckedRequest
    sink : AnswerSink
    head : RequestHead
    body : RequestBody
    origin : Origin
    access : AccessCheck
    """

    __slots__ = (
        "_access",
        "_body",
        "_body_hold",
        "_context",
        "_head",
        "_origin",
        "_request",
        "gate",
        "shutdown_check",
    )

    def __init__(
        self,
        context: RequestContext,
        request: CheckedRequest,
        sink: AnswerSink,
        head: RequestHead,
        body: RequestBody,
        origin: Origin,
        access: AccessCheck,
    ) -> None:
        self._context = context
        self._request = request
        self._head = head
        self._origin = origin
        self._access = access
        self.gate = open_gate(context, sink, origin, head, body)
        self.shutdown_check = ShutdownCheck(
            lambda: context.shutdown, body, request.on_attempt_sending
        )
        self._body = body
        self._body_hold: BodyHold | None = None

    @property
    def is_body_held(self) -> bool:
        """Whether the request waits for its body."""
        return self._body_hold is not None and self._body_hold.is_waiting

    def stream_body(self) -> None:
        """Pass the body on as it arrives."""
        if self._body_hold is not None:
            self._body_hold.stream()

    def find_overload(self, route: Route, deadline: Deadline) -> Overloaded | None:
        """Return why the service has no room for the request, None if it is sent."""
        admission = self._context.admission
        if admission is None:
            return None
        return admission.find_refusal(
            route,
            self._access.workspace,
            self._head,
            self._origin,
            deadline.expires_at,
        )

    def run(
        self, route: Route, deadline: Deadline, proceed: Callable[[], None]
    ) -> None:
        """Call ``proceed`` once all checks have passed, or refuse the request."""

        def check_shutdown() -> None:
            self.shutdown_check.check(
                route,
                deadline.expires_at,
                lambda: self._check_gate(route, proceed),
                self._request.refuse_for_shutdown,
            )

        if not (self._context.settings.are_bodies_held or route.is_upload):
            check_shutdown()
            return

        def check_time() -> None:
            if self._is_in_time(route, deadline):
                check_shutdown()

        if self._body_hold is None:
            request_body = self._request.on_attempt_sending
            self._body_hold = BodyHold(self._head, self._body, request_body)
        self._body_hold.check(check_time)

    def on_body(self) -> None:
        """Handle that more of the body, or its end, has arrived."""
        if self._body_hold is not None:
            self._body_hold.on_body()
        self.gate.on_body()
        self.shutdown_check.on_body()

    def close(self) -> None:
        """Stop waiting."""
        if self._body_hold is not None:
            self._body_hold.close()
        self.gate.close()
        self.shutdown_check.close()

    def _is_in_time(self, route: Route, deadline: Deadline) -> bool:
        """Whether a body has arrived in time; refuse the request otherwise."""
        admission = self._context.admission
        if admission is None or self._origin.is_relayed:
            return True
        late = admission.find_late(route, deadline.expires_at)
        if late is not None:
            self._request.refuse(503, late.reason)
        return late is None

    def _check_gate(self, route: Route, proceed: Callable[[], None]) -> None:
        self.gate.check(
            route.service,
            proceed,
            lambda refusal: self._request.refuse_for_crash(
                refusal.reason, refusal.retry_after
            ),
        )
