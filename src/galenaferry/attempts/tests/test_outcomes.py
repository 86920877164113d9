"""Every row of the table of outcomes, and the retry budget."""

import pytest

from galenaferry.attempts.budget import RetryBudget
from galenaferry.attempts.messages import (
    Answered,
    BadResponse,
    BrokenResponse,
    BrokenSent,
    BrokenUnsent,
    CallerLeft,
    CertifiedNotRun,
    Evidence,
    NotConnected,
    Ran,
    ServerFault,
    TimedOut,
)
from galenaferry.attempts.outcomes import classify_status, is_permitted, judge, worse

ROWS = [
    # ending, known, idempotent again, non-idempotent again, status, evidence
    (NotConnected("ECONNREFUSED"), Ran.NOT_RUN, True, True, 503, Evidence.LINK),
    (BrokenUnsent("ECONNRESET"), Ran.NOT_RUN, True, True, 503, Evidence.LINK),
    (CertifiedNotRun(503), Ran.NOT_RUN, True, True, 503, Evidence.SHED),
    (
        BrokenSent("ECONNRESET", True),
        Ran.UNKNOWN,
        True,
        False,
        502,
        Evidence.CONNECTION,
    ),
    (BrokenSent("", False), Ran.UNKNOWN, True, False, 502, Evidence.FAILURE),
    (TimedOut(True), Ran.UNKNOWN, True, False, 504, Evidence.CONNECTION),
    (TimedOut(False), Ran.UNKNOWN, True, False, 504, Evidence.FAILURE),
    (BadResponse("x"), Ran.UNKNOWN, True, False, 502, Evidence.FAILURE),
    (BrokenResponse("cut"), Ran.UNKNOWN, False, False, 0, Evidence.FAILURE),
    (ServerFault(500), Ran.UNKNOWN, True, False, 0, Evidence.FAILURE),
    (Answered(200), Ran.ANSWERED, False, False, 0, Evidence.SUCCESS),
    (CallerLeft(), Ran.UNKNOWN, False, False, 0, Evidence.NONE),
]


@pytest.mark.parametrize(
    ("ending", "ran", "idempotent", "other", "status", "evidence"), ROWS
)
def test_row(ending, ran, idempotent, other, status, evidence):
    verdict = judge(ending)
    assert verdict.ran is ran
    assert is_permitted(verdict, True) is idempotent
    assert is_permitted(verdict, False) is other
    assert verdict.status == status
    assert verdict.evidence is evidence


def test_an_unknown_attempt_stays_unknown_whatever_follows():
    assert worse(Ran.UNKNOWN, Ran.NOT_RUN) is Ran.UNKNOWN
    assert worse(Ran.NOT_RUN, Ran.UNKNOWN) is Ran.UNKNOWN


@pytest.mark.parametrize(
    ("status", "is_certified", "ending"),
    [
        (503, True, CertifiedNotRun(503)),
        (503, False, ServerFault(503)),
        (200, True, Answered(200)),
        (500, True, ServerFault(500)),
        (404, False, Answered(404)),
        (501, False, Answered(501)),
    ],
)
def test_only_a_503_can_certify(status, is_certified, ending):
    assert classify_status(status, is_certified) == ending


def test_the_budget_bounds_the_load_when_everything_fails():
    budget = RetryBudget()
    offered = 0
    for _ in range(10_000):
        budget.earn(10)
        offered += 1
        while budget.spend():
            offered += 1
    assert offered <= 1.1 * 10_000
