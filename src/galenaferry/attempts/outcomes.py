"""Mapping from the outcome of an attempt to its evaluation."""

from typing import Final, assert_never

from .messages import (
    Answered,
    AttemptOutcome,
    BadResponse,
    BrokenHeld,
    BrokenResponse,
    BrokenSent,
    BrokenUnsent,
    CallerLeft,
    CertifiedNotRun,
    Evidence,
    Execution,
    Misdirected,
    NotConnected,
    OutcomeEvaluation,
    Overtaken,
    Relayed,
    RelayFailed,
    RelayRefused,
    Retry,
    ServerFault,
    TimedOut,
)

MISDIRECTED_STATUS: Final = 421
"""Status with which an instance rejects a request meant for another instance."""
CERTIFIABLE_STATUSES: Final = frozenset((400, 429, 503))
"""Statuses with which a backend server can state that it executed nothing."""

SEVERITY_BY_EXECUTION: Final = {
    Execution.NOT_RUN: 0,
    Execution.ANSWERED: 1,
    Execution.UNKNOWN: 2,
}
"""``merge_execution`` keeps the value with the higher number."""


def evaluate_outcome(outcome: AttemptOutcome) -> OutcomeEvaluation:
    """Return what an outcome proves about the request and whether it may be retried.

    Only two things prove that a request was not executed: no byte of it was sent,
    or the backend server stated it.
    """
    match outcome:
        case NotConnected() | BrokenUnsent():
            return OutcomeEvaluation(
                Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, False
            )
        case CertifiedNotRun():
            return OutcomeEvaluation(
                Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.SHED, True
            )
        case Misdirected():
            return OutcomeEvaluation(
                Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, True
            )
        case RelayRefused():
            # The VM itself works; it has no route or instance for this request.
            return OutcomeEvaluation(
                Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.REFUSED, False
            )
        case RelayFailed():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.REFUSED, True
            )
        case Relayed(is_answered=is_answered):
            execution = Execution.ANSWERED if is_answered else Execution.UNKNOWN
            return OutcomeEvaluation(execution, Retry.NEVER, 0, Evidence.SUCCESS, False)
        case BrokenSent(is_reused=True):
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.CONNECTION, True
            )
        case BrokenSent():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case TimedOut(is_reused=True):
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.CONNECTION, True
            )
        case TimedOut():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.FAILURE, True
            )
        case BadResponse():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case BrokenHeld():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case BrokenResponse():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.NEVER, 0, Evidence.FAILURE, False
            )
        case ServerFault():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 0, Evidence.FAILURE, True
            )
        case Answered():
            return OutcomeEvaluation(
                Execution.ANSWERED, Retry.NEVER, 0, Evidence.SUCCESS, False
            )
        case Overtaken(is_sent):
            execution = Execution.UNKNOWN if is_sent else Execution.NOT_RUN
            return OutcomeEvaluation(execution, Retry.NEVER, 0, Evidence.NONE, False)
        case CallerLeft():
            return OutcomeEvaluation(
                Execution.UNKNOWN, Retry.NEVER, 0, Evidence.NONE, False
            )
    assert_never(outcome)


def classify_status(status: int, is_certified: bool) -> AttemptOutcome:
    """Return the outcome for the status of a response.

    ``is_certified`` is True if the backend server stated that it did not execute
    the request.
    """
    if is_certified and status == MISDIRECTED_STATUS:
        return Misdirected()
    if is_certified and status in CERTIFIABLE_STATUSES:
        return CertifiedNotRun(status)
    if status in (500, 502, 503, 504):
        return ServerFault(status)
    return Answered(status)


def is_timeout(outcome: AttemptOutcome) -> bool:
    """Whether an attempt ended because its time ran out, here or at the server."""
    match outcome:
        case TimedOut() | ServerFault(status=504):
            return True
        case _:
            return False


def merge_execution(first: Execution, second: Execution) -> Execution:
    """Combine what two attempts prove about the execution of one request."""
    return (
        first
        if SEVERITY_BY_EXECUTION[first] >= SEVERITY_BY_EXECUTION[second]
        else second
    )


def is_retry_permitted(evaluation: OutcomeEvaluation, is_idempotent: bool) -> bool:
    """Whether a retry is allowed, not counting the retry budget."""
    match evaluation.retry:
        case Retry.ALWAYS:
            return True
        case Retry.IDEMPOTENT:
            return is_idempotent
        case Retry.NEVER:
            return False
