"""How requests and answers are written down, towards callers and instances.

The names of headers differ between deployments; what they mean does not.
"""

from typing import Final, NamedTuple

from ..attempts.outcomes import MISDIRECTED_STATUS
from ..clock import Millis
from ..framing.messages import Header, ResponseHead
from .messages import (
    ATTEMPT_HEADER,
    DRAINING_HEADER,
    RAN_HEADER,
    REQUEST_ID_HEADER,
    TIME_LEFT_HEADER,
)

DEFAULT_CERTIFYING_STATUSES: Final = frozenset((503,))


class HeaderNames(NamedTuple):
    """Names of headers in lower case; an empty name means that it is not used.

    ``not_run`` and its value certify that an instance did not run a request; an
    empty value stands for any. ``signature`` marks each answer of an instance, and
    ``expected_instance`` lets an instance refuse what was meant for another one.
    """

    request_id: bytes = REQUEST_ID_HEADER
    time_left: bytes = TIME_LEFT_HEADER
    attempt: bytes = ATTEMPT_HEADER
    draining: bytes = DRAINING_HEADER
    not_run: Header = (RAN_HEADER, b"not-run")
    signature: bytes = b""
    expected_instance: bytes = b""


class RequestSettings(NamedTuple):
    """How this VM treats requests; times in milliseconds, sizes in bytes.

    ``buffer_limit_bytes`` is the longest answer that is received whole before the
    caller sees any of it, so that a cut one can be tried elsewhere.
    ``is_half_close_disconnect`` tells that the end of a caller's sending means that it
    has left.
    ``shed_retry_timeout`` is how long a request waits for another attempt after a shed,
    and ``is_shed_counted_as_attempt`` whether a shed takes one of the attempts.
    ``is_503_only_for_not_run`` tells that callers take every 503 as a promise that the
    request was not run, whatever other headers say.
    ``is_deadline_extended_by_uploads`` lets a body that still comes extend the total
    time.
    """

    names: HeaderNames = HeaderNames()
    buffer_limit_bytes: int = 0
    is_half_close_disconnect: bool = False
    shed_retry_timeout: Millis = 1000.0
    is_shed_counted_as_attempt: bool = False
    is_deadline_extended_by_uploads: bool = True
    is_503_only_for_not_run: bool = False
    certifying_statuses: frozenset[int] | None = DEFAULT_CERTIFYING_STATUSES


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


def find_response_error(names: HeaderNames, head: ResponseHead) -> str:
    """Return why a response can't be an instance's answer, empty if it can."""
    if not names.signature or head.status >= 300:
        return ""
    if head.header(names.signature) is None:
        return "a success without a signature"
    if head.header(b"content-encoding") is not None:
        return "an encoding that nobody asked for"
    return ""
