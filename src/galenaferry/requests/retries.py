"""Whether another attempt of a request may follow."""

from ..attempts.messages import Evidence, Verdict
from ..attempts.outcomes import is_retry_permitted
from ..routing.table import Route
from .admission import Admission
from .body import RequestBody
from .context import RequestContext


def acquire_retry(
    context: RequestContext,
    route: Route,
    body: RequestBody,
    admission: Admission,
    attempts: int,
    verdict: Verdict,
) -> bool:
    """Whether another attempt follows; takes its token from the budget.

    Parameters
    ----------
    context : RequestContext
    route : Route
    body : RequestBody
    admission : Admission
    attempts : int
        Number of instances that the request was sent to.
    verdict : Verdict
        What the last attempt proved.
    """
    if attempts >= route.policy.max_attempts or not body.is_replayable:
        return False
    if not is_retry_permitted(verdict, route.is_idempotent):
        return False
    if not verdict.is_charged:
        return True
    if verdict.evidence is Evidence.SHED:
        # A shed costs the instance little: the request waits for a token.
        return admission.may_retry
    return context.budgets.retry(route.service).try_spend()
