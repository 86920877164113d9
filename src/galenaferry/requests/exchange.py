"""One request of a caller, from its head to the end of its answer."""

from typing import Final, Protocol

from ..attempts.messages import (
    BrokenResponse,
    CallerLeft,
    Ending,
    Evidence,
    Ran,
    Verdict,
)
from ..attempts.outcomes import classify_status, is_permitted, judge, worse
from ..backends.choice import Busy, Chosen, Nothing
from ..backends.messages import Instance, Shares
from ..backends.pool import InstancePool
from ..claims.component import ClaimsComponent
from ..claims.handle import ClaimHandle, row_key
from ..claims.messages import (
    ClaimOutcome,
    Granted,
    KeyedRequest,
    Mismatched,
    Record,
    Replayed,
    Unavailable,
    Untold,
)
from ..clock import Millis
from ..configuration.policy import WAIT
from ..framing.heads import encode_request
from ..framing.messages import Header, RequestHead, ResponseHead
from ..network.loop import Timer
from ..routing.table import Route
from .attempt import Attempt
from .body import RequestBody
from .context import RequestContext
from .messages import (
    ATTEMPT,
    DRAINING,
    IDEMPOTENCY_KEY,
    RAN,
    REASON,
    REPLAYED,
    REQUEST_ID,
    RETRY_AFTER,
    TIME_LEFT,
)
from .waiting import Waiter

SHED_LIMIT: Final = 8
TOKEN_WAIT_MS: Final = 20.0
TOKEN_PATIENCE_MS: Final = 1000.0
BORROW_INTERVAL_MS: Final = 200.0
UNSENT_LIMIT_BYTES: Final = 262_144
RETRY_AFTER_SECONDS: Final = b"1"
NO_SHARES: Final = Shares(connections=0, slots=0)


class AnswerSink(Protocol):
    """The caller's side of an exchange."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        """Send the head of the answer."""

    def answer_body(self, data: bytes) -> bool:
        """Send a part of the body; False asks to wait for ``on_drained``."""

    def end_answer(self) -> None:
        """End the answer."""

    def break_answer(self) -> None:
        """Break the connection, since the answer can't be completed."""

    def send_continue(self) -> None:
        """Tell the caller to send its body."""

    def pause_body(self) -> None:
        """Take no more of the request's body for now."""

    def resume_body(self) -> None:
        """Take more of the request's body."""


class _Nobody:
    """Sink of an answer whose caller has left."""

    def start_answer(self, head: ResponseHead, extra: tuple[Header, ...]) -> None:
        return

    def answer_body(self, data: bytes) -> bool:
        return True

    def end_answer(self) -> None:
        return

    def break_answer(self) -> None:
        return

    def send_continue(self) -> None:
        return

    def pause_body(self) -> None:
        return

    def resume_body(self) -> None:
        return


NOBODY: Final = _Nobody()


class Exchange:
    """A request and everything that is done to answer it.

    Parameters
    ----------
    context : RequestContext
    sink : AnswerSink
    head : RequestHead
    """

    __slots__ = (
        "_attempt",
        "_borrow_decided_at",
        "_claim",
        "_context",
        "_deadline",
        "_deadline_timer",
        "_deadline_total",
        "_instance",
        "_is_borrowed",
        "_is_continue_owed",
        "_is_waiting",
        "_owes_token",
        "_ran",
        "_request_id",
        "_route",
        "_shares",
        "_shed_at",
        "_sheds",
        "_sink",
        "_size_at_deadline",
        "_tried",
        "body",
        "head",
        "is_answer_started",
        "is_over",
    )

    def __init__(
        self, context: RequestContext, sink: AnswerSink, head: RequestHead
    ) -> None:
        self._context = context
        self._sink = sink
        self.head = head
        self.body = RequestBody()
        self.is_over = False
        self.is_answer_started = False
        self._route: Route | None = None
        self._attempt: Attempt | None = None
        self._claim: ClaimHandle | None = None
        self._instance: Instance | None = None
        self._tried: frozenset[str] = frozenset()
        self._shares = NO_SHARES
        self._ran = Ran.NOT_RUN
        self._is_waiting = False
        self._is_borrowed = False
        self._owes_token = False
        self._sheds = 0
        self._shed_at: Millis = 0.0
        self._borrow_decided_at: Millis = -BORROW_INTERVAL_MS
        self._is_continue_owed = head.expects_continue
        self._deadline: Millis = 0.0
        self._deadline_total: Millis = 0.0
        self._size_at_deadline = 0
        self._deadline_timer: Timer | None = None
        self._request_id = head.header(REQUEST_ID) or b"%032x" % (
            context.random.getrandbits(128)
        )

    def begin(self) -> None:
        """Route the request and make its first attempt."""
        context = self._context
        context.counters.received += 1
        route = context.routes.find(self.head.method, self.head.target)
        if route is None or route.service not in context.directory.by_service:
            self.refuse(404, "no service for this path")
            return
        if self.head.length and self.head.length > route.policy.max_body_bytes:
            self.refuse(413, "the body is too large")
            return
        self._route = route
        total = self._total_time(route)
        self._deadline_total = total
        self._deadline = context.loop.clock.now() + total
        self._deadline_timer = context.loop.after(total, self._on_deadline)
        context.budget(route.service).earn(route.policy.retry_budget_percent)
        context.shed_budget(route.service).earn(route.policy.shed_retry_percent)
        key = self.head.header(IDEMPOTENCY_KEY)
        if key is None or route.is_idempotent or context.claims is None:
            self._try()
        else:
            self._ask_claim(context.claims, route, key)

    def on_body(self, data: bytes) -> None:
        """Take a part of the request's body from the caller."""
        if self.is_over:
            return
        self.body.add(data)
        if self._route and self.body.size > self._route.policy.max_body_bytes:
            self.refuse(413, "the body is too large")
            return
        if self._attempt is not None:
            self._attempt.send_body()
        if self.body.unsent_bytes > UNSENT_LIMIT_BYTES:
            self._sink.pause_body()

    def on_body_complete(self) -> None:
        """Take the end of the request's body."""
        self.body.is_complete = True
        if self._attempt is not None:
            self._attempt.send_body()

    def on_caller_drained(self) -> None:
        """Go on receiving the response."""
        if self._attempt is not None and not self._attempt.is_over:
            self._attempt.resume()

    def on_caller_left(self) -> None:
        """Give the request up, since nobody waits for its answer."""
        if self.is_over:
            return
        self._context.counters.callers_left += 1
        if self._is_worth_finishing():
            self._sink = NOBODY
            self._context.detached.add(self)
            return
        if self._attempt is not None:
            self._attempt.abandon()
            self._settle(judge(CallerLeft()))
        self._close()

    def _is_worth_finishing(self) -> bool:
        """Whether a repeat with the same key can be given the answer."""
        attempt = self._attempt
        is_sent = attempt is not None and not attempt.is_over
        return self._claim is not None and is_sent and self.body.is_complete

    def refuse(self, status: int, reason: str) -> None:
        """End the exchange by an answer of the fleet's own."""
        if self._attempt is not None:
            self._attempt.abandon()
        if self.is_answer_started:
            self._close()
            self._sink.break_answer()
            return
        ran = Ran.NOT_RUN if self._ran is Ran.NOT_RUN else Ran.UNKNOWN
        self._count_refusal(ran)
        body = f"{reason}\n".encode()
        headers: list[Header] = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
            (RAN, ran.value.encode()),
            (REASON, reason.encode()),
            (REQUEST_ID, self._request_id),
        ]
        if status == 503:
            headers.append((RETRY_AFTER, RETRY_AFTER_SECONDS))
        self._close()
        self._context.counters.count_status(status)
        self._sink.start_answer(
            ResponseHead(status, b"", tuple(headers), len(body)), ()
        )
        if self.head.method != b"HEAD":
            self._sink.answer_body(body)
        self._sink.end_answer()

    def on_attempt_sending(self) -> None:
        """Ask the caller for its body where it waits to be asked."""
        if self._is_continue_owed:
            self._is_continue_owed = False
            self._sink.send_continue()

    def on_body_wanted(self) -> None:
        """Let the caller send more of its body."""
        self._sink.resume_body()

    def on_attempt_head(self, head: ResponseHead) -> bool:
        """Pass the head on, or give the response up for another attempt."""
        is_certified = head.header(RAN) == Ran.NOT_RUN.value.encode()
        ending = classify_status(head.status, is_certified)
        if head.header(DRAINING) is not None and self._instance is not None:
            self._context.directory.note_draining(self._instance.address)
        verdict = judge(ending)
        self._settle(verdict)
        if self._may_retry(verdict):
            self._context.loop.soon(self._retry)
            return False
        self._pass_on(head, verdict)
        return True

    def on_attempt_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if self._claim is not None:
            self._claim.on_body(data)
        if not self._sink.answer_body(data) and self._attempt is not None:
            self._attempt.pause()

    def on_attempt_complete(self) -> None:
        """End the answer."""
        self._context.counters.answered += 1
        if self._claim is not None and self._ran is Ran.ANSWERED:
            self._claim.settle_answered()
        self._close()
        self._sink.end_answer()

    def on_attempt_ended(self, ending: Ending) -> None:
        """Retry or answer after an attempt without a whole response."""
        verdict = judge(ending)
        self._settle(verdict)
        if isinstance(ending, BrokenResponse):
            self._context.counters.broken_after_head += 1
            self._close()
            self._sink.break_answer()
        elif self._may_retry(verdict):
            self._retry()
        else:
            self.refuse(verdict.status, f"attempt ended: {type(ending).__name__}")

    def _total_time(self, route: Route) -> Millis:
        total = float(route.policy.total_timeout_ms)
        text = self.head.header(TIME_LEFT)
        if text is not None and text.isdigit():
            total = min(total, float(text))
        return total

    def _ask_claim(self, claims: ClaimsComponent, route: Route, key: bytes) -> None:
        """Ask for the right to run a keyed request before it goes anywhere."""
        authorization = self.head.header(b"authorization") or b""
        request = KeyedRequest(
            row_key(route.service, authorization, key),
            f"{self._context.random.getrandbits(128):032x}",
            f"{self.head.method.decode()} {self.head.target.decode('latin-1')}",
        )
        claims.claim(
            request,
            self._deadline,
            route.policy.claims_outage == WAIT,
            lambda outcome: self._on_claim(claims, request, outcome),
        )

    def _on_claim(
        self, claims: ClaimsComponent, request: KeyedRequest, outcome: ClaimOutcome
    ) -> None:
        match outcome:
            case Granted(revision):
                self._claim = ClaimHandle(claims, request, revision)
                if self.is_over:
                    self._claim.settle_unanswered(Ran.NOT_RUN)
                else:
                    self._try()
            case _ if self.is_over:
                return
            case Replayed(record):
                self._replay(record)
            case Untold():
                self._ran = Ran.UNKNOWN
                self.refuse(409, "the key was used and its outcome is not known")
            case Mismatched():
                self.refuse(422, "the key belongs to another request")
            case Unavailable():
                self.refuse(503, "claims can't be recorded now")

    def _replay(self, record: Record) -> None:
        """Give the recorded answer of an earlier request with the same key."""
        body = record.body.encode("latin-1")
        headers = tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in record.headers
        )
        extra = (
            (b"content-length", b"%d" % len(body)),
            (REPLAYED, b"1"),
            (REQUEST_ID, self._request_id),
        )
        self._close()
        self._context.counters.count_status(record.status)
        head = ResponseHead(record.status, b"", headers, len(body))
        self._sink.start_answer(head, extra)
        self._sink.answer_body(body)
        self._sink.end_answer()

    def _try(self) -> None:
        route = self._route
        assert route is not None
        self._is_waiting = False
        if not self._pay_token(route):
            return
        directory = self._context.directory
        self._shares = directory.shares(route.policy)
        choice = directory.choose(
            route.service,
            self._tried,
            route.policy,
            self._shares,
            self._may_borrow(route),
        )
        match choice:
            case Chosen(instance, is_borrowed):
                self._is_borrowed = is_borrowed
                self._send_to(instance, route)
            case Busy(until):
                self._wait(route, until)
            case Nothing():
                self.refuse(503, "no backend server may take the request")

    def _pay_token(self, route: Route) -> bool:
        """Pay for another attempt after a shed; False where it has to wait."""
        context = self._context
        if not self._owes_token or context.shed_budget(route.service).spend():
            self._owes_token = False
            return True
        now = context.loop.clock.now()
        if now - self._shed_at > TOKEN_PATIENCE_MS:
            self.refuse(503, "every backend server is busy")
        else:
            self._wait(route, now + TOKEN_WAIT_MS)
        return False

    def _may_borrow(self, route: Route) -> bool:
        """Decide now and then whether to use a slot that another VM owns."""
        context = self._context
        now = context.loop.clock.now()
        if now < self._borrow_decided_at + BORROW_INTERVAL_MS:
            return False
        self._borrow_decided_at = now
        borrowing = context.directory.borrowing(route.service)
        return borrowing.is_worth_trying(context.random)

    def _send_to(self, instance: Instance, route: Route) -> None:
        context = self._context
        pool = context.directory.pool(instance)
        connection = pool.acquire(route.is_idempotent, self._shares)
        self._instance = instance
        context.counters.remote_zone += instance.zone != context.directory.zone
        self._tried |= {instance.address}
        attempt = Attempt(context.loop, pool, connection, self, route.policy)
        self._attempt = attempt
        self.body.rewind()
        attempt.start(
            encode_request(self.head, self._forwarded_headers()),
            self.body,
            self.head.length is None,
            self.head.method == b"HEAD",
        )

    def _forwarded_headers(self) -> tuple[Header, ...]:
        left = max(1.0, self._deadline - self._context.loop.clock.now())
        return (
            (REQUEST_ID, self._request_id),
            (TIME_LEFT, b"%d" % left),
            (ATTEMPT, b"%d" % len(self._tried)),
        )

    def _wait(self, route: Route, until: Millis) -> None:
        """Join the waiting line, or be refused early where it is full."""
        context = self._context
        line = context.line(route.service)
        if until > self._deadline:
            self.refuse(503, "every backend server is busy")
            return
        if not line.has_room(route.policy.queue_limit, route.policy.importance):
            self.refuse(503, "the waiting line is full")
            return
        context.counters.queued += 1
        self._is_waiting = True
        line.join(Waiter(self._try, self._is_still_waiting))
        wait = max(1.0, until - context.loop.clock.now())
        context.loop.after(wait, lambda: context.wake(route.service))

    def _is_still_waiting(self) -> bool:
        return self._is_waiting and not self.is_over

    def _may_retry(self, verdict: Verdict) -> bool:
        """Whether another attempt follows; takes its token from the budget."""
        route = self._route
        assert route is not None
        if self.is_over or len(self._tried) >= route.policy.max_attempts:
            return False
        if not is_permitted(verdict, route.is_idempotent):
            return False
        if not self.body.is_replayable:
            return False
        if not verdict.is_charged:
            return True
        if verdict.evidence is Evidence.SHED:
            # A shed costs the instance little: the request waits for a token.
            self._owes_token = True
            return self._sheds <= SHED_LIMIT
        return self._context.budget(route.service).spend()

    def _retry(self) -> None:
        if not self.is_over:
            self._context.counters.retried += 1
            self._try()

    def _settle(self, verdict: Verdict) -> None:
        """Record what an attempt proved of the request and the instance."""
        context, route, instance = self._context, self._route, self._instance
        assert route is not None and instance is not None
        self._ran = worse(self._ran, verdict.ran)
        pool = context.directory.pool(instance)
        if verdict.evidence is Evidence.SHED:
            self._on_shed(pool, route, instance)
        elif verdict.evidence is Evidence.SUCCESS:
            pool.on_answer(self._shares)
            if self._is_borrowed:
                context.directory.borrowing(route.service).on_answer()
        started = self._attempt.started if self._attempt is not None else 0.0
        context.observer.observe(
            route.service,
            instance.address,
            route.name,
            self.head.target,
            verdict.evidence,
            context.loop.clock.now() - started,
        )

    def _on_shed(self, pool: InstancePool, route: Route, instance: Instance) -> None:
        """Let the instance rest for a moment; it may be tried again after that."""
        context = self._context
        context.counters.shed += 1
        self._sheds += 1
        self._shed_at = context.loop.clock.now()
        self._tried -= {instance.address}
        pool.on_shed(self._is_borrowed, context.random)
        if self._is_borrowed:
            context.directory.borrowing(route.service).on_shed()

    def _pass_on(self, head: ResponseHead, verdict: Verdict) -> None:
        """Start the caller's answer with the head of the response."""
        extra: tuple[Header, ...] = ((REQUEST_ID, self._request_id),)
        if verdict.ran is not Ran.ANSWERED:
            self._count_refusal(self._ran)
            extra += ((RAN, self._ran.value.encode()),)
        self._context.counters.count_status(head.status)
        self.is_answer_started = True
        if self._claim is not None:
            self._claim.on_head(head)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._sink.start_answer(head, extra)

    def _count_refusal(self, ran: Ran) -> None:
        if ran is Ran.NOT_RUN:
            self._context.counters.refused_not_run += 1
        else:
            self._context.counters.ended_unknown += 1

    def _on_deadline(self) -> None:
        if self.is_over or self.is_answer_started:
            return
        if self._is_upload_going_on():
            self._size_at_deadline = self.body.size
            total = self._deadline_total
            self._deadline_timer = self._context.loop.after(total, self._on_deadline)
            return
        if self._attempt is not None and not self._attempt.is_over:
            self._attempt.abandon()
            self._ran = Ran.UNKNOWN
        status = 503 if self._ran is Ran.NOT_RUN else 504
        self.refuse(status, "the time for the request is over")

    def _is_upload_going_on(self) -> bool:
        """Whether the caller still sends a body, and has since the last look."""
        has_grown = self.body.size > self._size_at_deadline
        return has_grown and not self.body.is_complete

    def _close(self) -> None:
        self.is_over = True
        self._is_waiting = False
        # Without the cycle to the attempt both are freed by reference counts,
        # not by a collection that would hold other requests up.
        self._attempt = None
        if self._claim is not None:
            self._claim.settle_unanswered(self._ran)
            self._claim = None
        self._context.detached.discard(self)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
