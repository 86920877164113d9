"""How requests and answers are written down, towards callers and instances.

The names of headers differ between deployments; what they mean does not.
"""

from typing import Final, NamedTuple

from ..attempts.outcomes import MISDIRECTED_STATUS
from ..clock import Millis
from ..framing.messages import Header, ResponseHead
from .messages import ATTEMPT, DRAINING, RAN, REQUEST_ID, TIME_LEFT

OWN_SHED_STATUSES: Final = frozenset((503,))


class HeaderNames(NamedTuple):
    """Names of headers in lower case; an empty name means that it is not used.

    ``not_run`` and its value certify that an instance did not run a request; an
    empty value stands for any. ``signature`` marks each answer of an instance, and
    ``expected_instance`` lets an instance refuse what was meant for another one.
    """

    request_id: bytes = REQUEST_ID
    time_left: bytes = TIME_LEFT
    attempt: bytes = ATTEMPT
    draining: bytes = DRAINING
    not_run: Header = (RAN, b"not-run")
    signature: bytes = b""
    expected_instance: bytes = b""


class RequestSettings(NamedTuple):
    """How this VM treats requests; times in milliseconds, sizes in bytes.

    ``held_bytes`` is the longest answer that is received whole before the caller
    sees any of it, so that a cut one can be tried elsewhere. ``leaves_by_half_close``
    tells that the end of a caller's sending means that it has left.
    ``shed_patience`` is how long a request waits for another attempt after a shed,
    and ``do_sheds_count`` whether a shed takes one of the attempts.
    ``do_refusals_promise`` tells that callers take every 503 as a promise that the
    request was not run, whatever other headers say. ``do_uploads_extend`` lets a
    body that still comes extend the total time.
    """

    names: HeaderNames = HeaderNames()
    held_bytes: int = 0
    leaves_by_half_close: bool = False
    shed_patience: Millis = 1000.0
    do_sheds_count: bool = False
    do_uploads_extend: bool = True
    do_refusals_promise: bool = False
    certifying_statuses: frozenset[int] | None = OWN_SHED_STATUSES


def is_certified_not_run(settings: RequestSettings, head: ResponseHead) -> bool:
    """Whether an instance states that it did not run the request."""
    names = settings.names
    if head.status == MISDIRECTED_STATUS and names.expected_instance:
        return True
    statuses = settings.certifying_statuses
    if statuses is not None and head.status not in statuses:
        return False
    name, value = names.not_run
    given = head.header(name)
    return given is not None and (not value or given == value)


def find_fault(names: HeaderNames, head: ResponseHead) -> str:
    """Return why a response can't be an instance's answer, empty if it can."""
    if not names.signature or head.status >= 300:
        return ""
    if head.header(names.signature) is None:
        return "a success without a signature"
    if head.header(b"content-encoding") is not None:
        return "an encoding that nobody asked for"
    return ""
