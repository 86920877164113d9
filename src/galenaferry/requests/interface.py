"""Header names and settings towards callers and instances.

Deployments use different header names for the same meaning.
"""

from typing import Final, NamedTuple

from ..attempts.messages import (
    AttemptOutcome,
    BadResponse,
    CertifiedNotRun,
    Execution,
    Misdirected,
    Relayed,
    RelayFailed,
    RelayRefused,
)
from ..attempts.outcomes import MISDIRECTED_STATUS, classify_status
from ..clock import Millis
from ..framing.messages import Header, ResponseHead
from ..relay.answers import INSTANCE_HEADER
from ..relay.rejections import FIRST_FAULT_STATUS, FIRST_REJECTION_STATUS
from .messages import (
    ATTEMPT_HEADER,
    DRAINING_HEADER,
    RAN_HEADER,
    REQUEST_ID_HEADER,
    TIME_LEFT_HEADER,
)

RELAY_REFUSAL_STATUS: Final = 503
"""Status of a relay VM's refusal also if it names an instance."""
DEFAULT_CERTIFYING_STATUSES: Final = frozenset((503,))
"""Statuses with which an instance can certify that it did not execute a request."""


class HeaderNames(NamedTuple):
    """Names of headers in lower case; a header with an empty name is not used.

    ``time_left`` states in milliseconds how long the sender still waits, ``attempt``
    numbers the attempts of a request, and ``draining`` marks the responses of an
    instance that shuts down. The ``not_run`` header certifies that an instance did not
    execute a request, if it has the given value; an empty value stands for any.
    ``request_limit`` states how many requests per second an instance takes from the
    fleet. ``signature`` marks each response of an instance, and ``expected_instance``
    lets an instance reject a request that was meant for another one. ``key`` holds the
    key of a caller's workspace, and ``workspace`` tells an instance the name of it.
    """

    request_id: bytes = REQUEST_ID_HEADER
    time_left: bytes = TIME_LEFT_HEADER
    attempt: bytes = ATTEMPT_HEADER
    draining: bytes = DRAINING_HEADER
    request_limit: bytes = b""
    not_run: Header = (RAN_HEADER, b"not-run")
    signature: bytes = b""
    expected_instance: bytes = b""
    key: bytes = b""
    workspace: bytes = b""


class RequestSettings(NamedTuple):
    """Settings of the request path; times in milliseconds, sizes in bytes.

    Attributes
    ----------
    names : HeaderNames
    buffer_limit_bytes : int
        Largest body of a response that is received completely before the caller gets
        any of it, so that a truncated response can be retried elsewhere.
    is_half_close_disconnect : bool
        Whether a caller that shuts down its sending direction counts as disconnected.
    shed_retry_timeout : float
        Time after a shed for which a request waits for a token for its next attempt.
    is_shed_counted_as_attempt : bool
        Whether a shed counts toward the limit of attempts. If it does and no retry
        follows, the caller gets a refusal instead of the response that certifies that
        the request was not executed.
    is_deadline_extended_by_uploads : bool
        Whether a body that is still arriving extends the deadline.
    is_503_only_for_not_run : bool
        Whether status 503 is kept for requests that were not executed, and replaced by
        502 for others, because callers take every 503 as proof that the request was
        not executed, whatever other headers say.
    is_request_id_echoed : bool
        Whether instances repeat the id of the request in each response. A response
        without it on a reused connection may then belong to an earlier request.
    are_bodies_held : bool
        Whether no instance is chosen before a body is complete, as far as it fits
        ``body_hold.HOLD_LIMIT_BYTES``; bodies of uploads are held in any case.
    certifying_statuses : frozenset of int or None
        Statuses with which an instance can certify that it did not execute a request,
        None for every status that ``attempts.outcomes.classify_status`` accepts.
    """

    names: HeaderNames = HeaderNames()
    buffer_limit_bytes: int = 0
    is_half_close_disconnect: bool = False
    shed_retry_timeout: Millis = 1000.0
    is_shed_counted_as_attempt: bool = False
    is_deadline_extended_by_uploads: bool = True
    is_503_only_for_not_run: bool = False
    is_request_id_echoed: bool = False
    are_bodies_held: bool = False
    certifying_statuses: frozenset[int] | None = DEFAULT_CERTIFYING_STATUSES


def is_certified_not_run(settings: RequestSettings, head: ResponseHead) -> bool:
    """Whether a response certifies that the request was not executed."""
    names = settings.names
    if head.status == MISDIRECTED_STATUS and names.expected_instance:
        return True
    statuses = settings.certifying_statuses
    if statuses is not None and head.status not in statuses:
        return False
    name, value = names.not_run
    given = head.header(name)
    return given is not None and (not value or given == value)


def judge_response(
    settings: RequestSettings, head: ResponseHead, is_relay: bool, is_reused: bool
) -> AttemptOutcome:
    """Return the outcome that a response stands for, or why it can't be the answer.

    ``is_relay`` says that it came by way of another VM of the fleet, ``is_reused`` that
    the connection was used before.
    """
    error = find_response_error(settings, head, is_reused)
    return BadResponse(error) if error else classify_response(settings, head, is_relay)


def find_refusal_reason(settings: RequestSettings, outcome: AttemptOutcome) -> str:
    """Return why the caller gets a refusal, empty if the response is passed on."""
    match outcome:
        case BadResponse(text):
            return text
        case RelayRefused() | RelayFailed():
            return "no other VM could pass the request on"
        case CertifiedNotRun() | Misdirected():
            is_refused = settings.is_shed_counted_as_attempt
            return "every backend server is busy" if is_refused else ""
        case _:
            return ""


def classify_response(
    settings: RequestSettings, head: ResponseHead, is_relay: bool
) -> AttemptOutcome:
    """Return the outcome that a response stands for.

    ``is_relay`` says that it came by way of another VM of the fleet. What that VM says
    itself names no instance; a status below 500 then holds only for what it knows.
    """
    if not is_relay:
        return classify_status(head.status, is_certified_not_run(settings, head))
    ran = head.header(RAN_HEADER)
    is_of_vm = ran is not None and head.header(INSTANCE_HEADER) is None
    is_refusal = is_of_vm or head.status == RELAY_REFUSAL_STATUS
    if is_refusal and ran == Execution.NOT_RUN.value.encode():
        return RelayRefused(head.status)
    if is_of_vm and FIRST_REJECTION_STATUS <= head.status < FIRST_FAULT_STATUS:
        return RelayFailed(head.status)
    is_signed = head.header(settings.names.signature) is not None
    return Relayed(head.status, is_signed and head.status < FIRST_FAULT_STATUS)


def is_stale_response(
    settings: RequestSettings, head: ResponseHead, request_id: bytes, is_relay: bool
) -> bool:
    """Whether a response is a late one to an earlier request.

    A relay VM that can't read a request refuses it under an id that it made up.
    """
    echoed = head.header(settings.names.request_id)
    if echoed is None or echoed == request_id:
        return False
    outcome = classify_response(settings, head, is_relay)
    return not isinstance(outcome, RelayRefused)


def find_response_error(
    settings: RequestSettings, head: ResponseHead, is_connection_reused: bool
) -> str:
    """Return why a response can't answer the request, empty if it can."""
    names = settings.names
    is_id_needed = settings.is_request_id_echoed and is_connection_reused
    if is_id_needed and head.header(names.request_id) is None:
        return "no request id on a connection that was used before"
    if not names.signature or head.status >= 300:
        return ""
    if head.header(names.signature) is None:
        return "a success without a signature"
    if head.header(b"content-encoding") is not None:
        return "an encoding that nobody asked for"
    return ""
