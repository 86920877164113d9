"""Outcomes of attempts and their effects on the instance, its pool and slots."""

from typing import NamedTuple

from ..attempts.messages import AttemptOutcome, BadResponse, Evidence, OutcomeEvaluation
from ..attempts.outcomes import is_timeout
from ..backends.messages import CapacityShare, Instance
from ..clock import Millis
from ..framing.messages import ResponseHead
from ..routing.table import Route
from .admission import Admission
from .announcements import record_announcements
from .context import RequestContext
from .interface import judge_response
from .running_attempt import RunningAttempt


class SentAttempt(NamedTuple):
    """An attempt that was made.

    ``waits_since`` is the monotonic time in milliseconds from which the instance had
    the whole request, or from which the attempt was made if it never had.
    ``ended_at`` is the one at which its outcome was known.
    """

    route: Route
    instance: Instance
    share: CapacityShare
    target: bytes
    waits_since: Millis
    ended_at: Millis


def judge_head(
    context: RequestContext, running: RunningAttempt, head: ResponseHead
) -> AttemptOutcome:
    """Return the outcome that a response head stands for, judged once.

    A response that can't be the answer ends the attempt.
    """
    settings, attempt, instance = context.settings, running.attempt, running.instance
    assert attempt is not None
    if running.judged is not None:
        return running.judged
    outcome = judge_response(settings, head, instance.is_relay, attempt.is_reused)
    running.judged = outcome
    running.head_at = context.loop.clock.now()
    if isinstance(outcome, BadResponse):
        attempt.abandon()
    record_announcements(
        context.directory,
        settings.names,
        instance,
        head,
        outcome,
        attempt.started_at,
    )
    return outcome


def record_attempt_outcome(
    context: RequestContext,
    sent: SentAttempt,
    admission: Admission,
    outcome: AttemptOutcome,
    evaluation: OutcomeEvaluation,
) -> None:
    """Record what the outcome of an attempt shows about its instance."""
    pool = context.directory.pool(sent.instance)
    borrowing = context.directory.borrowing_policy(sent.route.service)
    now = sent.ended_at
    evidence = evaluation.evidence
    has_little_time = now - sent.waits_since < sent.route.target_latency
    if is_timeout(outcome) and (has_little_time or context.shutdown is not None):
        # The instance had less time than the target latency of the route, or than the
        # request needs, so that the timeout is no evidence against it.
        evidence = Evidence.NONE
    if evidence is Evidence.SHED:
        context.counters.shed += 1
        admission.on_shed(now)
        pool.on_shed(admission.is_borrowed, context.random)
        if admission.is_borrowed:
            borrowing.on_shed()
    elif evidence is Evidence.SUCCESS:
        pool.on_success(sent.share)
        if admission.is_borrowed:
            borrowing.on_success()
    elif evidence is Evidence.CONNECTION:
        # Whatever silently dropped one connection may have dropped the idle ones too.
        pool.close_all_idle()
    context.observer.observe(
        sent.route.service,
        sent.instance.address,
        sent.route.name,
        sent.target,
        evidence,
        now - sent.waits_since,
    )
