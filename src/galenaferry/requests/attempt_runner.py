"""Attempts of one request: choice of the instance, sending, waiting and retries."""

from typing import Final, Protocol

from ..attempts.messages import (
    AttemptOutcome,
    CallerLeft,
    Evidence,
    Execution,
    OutcomeEvaluation,
    TimedOut,
)
from ..attempts.outcomes import evaluate_outcome, merge_execution
from ..backends.choice import Busy, Chosen, NoInstance
from ..backends.messages import CapacityShare, Instance, SelectionCriteria
from ..clock import Millis
from ..framing.heads import encode_request
from ..framing.messages import Header, RequestHead, ResponseHead
from ..relay.origin import Origin
from ..routing.table import Route
from .access import AccessCheck
from .admission import TOKEN_RECHECK_MS, Admission, AttemptPermit
from .attempt import Attempt, AttemptOwner
from .attempt_checks import AttemptChecks, CheckedRequest
from .attempt_headers import added_headers
from .attempt_recording import SentAttempt, judge_head, record_attempt_outcome
from .body import RequestBody
from .context import RequestContext
from .deadline import Deadline
from .gating import tell_gate
from .interface import is_stale_response
from .overdue import OverdueWatch
from .queueing import join_wait_queue
from .retries import acquire_retry
from .running_attempt import RunningAttempt
from .second_attempt import SecondAttempt, SlowRequest
from .sinks import AnswerSink
from .summary import LOST_WHILE_RUNNING, RequestSummary
from .wait_queue import Waiter

NO_SHARE: Final = CapacityShare(connections=0, slots=0)
"""Placeholder until the first attempt."""


class RunnerOwner(CheckedRequest, AttemptOwner, Protocol):
    """Exchange to which the attempts belong; it also gets their callbacks."""

    is_over: bool


class AttemptRunner:
    """Attempts of one request, one after another.

    Parameters
    ----------
    context : RequestContext
    owner : RunnerOwner
    sink : AnswerSink
    head : RequestHead
    body : RequestBody
    origin : Origin
    request_id : bytes
    summary : RequestSummary
    access : AccessCheck

    Attributes
    ----------
    checks : AttemptChecks
        What has to hold before each attempt.
    ran : Execution
        Whether the request was executed, as far as that is proven.
    """

    def __init__(
        self,
        context: RequestContext,
        owner: RunnerOwner,
        sink: AnswerSink,
        head: RequestHead,
        body: RequestBody,
        origin: Origin,
        request_id: bytes,
        summary: RequestSummary,
        access: AccessCheck,
    ) -> None:
        self._context = context
        self._access, self._owner = access, owner
        self._head, self._body, self._origin = head, body, origin
        self._request_id = request_id
        self._summary = summary
        self.checks = AttemptChecks(context, owner, sink, head, body, origin, access)
        self.gate, self.shutdown_check = self.checks.gate, self.checks.shutdown_check
        self._running: RunningAttempt | None = None
        self.ran = Execution.NOT_RUN
        self._route: Route | None = None
        self._deadline: Deadline | None = None
        self._tried_addresses: frozenset[str] = frozenset()
        self.share = NO_SHARE
        self._admission = Admission()
        self._is_waiting = False
        self._second: SecondAttempt | None = None
        if (second_attempts := context.second_attempts) is not None:
            request = SlowRequest(
                owner, body, self.gate, summary, access, sink.may_buffer
            )
            self._second = SecondAttempt(context, second_attempts, self, request)

    @property
    def attempt(self) -> Attempt | None:
        """The latest attempt, None before the first one and after ``close``."""
        return None if self._running is None else self._running.attempt

    @property
    def instance(self) -> Instance | None:
        """The instance of the latest attempt."""
        return None if self._running is None else self._running.instance

    @property
    def id_header(self) -> Header:
        """Header with the id of the request."""
        return (self._context.settings.names.request_id, self._request_id)

    def prepare(self, route: Route, deadline: Deadline) -> None:
        """Set the route and the deadline of the request."""
        self._route = route
        self._deadline = deadline

    def on_body(self) -> None:
        """Handle that more of the body, or its end, has arrived."""
        self.checks.on_body()
        if self.attempt is not None:
            self.attempt.send_body()

    def start(self) -> None:
        """Make the next attempt, as soon as an instance can take it."""
        assert self._route is not None and self._deadline is not None
        self._is_waiting = False
        self.checks.run(self._route, self._deadline, self._choose_instance)

    def retry_after(self) -> Millis:
        """Return the delay in ms after which a refused request may come back."""
        service = "" if self._route is None else self._route.service
        delay = self._context.retry_after(service)
        admission = self._context.admission
        was_rejected = self.instance is not None and self.ran is Execution.NOT_RUN
        if admission is not None and was_rejected:
            admission.on_refused(service, self._head, self._origin, delay)
        return delay

    def close(self) -> None:
        """Drop the attempts and the deadline when the request is over."""
        self._is_waiting = False
        self.checks.close()
        self._deadline = None
        if self._second is not None:
            self._second.close()
            self._second = None
        if self._running is not None:
            self._running.release()
            self._running = None

    def _choose_instance(self) -> None:
        route = self._route
        assert route is not None
        if not self._access.check_again(route, self._owner.refuse, self.ran):
            return
        if not self._acquire_permit(route):
            return
        context = self._context
        directory = context.directory
        self.share = directory.capacity_share(route.policy)
        may_borrow = self._admission.may_borrow(
            directory.borrowing_policy(route.service),
            context.loop.clock.now(),
            context.random,
        )
        criteria = self.criteria(route, not self._origin.is_relayed)
        match directory.choose(criteria, self.share, may_borrow):
            case Chosen(instance, is_borrowed):
                if self._running is not None:
                    self._running.release()
                self._running = RunningAttempt(self._owner, instance, is_borrowed)
                self.send(self._running, route)
            case Busy(until):
                self._wait(route, until)
            case NoInstance():
                self._owner.refuse(503, "no backend server may take the request")

    def criteria(self, route: Route, may_relay: bool) -> SelectionCriteria:
        """Return the criteria for the instance of the next attempt."""
        tried = self._tried_addresses | self.gate.excluded_addresses
        return SelectionCriteria(
            route.service,
            route.name,
            route.policy,
            tried,
            route.is_idempotent,
            may_relay,
        )

    def _acquire_permit(self, route: Route) -> bool:
        """Acquire the permit for the next attempt.

        Without one the request has been put into the wait queue or refused.
        """
        now = self._context.loop.clock.now()
        budget = self._context.budgets.shed(route.service)
        max_wait = self._context.settings.shed_retry_timeout
        match self._admission.acquire_permit(budget, max_wait, now):
            case AttemptPermit.GRANTED:
                return True
            case AttemptPermit.WAIT:
                self._wait(route, now + TOKEN_RECHECK_MS)
            case AttemptPermit.DENIED:
                self._owner.refuse(503, "every backend server is busy")
        return False

    def send(self, running: RunningAttempt, route: Route) -> None:
        """Start an attempt."""
        context, instance = self._context, running.instance
        running.list_state = context.list_state(instance)
        pool = context.directory.pool(instance)
        connection = pool.acquire(route.is_idempotent, self.share, self._request_id)
        context.counters.remote_zone += instance.zone != context.directory.zone
        self._tried_addresses |= {instance.address}
        attempt = Attempt(context.loop, pool, connection, running, route.policy)
        running.attempt = attempt
        self._body.rewind()
        assert self._deadline is not None
        headers = added_headers(
            context,
            self._head,
            self._origin._replace(is_trial=self.gate.has_trial),
            self.id_header,
            instance,
            self._deadline.remaining(),
            len(self._tried_addresses),
            self._access,
        )
        # Without a reference to this object, which the connection would keep.
        settings, request_id = context.settings, self._request_id
        attempt.start(
            encode_request(self._access.forwarded_head, headers),
            self._body,
            self._head.length,
            self._head.method == b"HEAD",
            lambda head: is_stale_response(
                settings, head, request_id, instance.is_relay
            ),
        )
        self._watch_overdue(running, attempt, route)
        if self._second is not None and not attempt.is_over:
            self._second.watch(running, route, self._deadline)

    def _watch_overdue(
        self, running: RunningAttempt, attempt: Attempt, route: Route
    ) -> None:
        """Watch for a response that takes longer than usual."""
        context = self._context
        if context.overdue_policy is None or attempt.is_over:
            return
        running.watch = OverdueWatch(
            context.loop,
            context.overdue_policy,
            running.instance,
            lambda: attempt.is_waiting,
            lambda: self._on_unresponsive(running, attempt),
        )
        running.watch.start(route)

    def _on_unresponsive(self, running: RunningAttempt, attempt: Attempt) -> None:
        """Retry at another instance if the request may be repeated."""
        route, deadline = self._route, self._deadline
        if route is None or deadline is None:
            return
        outcome = TimedOut(is_reused=False)
        if not self.shutdown_check.may_abandon(route, deadline.expires_at):
            return
        if self._second is not None and self._second.contest is not None:
            # The other attempt takes the place of a retry.
            attempt.abandon()
            self._second.contest.lose(running, outcome)
            return
        evaluation = evaluate_outcome(outcome)
        if not self.acquire_retry(evaluation, pending=1):
            return
        attempt.abandon()
        self.record(outcome, evaluation)
        self.retry()

    def _wait(self, route: Route, wake_at: Millis) -> None:
        """Join the wait queue, or refuse the request if that is impossible."""
        assert self._deadline is not None
        waiter = Waiter(self.start, self._is_still_waiting)
        self._is_waiting = True
        reason = join_wait_queue(
            self._context, route, waiter, wake_at, self._deadline.expires_at
        )
        if reason:
            self._owner.refuse(503, reason)

    def _is_still_waiting(self) -> bool:
        return self._is_waiting and not self._owner.is_over

    def count_attempts(self, pending: int) -> int:
        """Return how many attempts count toward the limit of the route.

        ``pending`` is the number of attempts that are not recorded yet.
        """
        if self._context.settings.is_shed_counted_as_attempt:
            return self._summary.sent_count + pending
        return len(self._tried_addresses) + pending

    def acquire_retry(self, evaluation: OutcomeEvaluation, pending: int = 0) -> bool:
        """Whether another attempt may follow; spends its token."""
        route, deadline = self._route, self._deadline
        assert route is not None and deadline is not None
        if not self.shutdown_check.may_start(route, deadline.expires_at):
            return False
        return not self._owner.is_over and acquire_retry(
            self._context,
            route,
            self._body,
            self._admission,
            self.count_attempts(pending),
            evaluation,
        )

    def retry(self) -> None:
        """Make another attempt, unless the request is over."""
        if not self._owner.is_over:
            self._context.counters.retried += 1
            self.start()

    def judge(self, head: ResponseHead) -> AttemptOutcome:
        """Return the outcome that a response head stands for.

        A response that can't be the answer ends the attempt.
        """
        assert self._running is not None
        return judge_head(self._context, self._running, head)

    def continue_with(self, running: RunningAttempt) -> None:
        """Take one of two attempts as the only one in progress."""
        self._running = running

    def record(
        self,
        outcome: AttemptOutcome,
        evaluation: OutcomeEvaluation,
        running: RunningAttempt | None = None,
    ) -> None:
        """Record what an attempt, the latest one by default, has shown."""
        running = running or self._running
        assert running is not None
        route, attempt, instance = self._route, running.attempt, running.instance
        assert route is not None and attempt is not None
        self.ran = merge_execution(self.ran, evaluation.execution)
        if evaluation.evidence is Evidence.SHED:
            # The instance did not execute the request and may be chosen again.
            self._tried_addresses -= {instance.address}
        is_of_head = outcome is running.judged
        ended_at = running.head_at if is_of_head else self._context.loop.clock.now()
        took = ended_at - attempt.started_at
        self._summary.add_attempt(instance, outcome, took, running.list_state)
        if isinstance(outcome, LOST_WHILE_RUNNING):
            self._summary.fingerprint = self.gate.fingerprint
        tell_gate(self.gate, instance, outcome)
        target, waits_since = self._head.target, attempt.waits_since
        sent = SentAttempt(route, instance, self.share, target, waits_since, ended_at)
        self._admission.is_borrowed = running.is_borrowed
        record_attempt_outcome(
            self._context, sent, self._admission, outcome, evaluation
        )

    def time_out(self) -> None:
        """End and record all attempts that were sent, at the deadline."""
        for running, attempt in self._in_progress():
            if attempt.has_sent:
                outcome = TimedOut(attempt.is_reused)
                attempt.abandon()
                self.record(outcome, evaluate_outcome(outcome), running)

    def abandon(self) -> None:
        """Abandon all attempts in progress.

        Once a byte has been sent, the request may have been executed.
        """
        for running, attempt in self._in_progress():
            if attempt.has_sent:
                execution = evaluate_outcome(CallerLeft()).execution
                self.ran = merge_execution(self.ran, execution)
                self.gate.on_abandoned(running.instance)
            attempt.abandon()

    def _in_progress(self) -> list[tuple[RunningAttempt, Attempt]]:
        contestants = () if self._second is None else self._second.contestants
        last = () if self._running is None else (self._running,)
        pairs = [(running, running.attempt) for running in contestants or last]
        return [(r, a) for r, a in pairs if a is not None and not a.is_over]
