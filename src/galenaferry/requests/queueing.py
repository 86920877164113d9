"""Admission of requests to the wait queue of a service."""

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
    """Put a request into the wait queue; return why it can't wait, empty if it does.

    Parameters
    ----------
    context : RequestContext
    route : Route
    waiter : Waiter
    wake_at : float
        Monotonic time in milliseconds at which the queue is woken at the latest.
    deadline : float
        Deadline of the request in monotonic milliseconds.
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
