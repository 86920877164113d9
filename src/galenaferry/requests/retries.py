"""Decision whether a request may be attempted again."""

from ..attempts.messages import Evidence, OutcomeEvaluation
from ..attempts.outcomes import is_retry_permitted
from ..routing.table import Route
from .admission import Admission
from .body import RequestBody
from .context import RequestContext


def record_request(context: RequestContext, route: Route) -> None:
    """Count a request of a caller, which adds to the budgets for retries."""
    policy = route.policy
    budgets = context.budgets
    budgets.retry(route.service).record_request(policy.retry_budget_percent)
    budgets.shed(route.service).record_request(policy.shed_retry_percent)
    if context.second_attempts is not None:
        context.second_attempts.record_request(route.service)


def acquire_retry(
    context: RequestContext,
    route: Route,
    body: RequestBody,
    admission: Admission,
    attempts: int,
    evaluation: OutcomeEvaluation,
) -> bool:
    """Whether another attempt may follow; spends a token of the retry budget for it.

    Parameters
    ----------
    context : RequestContext
    route : Route
    body : RequestBody
    admission : Admission
    attempts : int
        Number of attempts that count toward the limit of the route.
    evaluation : OutcomeEvaluation
        What follows from the outcome of the last attempt.
    """
    if attempts >= route.policy.max_attempts or not body.is_replayable:
        return False
    if not is_retry_permitted(evaluation, route.is_idempotent):
        return False
    if not evaluation.is_charged:
        return True
    if evaluation.evidence is Evidence.SHED:
        # A shed costs the instance little, so the request may wait for a token of the
        # shed budget (see ``Admission.acquire_permit``).
        return admission.may_retry
    return context.budgets.retry(route.service).try_spend()
