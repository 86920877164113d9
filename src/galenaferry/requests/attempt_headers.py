"""Headers that an attempt adds to those of the caller."""

from ..backends.messages import Instance
from ..clock import Millis
from ..framing.messages import Header, RequestHead
from ..relay.origin import Origin
from .access import AccessCheck
from .context import RequestContext


def added_headers(
    context: RequestContext,
    head: RequestHead,
    origin: Origin,
    id_header: Header,
    instance: Instance,
    remaining: Millis,
    attempts: int,
    access: AccessCheck,
) -> tuple[Header, ...]:
    """Return the headers for an attempt at an instance or by way of a relay VM.

    Parameters
    ----------
    context : RequestContext
    head : RequestHead
        Head of the caller's request.
    origin : Origin
    id_header : Header
    instance : Instance
    remaining : float
        Time until the deadline of the request, in milliseconds.
    attempts : int
        Number of the attempt, from 1.
    access : AccessCheck
    """
    names = context.settings.names
    if context.shutdown is not None:
        remaining = context.shutdown.limit_time(remaining)
    added = [id_header, (names.time_left, b"%d" % remaining), *access.headers()]
    if instance.is_relay:
        assert context.relay_authentication is not None
        _, request_id = id_header
        leaving_keys = context.directory.unusable_leaving_keys(instance.service)
        origin = origin._replace(leaving_keys=leaving_keys)
        added.append(context.relay_authentication.header(head, request_id, origin))
        added += access.relay_headers(context.relay_authentication, request_id)
        return tuple(added)
    if names.attempt:
        added.append((names.attempt, b"%d" % attempts))
    if names.expected_instance:
        added.append((names.expected_instance, instance.id.encode()))
    return tuple(added)
