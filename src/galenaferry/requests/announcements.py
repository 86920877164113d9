"""What an instance announces about itself in the head of a response."""

from typing import Final

from result import Err

from ..attempts.messages import AttemptOutcome, Misdirected
from ..backends.directory import Backends
from ..backends.messages import Instance
from ..framing.messages import ResponseHead
from ..logs import logger
from ..numbers import parse_decimal_number
from .interface import HeaderNames
from .messages import RETRY_AFTER_HEADER

UNAVAILABLE_STATUS: Final = 503
LEAVING_VALUE: Final = b"1"

log = logger("requests")


def record_announcements(
    backends: Backends,
    names: HeaderNames,
    instance: Instance,
    head: ResponseHead,
    outcome: AttemptOutcome,
) -> None:
    """Tell the backends that an instance leaves or asks for a pause.

    Parameters
    ----------
    backends : Backends
    names : HeaderNames
    instance : Instance
        Instance that the request was sent to.
    head : ResponseHead
    outcome : AttemptOutcome
        Outcome that the head stands for. Another instance at the address speaks only
        of itself.
    """
    if isinstance(outcome, Misdirected):
        return
    if names.draining and head.header(names.draining) == LEAVING_VALUE:
        backends.mark_draining(instance)
    retry_after = head.header(RETRY_AFTER_HEADER)
    if head.status != UNAVAILABLE_STATUS or retry_after is None:
        return
    seconds = parse_decimal_number(retry_after.decode("latin-1").strip())
    if isinstance(seconds, Err):
        log.warning(
            "ignored the Retry-After of an instance",
            instance=instance.name,
            value=retry_after[:40].decode("latin-1"),
            error=seconds.err_value,
        )
        return
    backends.pause(instance, seconds.ok_value * 1000.0)
