"""The second attempt of a request: when it is made and what ends it.

``hedging`` holds the decision.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from ..attempts.messages import AttemptOutcome, OutcomeEvaluation, Overtaken
from ..attempts.outcomes import evaluate_outcome
from ..backends.choice import Chosen
from ..backends.messages import CapacityShare, SelectionCriteria
from ..clock import Millis
from ..crashes.gate import RequestGate
from ..framing.messages import ResponseHead
from ..hedging.decision import AttemptFacts, Useful, decide_second_attempt
from ..hedging.second_attempts import SecondAttempts
from ..logs import logger
from ..network.loop import Timer
from ..routing.table import Route
from .access import AccessCheck
from .attempt import AttemptOwner
from .attempt_recording import judge_head
from .body import RequestBody
from .contest import Contest
from .context import RequestContext
from .deadline import Deadline
from .running_attempt import RunningAttempt
from .summary import RequestSummary

TOLERANCE_MS: Final[Millis] = 1.0
"""A second attempt may be made earlier by this, so that a rounding error starts no
timer again."""

log = logger("requests")


class AttemptSender(Protocol):
    """Runner of the attempts of a request."""

    share: CapacityShare

    def count_attempts(self, pending: int) -> int:
        """Return how many attempts count toward the limit of the route."""

    def criteria(self, route: Route, may_relay: bool) -> SelectionCriteria:
        """Return the criteria for the instance of the next attempt."""

    def send(self, running: RunningAttempt, route: Route) -> None:
        """Start an attempt."""

    def record(
        self,
        outcome: AttemptOutcome,
        evaluation: OutcomeEvaluation,
        running: RunningAttempt | None = None,
    ) -> None:
        """Record what an attempt showed."""

    def continue_with(self, running: RunningAttempt) -> None:
        """Take an attempt as the only one in progress."""


class SlowRequest(NamedTuple):
    """The request; its owner is the exchange.

    ``may_buffer`` counts held bytes of its answer as memory of the caller, and returns
    whether more of them may be held.
    """

    owner: AttemptOwner
    body: RequestBody
    gate: RequestGate
    summary: RequestSummary
    access: AccessCheck
    may_buffer: Callable[[int], bool]


class SecondAttempt:
    """Makes a second attempt of one request while the first one waits for too long.

    Parameters
    ----------
    context : RequestContext
    second_attempts : SecondAttempts
    sender : AttemptSender
    request : SlowRequest

    Attributes
    ----------
    contest : Contest or None
        The two attempts while both are in progress.
    """

    __slots__ = (
        "_context",
        "_is_made",
        "_request",
        "_second_attempts",
        "_sender",
        "_timer",
        "contest",
    )

    def __init__(
        self,
        context: RequestContext,
        second_attempts: SecondAttempts,
        sender: AttemptSender,
        request: SlowRequest,
    ) -> None:
        self._context = context
        self._second_attempts = second_attempts
        self._sender = sender
        self._request = request
        self._timer: Timer | None = None
        self._is_made = False
        self.contest: Contest | None = None

    @property
    def contestants(self) -> tuple[RunningAttempt, ...]:
        """The attempts in progress while there are two, else none."""
        contest = self.contest
        return () if contest is None else (contest.first, contest.second)

    def watch(self, running: RunningAttempt, route: Route, deadline: Deadline) -> None:
        """Make a second attempt once ``running`` has waited for too long."""
        self._cancel_timer()
        if self._is_made or not route.is_idempotent:
            return
        delay = self._second_attempts.conditions.second_attempt_after(route)
        if delay > 0.0:
            self._check_after(delay, running, route, deadline, delay)

    def end_contest(self) -> None:
        """Handle that both attempts were ended."""
        for running in self.contestants:
            running.holder = None
        self.contest = None

    def close(self) -> None:
        """Drop the timer and the attempts when the request is over."""
        self._cancel_timer()
        for running in self.contestants:
            running.release()
        self.contest = None

    def judge(self, running: RunningAttempt, head: ResponseHead) -> AttemptOutcome:
        """Return the outcome that a response head stands for."""
        return judge_head(self._context, running, head)

    def on_lost(
        self, running: RunningAttempt, outcome: AttemptOutcome, other: RunningAttempt
    ) -> None:
        """Record a failure, which has no other effect (called by the contest)."""
        self.end_contest()
        self._sender.continue_with(other)
        self._sender.record(outcome, evaluate_outcome(outcome), running)
        running.release()

    def on_won(self, running: RunningAttempt, other: RunningAttempt) -> None:
        """Cancel the slower attempt at once (called by the contest)."""
        contest, attempt = self.contest, other.attempt
        assert contest is not None and attempt is not None
        self.end_contest()
        self._sender.continue_with(running)
        counters = self._context.counters
        if other is contest.second:
            counters.second_attempts_cancelled += 1
        else:
            counters.second_attempts_won += 1
            # A second attempt that is cancelled began late, which shows nothing.
            took = self._context.loop.clock.now() - attempt.waits_since
            self._second_attempts.conditions.record_lower_bound(contest.route, took)
        outcome = Overtaken(attempt.has_sent)
        attempt.abandon()
        self._sender.record(outcome, evaluate_outcome(outcome), other)
        other.release()

    def _check_after(
        self,
        interval: Millis,
        running: RunningAttempt,
        route: Route,
        deadline: Deadline,
        delay: Millis,
    ) -> None:
        self._timer = self._context.loop.after(
            interval, lambda: self._check(running, route, deadline, delay)
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(
        self, running: RunningAttempt, route: Route, deadline: Deadline, delay: Millis
    ) -> None:
        """Make the second attempt if the instance has had the request for ``delay``."""
        attempt = running.attempt
        if attempt is None or attempt.is_over:
            return
        left = delay
        if attempt.has_sent_all:
            if not attempt.is_waiting:
                return
            left -= self._context.loop.clock.now() - attempt.waits_since
        if left > TOLERANCE_MS:
            self._check_after(left, running, route, deadline, delay)
            return
        facts = self._facts(running, route, deadline, delay)
        if isinstance(decide_second_attempt(facts), Useful):
            self._make(running, route, delay)

    def _facts(
        self, running: RunningAttempt, route: Route, deadline: Deadline, delay: Millis
    ) -> AttemptFacts:
        context, conditions = self._context, self._second_attempts.conditions
        body, gate, summary = (
            self._request.body,
            self._request.gate,
            self._request.summary,
        )
        return AttemptFacts(
            is_idempotent=route.is_idempotent,
            is_body_kept=body.is_complete and body.is_replayable,
            is_relayed=running.instance.is_relay,
            is_shutting_down=context.is_stopping or context.shutdown is not None,
            is_crash_suspected=gate.is_suspicious or bool(summary.fingerprint),
            is_rejecting=conditions.is_rejecting(route.service),
            is_limited=conditions.is_limited(route.service),
            attempts=self._sender.count_attempts(pending=1),
            max_attempts=route.policy.max_attempts,
            delay=delay,
            time_left=deadline.remaining(),
        )

    def _make(self, first: RunningAttempt, route: Route, delay: Millis) -> None:
        """Make the second attempt if there are tokens and an instance for it."""
        context, request = self._context, self._request
        if not self._second_attempts.has_token(route.service):
            return
        if not request.access.is_unchanged:
            # The key may have been removed since the first attempt.
            return
        criteria = self._sender.criteria(route, may_relay=False)
        choice = context.directory.choose(criteria, self._sender.share, True)
        if not isinstance(choice, Chosen):
            return
        budget = context.budgets.retry(route.service)
        if not self._second_attempts.try_spend(route.service, budget):
            return
        second = RunningAttempt(request.owner, choice.instance, choice.is_borrowed)
        self._is_made = True
        context.counters.second_attempts_sent += 1
        log.info(
            "second attempt",
            request=request.summary.request_id.decode("latin-1"),
            route=route.name,
            first=first.instance.name,
            second=second.instance.name,
            after_ms=int(delay),
        )
        limit = context.settings.buffer_limit_bytes
        self.contest = Contest(
            self, request.owner, route, first, second, limit, request.may_buffer
        )
        first.holder = second.holder = self.contest
        self._sender.send(second, route)
