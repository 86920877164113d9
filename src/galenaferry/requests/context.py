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
from .answers import RETRY_AFTER_MS
from .interface import RequestSettings
from .messages import RequestCounters
from .opening import Opening
from .overdue import Patience
from .story import Story
from .waiting import WaitingLine


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


def _forget_story(story: Story) -> None:
    """Stand in where nobody listens."""


@dataclass(slots=True)
class RequestContext:
    """Shared objects of the request path.

    ``detached`` holds the exchanges that go on after their caller left.
    ``retry_after`` gives when a refused request for a service may come back, in
    milliseconds, and ``limits`` what callers may send at present. ``opening`` holds
    requests that come before the VM knows its routes.
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
    line_by_service: dict[str, WaitingLine] = field(default_factory=dict)
    patience: Patience | None = None
    opening: Opening | None = None
    on_story: Callable[[Story], None] = _forget_story
    detached: set[Any] = field(default_factory=set)
    is_stopping: bool = False

    def tell(self, story: Story) -> None:
        """Hand the story of a request that has ended to whoever wants it."""
        self.on_story(story)

    def line(self, service: str) -> WaitingLine:
        """Return the waiting line of a service."""
        line = self.line_by_service.get(service)
        if line is None:
            line = self.line_by_service[service] = WaitingLine()
        return line

    def wake(self, service: str) -> None:
        """Let one waiting request of a service try again."""
        line = self.line_by_service.get(service)
        if line:
            line.wake(1)
