"""The table of outcomes: what each end of an attempt proves and permits."""

from typing import Final, assert_never

from .messages import (
    Answered,
    BadResponse,
    BrokenHeld,
    BrokenResponse,
    BrokenSent,
    BrokenUnsent,
    CallerLeft,
    CertifiedNotRun,
    Ending,
    Evidence,
    Misdirected,
    NotConnected,
    Ran,
    Retry,
    ServerFault,
    TimedOut,
    Verdict,
)

MISDIRECTED: Final = 421
CERTIFIABLE: Final = frozenset((400, 429, 503))
"""Statuses with which a backend server can state that it ran nothing."""

SEVERITY: Final = {Ran.NOT_RUN: 0, Ran.ANSWERED: 1, Ran.UNKNOWN: 2}


def judge(ending: Ending) -> Verdict:
    """Return what is known and permitted after ``ending``.

    Only two things prove that a request was not run: no byte of it could have
    left, or the backend server certified it. ``is_charged`` tells whether a
    further attempt counts against the retry budget.
    """
    match ending:
        case NotConnected() | BrokenUnsent():
            return Verdict(Ran.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, False)
        case CertifiedNotRun():
            return Verdict(Ran.NOT_RUN, Retry.ALWAYS, 503, Evidence.SHED, True)
        case Misdirected():
            return Verdict(Ran.NOT_RUN, Retry.ALWAYS, 503, Evidence.LINK, True)
        case BrokenSent(is_reused=True):
            return Verdict(
                Ran.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.CONNECTION, True
            )
        case BrokenSent():
            return Verdict(Ran.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True)
        case TimedOut(is_reused=True):
            return Verdict(
                Ran.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.CONNECTION, True
            )
        case TimedOut():
            return Verdict(Ran.UNKNOWN, Retry.IDEMPOTENT, 504, Evidence.FAILURE, True)
        case BadResponse():
            return Verdict(Ran.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True)
        case BrokenHeld():
            return Verdict(Ran.UNKNOWN, Retry.IDEMPOTENT, 502, Evidence.FAILURE, True)
        case BrokenResponse():
            return Verdict(Ran.UNKNOWN, Retry.NEVER, 0, Evidence.FAILURE, False)
        case ServerFault():
            return Verdict(Ran.UNKNOWN, Retry.IDEMPOTENT, 0, Evidence.FAILURE, True)
        case Answered():
            return Verdict(Ran.ANSWERED, Retry.NEVER, 0, Evidence.SUCCESS, False)
        case CallerLeft():
            return Verdict(Ran.UNKNOWN, Retry.NEVER, 0, Evidence.NONE, False)
    assert_never(ending)


def classify_status(status: int, is_certified: bool) -> Ending:
    """Return the ending that the status of a whole response stands for."""
    if is_certified and status == MISDIRECTED:
        return Misdirected()
    if is_certified and status in CERTIFIABLE:
        return CertifiedNotRun(status)
    if status in (500, 502, 503, 504):
        return ServerFault(status)
    return Answered(status)


def is_out_of_time(ending: Ending) -> bool:
    """Whether an attempt ended because the time that it was given was over."""
    match ending:
        case TimedOut() | ServerFault(status=504):
            return True
        case _:
            return False


def worse(first: Ran, second: Ran) -> Ran:
    """Return what is known of a request after two attempts."""
    return first if SEVERITY[first] >= SEVERITY[second] else second


def is_permitted(verdict: Verdict, is_idempotent: bool) -> bool:
    """Whether another attempt may follow, the budget aside."""
    match verdict.retry:
        case Retry.ALWAYS:
            return True
        case Retry.IDEMPOTENT:
            return is_idempotent
        case Retry.NEVER:
            return False
