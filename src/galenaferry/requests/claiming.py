"""Claims the idempotency key of an exchange before its request is sent anywhere."""

from typing import Protocol

from ..attempts.messages import Execution
from ..claims.component import ClaimsComponent
from ..claims.handle import ClaimHandle
from ..claims.messages import ClaimOutcome, Granted, KeyedRequest, Replayed
from ..clock import Millis
from .idempotency import refusal_for


class ClaimOwner(Protocol):
    """Callbacks from a claim to its exchange.

    ``is_over`` says whether the exchange has ended, so that only a granted claim, which
    must be settled, still matters.
    """

    is_over: bool

    def on_claim_granted(self, claim: ClaimHandle) -> None:
        """Send the request."""

    def on_claim_replayed(self, outcome: Replayed) -> None:
        """Answer with the recorded answer to an earlier request with the key."""

    def on_claim_refused(self, status: int, reason: str, ran: Execution) -> None:
        """Refuse the request."""


def claim_key(
    claims: ClaimsComponent,
    request: KeyedRequest,
    deadline: Millis,
    may_wait: bool,
    owner: ClaimOwner,
) -> None:
    """Claim the key of a request and tell the owner the outcome.

    Parameters
    ----------
    claims : ClaimsComponent
    request : KeyedRequest
    deadline : float
        Deadline of the request in monotonic milliseconds.
    may_wait : bool
        Whether the request waits during an outage of the store.
    owner : ClaimOwner
    """

    def finish(outcome: ClaimOutcome) -> None:
        if isinstance(outcome, Granted):
            claim = ClaimHandle(claims, request, outcome.revision)
            if owner.is_over:
                claim.settle_unanswered(Execution.NOT_RUN)
            else:
                owner.on_claim_granted(claim)
            return
        if owner.is_over:
            return
        if isinstance(outcome, Replayed):
            owner.on_claim_replayed(outcome)
            return
        refusal = refusal_for(outcome)
        assert refusal is not None
        owner.on_claim_refused(refusal.status, refusal.reason, refusal.ran)

    claims.claim(request, deadline, may_wait, finish)
