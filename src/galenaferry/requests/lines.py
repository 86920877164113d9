"""Joining the waiting line of a service."""

from ..clock import Millis
from ..routing.table import Route
from .context import RequestContext
from .waiting import Waiter


def wait_in_line(
    context: RequestContext,
    route: Route,
    waiter: Waiter,
    until: Millis,
    deadline: Millis,
) -> str:
    """Let a request wait, or return why it can't.

    Parameters
    ----------
    context : RequestContext
    route : Route
    waiter : Waiter
    until : float
        Time at which the line is woken at the latest, in milliseconds.
    deadline : float
        Time at which the request is over.
    """
    line = context.line(route.service)
    if until > deadline:
        return "every backend server is busy"
    if not line.has_room(route.policy.queue_limit, route.policy.importance):
        return "the waiting line is full"
    context.counters.queued += 1
    line.join(waiter)
    wait = max(1.0, until - context.loop.clock.now())
    context.loop.after(wait, lambda: context.wake(route.service))
    return ""
