"""Steps of a planned stop: a pure decision."""

from dataclasses import dataclass
from typing import Final

from ..clock import Millis

DRAIN_TIMEOUT_MS: Final = 120_000.0


@dataclass(frozen=True, slots=True)
class Serve:
    """Go on as usual."""


@dataclass(frozen=True, slots=True)
class Announce:
    """Not ready any more; requests are answered with ``Connection: close``."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Take no new connections, finish the requests in flight."""


@dataclass(frozen=True, slots=True)
class Exit:
    """Nothing is in flight; the process may end."""


DrainStep = Serve | Announce | Finish | Exit


def next_step(
    requested_at: Millis | None,
    balancer_wait: Millis,
    in_flight: int,
    now: Millis,
    drain_timeout: Millis = DRAIN_TIMEOUT_MS,
) -> DrainStep:
    """Return the step that a stop is at.

    Parameters
    ----------
    requested_at : float or None
        Time at which the stop was asked for.
    balancer_wait : float
        Time that the balancer needs to notice, in milliseconds.
    in_flight : int
        Number of requests in progress.
    now : float
    drain_timeout : float
        Time for requests in flight beyond ``balancer_wait``, in milliseconds.
    """
    if requested_at is None:
        return Serve()
    if now - requested_at < balancer_wait:
        return Announce()
    if in_flight and now - requested_at < balancer_wait + drain_timeout:
        return Finish()
    return Exit()
