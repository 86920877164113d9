"""Connects an exchange to the check of requests that crash instances."""

from ..attempts.messages import Answered, AttemptOutcome, Overtaken, TimedOut
from ..backends.messages import Instance
from ..crashes.gate import CheckedBody, RequestGate
from ..framing.messages import RequestHead
from ..relay.origin import Origin
from .body import RequestBody
from .context import RequestContext
from .sinks import AnswerSink
from .summary import LOST_WHILE_RUNNING


def open_gate(
    context: RequestContext,
    sink: AnswerSink,
    origin: Origin,
    head: RequestHead,
    body: RequestBody,
) -> RequestGate:
    """Return the gate of a request.

    Without a guard in the context the gate lets everything through.
    """

    def request_body() -> None:
        if head.expects_continue and not body.size:
            sink.send_continue()

    checked_body = CheckedBody(lambda: body.is_digest_final, body.digest, request_body)
    clock = context.loop.clock
    return RequestGate(context.crash_guard, clock, origin, head, checked_body)


def tell_gate(gate: RequestGate, instance: Instance, outcome: AttemptOutcome) -> None:
    """Tell the gate what the outcome of an attempt shows of its request."""
    if isinstance(outcome, LOST_WHILE_RUNNING):
        gate.on_connection_lost(instance)
    elif isinstance(outcome, Answered):
        gate.on_answered(instance)
    elif isinstance(outcome, TimedOut) or outcome == Overtaken(is_sent=True):
        gate.on_abandoned(instance)
