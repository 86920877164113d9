"""What all exchanges of a VM share."""

from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from ..attempts.budget import RetryBudget
from ..attempts.messages import Evidence
from ..backends.directory import Directory
from ..claims.component import ClaimsComponent
from ..clock import Millis
from ..network.loop import Loop
from ..routing.table import RouteTable
from .messages import RequestCounters
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


@dataclass(slots=True)
class RequestContext:
    """Shared objects of the request path.

    ``detached`` holds the exchanges that go on after their caller left.
    """

    loop: Loop
    directory: Directory
    routes: RouteTable
    observer: Observer
    random: Random
    claims: ClaimsComponent | None = None
    counters: RequestCounters = field(default_factory=RequestCounters)
    budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    shed_budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    line_by_service: dict[str, WaitingLine] = field(default_factory=dict)
    detached: set[Any] = field(default_factory=set)
    is_stopping: bool = False

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = self.budget_by_service[service] = RetryBudget()
        return budget

    def shed_budget(self, service: str) -> RetryBudget:
        """Return the budget of attempts after sheds of a service.

        A shed was not run and costs a backend server little, so that it has a
        budget apart from that of attempts that may have run.
        """
        budget = self.shed_budget_by_service.get(service)
        if budget is None:
            budget = self.shed_budget_by_service[service] = RetryBudget()
        return budget

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
