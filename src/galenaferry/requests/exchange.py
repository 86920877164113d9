"""One caller request, from its head to the end of its answer."""

from typing import Final

from ..attempts.messages import (
    AttemptOutcome,
    BrokenHeld,
    BrokenResponse,
    Execution,
    OutcomeEvaluation,
)
from ..attempts.outcomes import evaluate_outcome
from ..claims.handle import ClaimHandle
from ..claims.messages import Replayed
from ..clock import Millis
from ..configuration.policy import WAIT
from ..framing.messages import Header, RequestHead, ResponseHead
from ..relay.answers import instance_headers, without_instance
from ..relay.origin import UNKNOWN_ORIGIN, Origin
from ..relay.rejections import refusal_status
from ..routing.table import NoRoute, Route, UnknownRoute
from .access import AccessCheck
from .answer_writer import AnswerWriter
from .attempt_runner import AttemptRunner
from .body import RequestBody, is_body_too_large, lift_body_limit, refuse_body
from .claiming import claim_key
from .context import RequestContext
from .deadline import Deadline, open_deadline
from .idempotency import make_keyed_request
from .interface import find_refusal_reason
from .local_answers import LocalAnswer, make_refusal, make_replay
from .messages import IDEMPOTENCY_KEY_HEADER, RAN_HEADER
from .quota_charging import QuotaCharge
from .retries import record_request
from .shutdown import RETRY_ELSEWHERE_MS, SHUTDOWN_REASON
from .sinks import DISCARDING_SINK, AnswerSink
from .summary import RequestSummary

UNSENT_LIMIT_BYTES: Final = 262_144
"""Size of the unsent body above which reading from the caller pauses."""


class Exchange:
    """A caller request with its route, attempts and answer.

    On a route that is not idempotent, a request with an idempotency key (a keyed
    request) also has a claim: a record that reserves the key, so that the request is
    executed at most once.

    Parameters
    ----------
    context : RequestContext
    sink : AnswerSink
    head : RequestHead
    origin : Origin
    arrived_at : float, optional
        Monotonic time in milliseconds; by default now.
    """

    def __init__(
        self,
        context: RequestContext,
        sink: AnswerSink,
        head: RequestHead,
        origin: Origin = UNKNOWN_ORIGIN,
        arrived_at: Millis | None = None,
    ) -> None:
        self._context = context
        self._sink = sink
        self._answer = AnswerWriter(sink, context.settings.buffer_limit_bytes)
        self.head = head
        self.body = RequestBody()
        self._origin = origin
        self.is_over = False
        self._route: Route | None = None
        self._charge = QuotaCharge(context.quotas, origin)
        self._claim: ClaimHandle | None = None
        self._is_continue_pending = head.expects_continue
        self._deadline: Deadline | None = None
        self._request_id = head.header(context.settings.names.request_id) or (
            b"%032x" % context.random.getrandbits(128)
        )
        started_at = context.loop.clock.now() if arrived_at is None else arrived_at
        self._summary = RequestSummary(self._request_id, started_at, head)
        self._access = AccessCheck(context, head, origin, self._summary)
        self._runner = AttemptRunner(
            context,
            self,
            sink,
            head,
            self.body,
            origin,
            self._request_id,
            self._summary,
            self._access,
        )

    @property
    def request_id(self) -> str:
        """Id of the request, as in the log."""
        return self._request_id.decode("latin-1")

    def start(self) -> None:
        """Route the request and make its first attempt, or hold it during startup."""
        queue = self._context.startup_queue
        self._context.counters.received += 1
        if queue is None or not queue.enqueue(self._route_request):
            self._route_request()

    def _route_request(self) -> None:
        if self.is_over:
            return
        if self._origin.error:
            self.refuse(403, self._origin.error)
            return
        match self._context.routes.route(self.head):
            case UnknownRoute(reason):
                self.refuse(503, reason)
            case NoRoute():
                self.refuse(404, "no service for this path")
            case Route() as route:
                self._start_on_route(lift_body_limit(route, self._origin))

    def _start_on_route(self, route: Route) -> None:
        context = self._context
        self._summary.route = route.name
        if not self._access.check(route, self.refuse):
            return
        if not context.directory.has_service(route.service):
            self.refuse(404, "no service for this path")
            return
        if self.head.length and self.head.length > route.policy.max_body_bytes:
            refuse_body(context.limits(), self.refuse)
            return
        self._route = route
        self._deadline = open_deadline(
            context, self.head, route, self.body, self._summary, self._on_deadline
        )
        self._runner.prepare(route, self._deadline)
        if not self._charge.admit(self._access.workspace, self._refuse):
            return
        overloaded = self._runner.checks.find_overload(route, self._deadline)
        if overloaded is not None:
            self._refuse(503, overloaded.reason, overloaded.retry_after)
            return
        if not self._origin.is_relayed:
            record_request(context, route)
        key = self.head.header(IDEMPOTENCY_KEY_HEADER)
        if key is None or route.is_idempotent or context.claims is None:
            self._runner.start()
        else:
            request = make_keyed_request(self.head, route, key, context.random)
            may_wait = route.policy.claims_outage == WAIT
            claim_key(
                context.claims, request, self._deadline.expires_at, may_wait, self
            )

    def on_body(self, data: bytes) -> None:
        """Handle a part of the request body from the caller."""
        if self.is_over:
            return
        self.body.append(data)
        if is_body_too_large(self._context.routes, self._route, self.head, self.body):
            refuse_body(self._context.limits(), self.refuse)
            return
        self._runner.on_body()
        if self.body.unsent_bytes > UNSENT_LIMIT_BYTES:
            self._sink.pause_body()

    @property
    def is_body_held(self) -> bool:
        """Whether the request waits for its body before an instance is chosen."""
        return not self.is_over and self._runner.checks.is_body_held

    def stream_body(self) -> None:
        """Pass the body on as it arrives instead of holding it."""
        if self.is_body_held:
            self._runner.checks.stream_body()

    def on_body_complete(self) -> None:
        """Handle the end of the request body."""
        if self.is_over:
            return
        self.body.is_complete = True
        self._runner.on_body()

    def on_caller_drained(self) -> None:
        """Resume reading the response after back-pressure."""
        attempt = None if self.is_over else self._runner.attempt
        if attempt is not None and not attempt.is_over:
            attempt.resume()

    def on_caller_left(self) -> None:
        """Abandon the request, or continue it without a caller.

        A keyed request with its whole body and an attempt in progress goes on.
        """
        if self.is_over:
            return
        self._context.counters.callers_left += 1
        if self._is_worth_finishing():
            self._sink = self._answer.sink = DISCARDING_SINK
            self._context.detached.add(self)
            return
        self.cut("the caller left")

    def cut(self, reason: str) -> None:
        """End without an answer."""
        self._runner.abandon()
        self._summary.set_outcome(0, reason, self._runner.ran)
        self._close()

    def refuse_if_too_late(self) -> None:
        """Refuse a request that no instance works on, if it can't end before the exit.

        Called repeatedly during a graceful shutdown.
        """
        route, deadline = self._route, self._deadline
        if self.is_over or self._answer.is_started or route is None or deadline is None:
            return
        attempt = self._runner.attempt
        is_sent = attempt is not None and not attempt.is_over and attempt.has_sent
        if is_sent and (self.body.is_complete or self._answer.is_buffering):
            return
        check = self._runner.shutdown_check
        may_end = check.may_go_on if is_sent else check.may_start
        if not may_end(route, deadline.expires_at):
            self.refuse_for_shutdown()

    def refuse_for_shutdown(self) -> None:
        """Refuse the request because it can't end before the process exits."""
        self._refuse(503, SHUTDOWN_REASON, RETRY_ELSEWHERE_MS)

    def refuse_for_crash(self, reason: str, retry_after: Millis | None) -> None:
        """Refuse the request because it may crash instances."""
        self._refuse(503, reason, retry_after)

    def _is_worth_finishing(self) -> bool:
        """Whether a repeat with the same idempotency key could get the answer."""
        attempt = self._runner.attempt
        is_in_progress = attempt is not None and not attempt.is_over
        return self._claim is not None and is_in_progress and self.body.is_complete

    def refuse(self, status: int, reason: str) -> None:
        """End the exchange with a generated answer.

        An answer that has started can't be replaced: the connection is closed.
        """
        status = refusal_status(self._origin, status)
        self._refuse(status, reason, self._runner.retry_after())

    def _refuse(self, status: int, reason: str, retry_after: Millis | None) -> None:
        self._runner.abandon()
        if self._answer.is_started:
            self._summary.set_outcome(0, reason, self._runner.ran)
            self._close()
            self._sink.abort_answer()
            return
        ran = self._runner.ran
        if ran is not Execution.NOT_RUN:
            ran = Execution.UNKNOWN
            if status == 503 and self._context.settings.is_503_only_for_not_run:
                status = 502
        self._context.counters.count_refusal(status, reason, ran)
        self._summary.set_outcome(status, reason, ran)
        self._answer_locally(
            make_refusal(status, reason, ran, self._runner.id_header, retry_after)
        )

    def on_attempt_sending(self) -> None:
        """Send ``100 Continue`` if the caller expects it."""
        if self._is_continue_pending:
            self._is_continue_pending = False
            self._sink.send_continue()

    def on_attempt_writable(self) -> None:
        """Resume reading the request body."""
        self._sink.resume_body()

    def on_attempt_head(self, head: ResponseHead) -> bool:
        """Forward the head, or discard the response and retry or refuse."""
        outcome = self._runner.judge(head)
        evaluation = evaluate_outcome(outcome)
        self._runner.record(outcome, evaluation)
        if self._runner.acquire_retry(evaluation):
            self._context.loop.call_soon(self._runner.retry)
            return False
        reason = find_refusal_reason(self._context.settings, outcome)
        if reason:
            self._context.loop.call_soon(
                lambda: self._refuse_if_open(evaluation.status, reason)
            )
            return False
        self._forward_head(head, evaluation)
        return True

    def _refuse_if_open(self, status: int, reason: str) -> None:
        if not self.is_over:
            self.refuse(status, reason)

    def on_attempt_body(self, data: bytes) -> None:
        """Forward or buffer a part of the response body."""
        if self._claim is not None:
            self._claim.on_body(data)
        is_slow = not self._answer.append(data)
        if is_slow and not self.is_over and self._runner.attempt is not None:
            self._runner.attempt.pause()

    def on_attempt_complete(self) -> None:
        """End the answer."""
        self._context.counters.answered += 1
        if self._claim is not None and self._runner.ran is Execution.ANSWERED:
            self._claim.settle_answered()
        self._answer.release()
        if self.is_over:
            # The caller's connection was found broken.
            return
        self._summary.buffered_body_bytes = self._answer.buffered_bytes
        self._close()
        self._sink.end_answer()

    def on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Retry or answer after an attempt without a complete response."""
        if isinstance(outcome, BrokenResponse) and self._answer.is_buffering:
            self._answer.discard()
            outcome = BrokenHeld(outcome.reason)
        evaluation = evaluate_outcome(outcome)
        self._runner.record(outcome, evaluation)
        if isinstance(outcome, BrokenResponse):
            self._context.counters.broken_after_head += 1
            reason = f"the response was cut off: {outcome.reason}"
            self._summary.set_outcome(0, reason, self._runner.ran)
            self._close()
            self._sink.abort_answer()
        elif self._runner.acquire_retry(evaluation):
            self._runner.retry()
        else:
            self.refuse(evaluation.status, f"attempt ended: {type(outcome).__name__}")

    def on_claim_granted(self, claim: ClaimHandle) -> None:
        """Send the request (called by the claim)."""
        self._claim = claim
        self._runner.start()

    def on_claim_replayed(self, outcome: Replayed) -> None:
        """Answer with a recorded answer (called by the claim)."""
        self._summary.set_outcome(outcome.record.status, "replayed", Execution.ANSWERED)
        self._answer_locally(make_replay(outcome.record, self._request_id))

    def on_claim_refused(self, status: int, reason: str, ran: Execution) -> None:
        """Refuse the request (called by the claim)."""
        self._runner.ran = ran
        self.refuse(status, reason)

    def _answer_locally(self, answer: LocalAnswer) -> None:
        """End the exchange with a complete generated answer."""
        self._close()
        self._context.counters.count_status(answer.head.status)
        self._sink.start_answer(answer.head, ())
        self._sink.send_answer_body(answer.body)
        self._sink.end_answer()

    def _forward_head(self, head: ResponseHead, evaluation: OutcomeEvaluation) -> None:
        """Start the caller's answer with the response head, or buffer it."""
        head = without_instance(head)
        extra: tuple[Header, ...] = (self._runner.id_header,)
        extra += instance_headers(self._origin, self._runner.instance)
        if evaluation.execution is not Execution.ANSWERED:
            self._context.counters.count_unanswered(self._runner.ran)
            extra += ((RAN_HEADER, self._runner.ran.value.encode()),)
        self._context.counters.count_status(head.status)
        self._summary.set_outcome(head.status, "", self._runner.ran)
        if self._claim is not None:
            self._claim.on_head(head)
        if self._answer.start(head, extra) and self._deadline is not None:
            self._deadline.cancel()

    def _on_deadline(self) -> None:
        if self.is_over or self._answer.is_started:
            return
        self._answer.discard()
        self._runner.time_out()
        status = 503 if self._runner.ran is Execution.NOT_RUN else 504
        self.refuse(status, "the time for the request is over")

    def _close(self) -> None:
        self.is_over = True
        self._charge.settle(self._runner.ran)
        self._context.publish_summary(self._summary)
        self._runner.close()
        if self._claim is not None:
            self._claim.settle_unanswered(self._runner.ran)
            self._claim = None
        self._context.detached.discard(self)
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        # Breaks the cycle, so that reference counting frees the request.
        del self._runner
