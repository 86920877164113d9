"""Steps of a graceful shutdown, as a pure function."""

from dataclasses import dataclass
from typing import Final

from ..clock import Millis

FINISH_TIMEOUT_MS: Final = 120_000.0
"""Default time for requests in flight before the process exits regardless."""


@dataclass(frozen=True, slots=True)
class Serve:
    """No shutdown was requested."""


@dataclass(frozen=True, slots=True)
class Announce:
    """The VM reports not ready and answers requests with ``Connection: close``."""


@dataclass(frozen=True, slots=True)
class Finish:
    """The VM accepts no new connections and finishes the requests in flight."""


@dataclass(frozen=True, slots=True)
class Exit:
    """The process exits: no request is in flight or the time for them is over."""


DrainStep = Serve | Announce | Finish | Exit


def next_step(
    requested_at: Millis | None,
    balancer_wait: Millis,
    in_flight: int,
    now: Millis,
    finish_timeout: Millis = FINISH_TIMEOUT_MS,
) -> DrainStep:
    """Return the current step of a shutdown.

    Parameters
    ----------
    requested_at : float or None
        Monotonic time in milliseconds of the request to shut down.
    balancer_wait : float
        Time in milliseconds that the load balancer needs to notice that the VM is
        no longer ready.
    in_flight : int
        Number of requests in progress.
    now : float
        Monotonic time in milliseconds.
    finish_timeout : float
        Time in milliseconds for requests in flight after ``balancer_wait``.
    """
    if requested_at is None:
        return Serve()
    if now - requested_at < balancer_wait:
        return Announce()
    if in_flight and now - requested_at < balancer_wait + finish_timeout:
        return Finish()
    return Exit()
