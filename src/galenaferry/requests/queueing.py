"""Joining the waiting line of a service."""

from ..clock import Millis
from ..routing.table import Route
from .context import RequestContext
from .wait_queue import Waiter


def join_wait_queue(
    context: RequestContext,
    route: Route,
    waiter: Waiter,
    wake_at: Millis,
    deadline: Millis,
) -> str:
    """Let a request wait, or return why it can't.

    Parameters
    ----------
    context : RequestContext
    route : Route
    waiter : Waiter
    wake_at : float
        Time at which the line is woken at the latest, in milliseconds.
    deadline : float
        Time at which the request is over.
    """
    queue = context.wait_queue(route.service)
    if wake_at > deadline:
        return "every backend server is busy"
    if not queue.has_room(route.policy.queue_limit, route.policy.importance):
        return "the waiting line is full"
    context.counters.queued += 1
    queue.add(waiter)
    wait = max(1.0, wake_at - context.loop.clock.now())
    context.loop.after(wait, lambda: context.wake(route.service))
    return ""
