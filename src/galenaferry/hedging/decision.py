"""Decision whether a second attempt is made, as a pure function."""

from dataclasses import dataclass
from typing import NamedTuple

from ..clock import Millis


class AttemptFacts(NamedTuple):
    """What decides about a second attempt of a request; times in milliseconds.

    Attributes
    ----------
    is_idempotent : bool
        Whether the request may be executed more than once.
    is_body_kept : bool
        Whether the whole body has been sent and can be sent again.
    is_relayed : bool
        Whether the first attempt goes by way of another VM.
    is_shutting_down : bool
        Whether this VM is in its graceful shutdown.
    is_crash_suspected : bool
        Whether requests like this one may crash instances.
    is_rejecting : bool
        Whether an instance of the service rejected a request recently.
    is_limited : bool
        Whether an instance of the service limits its requests.
    attempts : int
        Number of attempts so far, including the one in progress.
    max_attempts : int
        Limit of the route.
    delay : float
        Time after which the second attempt is due.
    time_left : float
        Time until the deadline.
    """

    is_idempotent: bool
    is_body_kept: bool
    is_relayed: bool
    is_shutting_down: bool
    is_crash_suspected: bool
    is_rejecting: bool
    is_limited: bool
    attempts: int
    max_attempts: int
    delay: Millis
    time_left: Millis


@dataclass(frozen=True, slots=True)
class Useful:
    """The second attempt may be made if there are tokens and an instance for it."""


@dataclass(frozen=True, slots=True)
class Withheld:
    """No second attempt is made, for the given reason."""

    reason: str


def decide_second_attempt(facts: AttemptFacts) -> Useful | Withheld:
    """Return whether a second attempt that is due is useful and does no harm."""
    reasons = (
        (not facts.is_idempotent, "the request may not be repeated"),
        (not facts.is_body_kept, "the body is not kept"),
        (facts.is_relayed, "the request goes by way of another VM"),
        (facts.is_shutting_down, "this VM is shutting down"),
        (facts.is_crash_suspected, "the request may crash instances"),
        (facts.is_rejecting, "the service lacks room"),
        (facts.is_limited, "the service is limited by its instances"),
        (facts.attempts >= facts.max_attempts, "the route permits no more attempts"),
        # Few answers would come in time, and the load is the same.
        (facts.time_left < facts.delay, "little time is left"),
    )
    for applies, reason in reasons:
        if applies:
            return Withheld(reason)
    return Useful()
