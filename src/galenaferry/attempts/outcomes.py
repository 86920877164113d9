"""The table of outcomes: what each end of an attempt proves and permits."""

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
    Retry,
    ServerFault,
    TimedOut,
    Verdict,
)

MISDIRECTED_STATUS: Final = 421
CERTIFIABLE_STATUSES: Final = frozenset((400, 429, 503))
"""Statuses with which a backend server can state that it ran nothing."""

SEVERITY_BY_EXECUTION: Final = {
    Execution.NOT_RUN: 0,
    Execution.ANSWERED: 1,
    Execution.UNKNOWN: 2,
}


def evaluate_outcome(outcome: AttemptOutcome) -> Verdict:
    """Return what is known and permitted after ``outcome``.

    Only two things prove that a request was not run: no byte of it could have
    left, or the backend server certified it. ``is_charged`` tells whether a
    further attempt counts against the retry budget.
    """
    match outcome:
        case NotConnected() | BrokenUnsent():
            return Verdict(Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, False)
        case CertifiedNotRun():
            return Verdict(Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.SHED, True)
        case Misdirected():
            return Verdict(Execution.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, True)
        case BrokenSent(is_reused=True):
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.CONNECTION, True
            )
        case BrokenSent():
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case TimedOut(is_reused=True):
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.CONNECTION, True
            )
        case TimedOut():
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.FAILURE, True
            )
        case BadResponse():
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case BrokenHeld():
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True
            )
        case BrokenResponse():
            return Verdict(Execution.UNKNOWN, Retry.NEVER, 0, Evidence.FAILURE, False)
        case ServerFault():
            return Verdict(
                Execution.UNKNOWN, Retry.IDEMPOTENT, 0, Evidence.FAILURE, True
            )
        case Answered():
            return Verdict(Execution.ANSWERED, Retry.NEVER, 0, Evidence.SUCCESS, False)
        case CallerLeft():
            return Verdict(Execution.UNKNOWN, Retry.NEVER, 0, Evidence.NONE, False)
    assert_never(outcome)


def classify_status(status: int, is_certified: bool) -> AttemptOutcome:
    """Return the outcome that the status of a whole response stands for."""
    if is_certified and status == MISDIRECTED_STATUS:
        return Misdirected()
    if is_certified and status in CERTIFIABLE_STATUSES:
        return CertifiedNotRun(status)
    if status in (500, 502, 503, 504):
        return ServerFault(status)
    return Answered(status)


def is_timeout(outcome: AttemptOutcome) -> bool:
    """Whether an attempt ended because the time that it was given was over."""
    match outcome:
        case TimedOut() | ServerFault(status=504):
            return True
        case _:
            return False


def merge_execution(first: Execution, second: Execution) -> Execution:
    """Return what is known of a request after two attempts."""
    return (
        first
        if SEVERITY_BY_EXECUTION[first] >= SEVERITY_BY_EXECUTION[second]
        else second
    )


def is_retry_permitted(verdict: Verdict, is_idempotent: bool) -> bool:
    """Whether another attempt may follow, the budget aside."""
    match verdict.retry:
        case Retry.ALWAYS:
            return True
        case Retry.IDEMPOTENT:
            return is_idempotent
        case Retry.NEVER:
            return False
