"""Objects that all exchanges of a VM share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from ..attempts.budget import Budget, RetryBudget
from ..attempts.messages import Evidence
from ..backends.directory import Backends
from ..backends.messages import Instance, ListState
from ..callers.budget import CallerBudget
from ..claims.component import ClaimsComponent
from ..clock import Millis
from ..crashes.guard import CrashGuard
from ..framing.limits import CallerLimits
from ..framing.messages import RequestHead
from ..hedging.second_attempts import SecondAttempts
from ..network.loop import Loop
from ..relay.origin import RelayAuthentication
from ..routing.table import RouteResult
from ..workspaces.directory import NO_ACCESS_RULES, AccessRules
from .admission_check import AdmissionCheck
from .interface import RequestSettings
from .local_answers import RETRY_AFTER_MS
from .messages import RequestCounters
from .overdue import OverduePolicy
from .quota_charging import Quotas
from .shutdown import ShutdownPolicy
from .startup import StartupQueue
from .summary import RequestSummary
from .wait_queue import WaitQueue


class Observer(Protocol):
    """Receiver of the evidence that attempts give about instances."""

    def observe(
        self,
        service: str,
        address: str,
        route: str,
        target: bytes,
        evidence: Evidence,
        latency: Millis,
    ) -> None:
        """Record the end of one attempt.

        ``route`` is the name of the route and ``target`` the request target.
        ``latency`` is the time since the attempt started, in milliseconds.
        """


class Routes(Protocol):
    """Source of routes."""

    def route(self, head: RequestHead) -> RouteResult:
        """Return the route of a request, or why there is none."""


class Budgets(Protocol):
    """Retry budgets by service.

    Implemented by ``VmBudgets`` and ``attempts.fleet_budget.FleetBudgets``.
    """

    def retry(self, service: str) -> Budget:
        """Return the budget for retries, except after a certified shed."""

    def shed(self, service: str) -> Budget:
        """Return the budget for retries after a certified shed."""


class VmBudgets:
    """Retry budgets of this VM alone, in proportion to its own requests.

    A shed request was not executed and costs a backend server little, so that retries
    after sheds have a budget of their own.
    """

    def __init__(self) -> None:
        self._retry_by_service: dict[str, RetryBudget] = {}
        self._shed_by_service: dict[str, RetryBudget] = {}

    def retry(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return _get_or_add(self._retry_by_service, service)

    def shed(self, service: str) -> RetryBudget:
        """Return the budget for retries after sheds of a service."""
        return _get_or_add(self._shed_by_service, service)


def _get_or_add(by_service: dict[str, RetryBudget], service: str) -> RetryBudget:
    budget = by_service.get(service)
    if budget is None:
        budget = by_service[service] = RetryBudget()
    return budget


def _fixed_retry_after(service: str) -> Millis:
    return RETRY_AFTER_MS


def _ignore_summary(summary: RequestSummary) -> None:
    """Do nothing: default of ``RequestContext.on_request_finished``."""


@dataclass(slots=True)
class RequestContext:
    """Shared objects of the request path.

    ``detached`` holds the exchanges that continue after their caller left.
    ``retry_after`` gives the delay in milliseconds before a refused request for a
    service is retried, ``limits`` the current limits on callers, and ``access_rules``
    the current keys of workspaces.
    ``startup_queue`` holds requests that arrive before the VM knows its routes, and
    ``overdue_policy`` decides about attempts whose response takes unusually long;
    both are optional. ``crash_guard`` keeps requests that crash instances from more of
    them, if there is one. ``relay_authentication`` is for requests that go by way of
    other VMs. ``shutdown`` limits the requests that are passed on during a graceful
    shutdown. ``quotas`` holds the rate limits of workspaces, if there are bounds.
    ``admission`` decides whether requests are sent to services that lack room, None
    if all are. ``second_attempts`` permits second attempts of slow requests; without
    it there are none. ``callers`` counts what is held for the callers of all
    listeners. ``list_state`` returns from what list an instance is chosen now, for the
    log.
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
    access_rules: Callable[[], AccessRules] = lambda: NO_ACCESS_RULES
    retry_after: Callable[[str], Millis] = _fixed_retry_after
    wait_queue_by_service: dict[str, WaitQueue] = field(default_factory=dict)
    overdue_policy: OverduePolicy | None = None
    startup_queue: StartupQueue | None = None
    crash_guard: CrashGuard | None = None
    relay_authentication: RelayAuthentication | None = None
    on_request_finished: Callable[[RequestSummary], None] = _ignore_summary
    detached: set[Any] = field(default_factory=set)
    is_stopping: bool = False
    shutdown: ShutdownPolicy | None = None
    quotas: Quotas | None = None
    admission: AdmissionCheck | None = None
    second_attempts: SecondAttempts | None = None
    callers: CallerBudget = field(default_factory=CallerBudget)
    list_state: Callable[[Instance], ListState | None] = lambda instance: None

    def begin_shutdown(self, policy: ShutdownPolicy) -> None:
        """Answer with ``Connection: close`` and pass on only what can end in time."""
        self.is_stopping = True
        self.shutdown = policy

    def publish_summary(self, summary: RequestSummary) -> None:
        """Report a finished request to ``on_request_finished``."""
        self.on_request_finished(summary)

    def wait_queue(self, service: str) -> WaitQueue:
        """Return the wait queue of a service."""
        queue = self.wait_queue_by_service.get(service)
        if queue is None:
            queue = self.wait_queue_by_service[service] = WaitQueue()
        return queue

    def wake(self, service: str) -> None:
        """Let one waiting request of a service retry."""
        queue = self.wait_queue_by_service.get(service)
        if queue:
            queue.wake(1)
