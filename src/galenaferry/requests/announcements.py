"""What an instance announces about itself in the head of a response."""

from typing import Final

from result import Err

from ..attempts.messages import AttemptOutcome, BadResponse, Misdirected
from ..backends.directory import Backends
from ..backends.messages import Instance
from ..clock import Millis
from ..framing.messages import ResponseHead
from ..logs import logger
from ..numbers import parse_decimal_number
from ..relay.answers import read_instance_key
from .interface import HeaderNames
from .messages import RETRY_AFTER_HEADER

UNAVAILABLE_STATUS: Final = 503
FIRST_ERROR_STATUS: Final = 400
LEAVING_VALUE: Final = b"1"

log = logger("requests")


def record_announcements(
    backends: Backends,
    names: HeaderNames,
    instance: Instance,
    head: ResponseHead,
    outcome: AttemptOutcome,
    sent_at: Millis,
) -> None:
    """Tell the backends that an instance leaves, asks for a pause or names a limit.

    Parameters
    ----------
    backends : Backends
    names : HeaderNames
    instance : Instance
        Instance that the request was sent to, or the VM that passed it on.
    head : ResponseHead
    outcome : AttemptOutcome
        Outcome that the head stands for. Another instance at the address speaks only
        of itself.
    sent_at : float
        Monotonic time in milliseconds at which the attempt started.
    """
    if instance.is_relay:
        key = read_instance_key(head)
        found = None if key is None else backends.find_instance(key)
        if found is None:
            return
        instance = found
    if isinstance(outcome, Misdirected):
        return
    if names.draining and head.header(names.draining) == LEAVING_VALUE:
        backends.mark_draining(instance)
    _record_request_limit(backends, names, instance, head, outcome, sent_at)
    retry_after = head.header(RETRY_AFTER_HEADER)
    if head.status != UNAVAILABLE_STATUS or retry_after is None:
        return
    seconds = _parse_number(instance, RETRY_AFTER_HEADER, retry_after)
    if seconds is not None:
        backends.pause(instance, seconds * 1000.0)


def _record_request_limit(
    backends: Backends,
    names: HeaderNames,
    instance: Instance,
    head: ResponseHead,
    outcome: AttemptOutcome,
    sent_at: Millis,
) -> None:
    """Tell the backends of a limit, or that a success states none."""
    if not names.request_limit:
        return
    value = head.header(names.request_limit)
    if value is not None:
        per_second = _parse_number(instance, names.request_limit, value)
        if per_second is not None:
            backends.limit_requests(instance, per_second)
    elif head.status < FIRST_ERROR_STATUS and not isinstance(outcome, BadResponse):
        backends.end_request_limit(instance, sent_at)


def _parse_number(instance: Instance, header: bytes, value: bytes) -> float | None:
    """Return the number in a header, or log why it is ignored and return None."""
    number = parse_decimal_number(value.decode("latin-1").strip())
    if isinstance(number, Err):
        log.warning(
            f"ignored the {header.decode().title()} of an instance",
            instance=instance.name,
            value=value[:40].decode("latin-1"),
            error=number.err_value,
        )
        return None
    return number.ok_value
