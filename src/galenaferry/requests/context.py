"""What all exchanges of a VM share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from ..attempts.budget import Budget, RetryBudget
from ..attempts.messages import Evidence
from ..backends.directory import Backends
from ..claims.component import ClaimsComponent
from ..clock import Millis
from ..framing.limits import CallerLimits
from ..framing.messages import RequestHead
from ..network.loop import Loop
from ..routing.table import RouteResult
from .interface import RequestSettings
from .local_answers import RETRY_AFTER_MS
from .messages import RequestCounters
from .overdue import OverduePolicy
from .startup import StartupQueue
from .summary import RequestSummary
from .wait_queue import WaitQueue


class Observer(Protocol):
    """Receiver of the evidence that attempts give."""

    def observe(
        self,
        service: str,
        address: str,
        route: str,
        target: bytes,
        evidence: Evidence,
        latency: Millis,
    ) -> None:
        """Take the end of one attempt; ``latency`` is in milliseconds."""


class Routes(Protocol):
    """Source of routes."""

    def route(self, head: RequestHead) -> RouteResult:
        """Return the route of a request, or why there is none."""


class Budgets(Protocol):
    """Budgets of further attempts by service."""

    def retry(self, service: str) -> Budget:
        """Return the budget of attempts after one that may have run."""

    def shed(self, service: str) -> Budget:
        """Return the budget of attempts after a certified shed."""


class VmBudgets:
    """Budgets that each VM keeps by itself, as a part of its own requests.

    A shed was not run and costs a backend server little, so that it has a
    budget apart from that of attempts that may have run.
    """

    def __init__(self) -> None:
        self._retry_by_service: dict[str, RetryBudget] = {}
        self._shed_by_service: dict[str, RetryBudget] = {}

    def retry(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return _get_or_add(self._retry_by_service, service)

    def shed(self, service: str) -> RetryBudget:
        """Return the budget of attempts after sheds of a service."""
        return _get_or_add(self._shed_by_service, service)


def _get_or_add(by_service: dict[str, RetryBudget], service: str) -> RetryBudget:
    budget = by_service.get(service)
    if budget is None:
        budget = by_service[service] = RetryBudget()
    return budget


def _fixed_retry_after(service: str) -> Millis:
    return RETRY_AFTER_MS


def _ignore_summary(summary: RequestSummary) -> None:
    """Stand in where nobody listens."""


@dataclass(slots=True)
class RequestContext:
    """Shared objects of the request path.

    ``detached`` holds the exchanges that go on after their caller left.
    ``retry_after`` gives when a refused request for a service may come back, in
    milliseconds, and ``limits`` what callers may send at present. ``startup_queue``
    holds requests that come before the VM knows its routes.
    """

    loop: Loop
    directory: Backends
    routes: Routes
    observer: Observer
    random: Random
    claims: ClaimsComponent | None = None
    counters: RequestCounters = field(default_factory=RequestCounters)
    settings: RequestSettings = field(default_factory=RequestSettings)
    budgets: Budgets = field(default_factory=VmBudgets)
    limits: Callable[[], CallerLimits] = CallerLimits
    retry_after: Callable[[str], Millis] = _fixed_retry_after
    wait_queue_by_service: dict[str, WaitQueue] = field(default_factory=dict)
    overdue_policy: OverduePolicy | None = None
    startup_queue: StartupQueue | None = None
    on_request_finished: Callable[[RequestSummary], None] = _ignore_summary
    detached: set[Any] = field(default_factory=set)
    is_stopping: bool = False

    def publish_summary(self, summary: RequestSummary) -> None:
        """Hand the story of a request that has ended to whoever wants it."""
        self.on_request_finished(summary)

    def wait_queue(self, service: str) -> WaitQueue:
        """Return the waiting line of a service."""
        queue = self.wait_queue_by_service.get(service)
        if queue is None:
            queue = self.wait_queue_by_service[service] = WaitQueue()
        return queue

    def wake(self, service: str) -> None:
        """Let one waiting request of a service try again."""
        queue = self.wait_queue_by_service.get(service)
        if queue:
            queue.wake(1)
