"""Steps of a planned stop: a pure decision."""

from dataclasses import dataclass
from typing import Final

from ..clock import Millis

LONGEST_DRAIN_MS: Final = 120_000.0


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
    asked_at: Millis | None,
    wait: Millis,
    in_flight: int,
    now: Millis,
    longest: Millis = LONGEST_DRAIN_MS,
) -> DrainStep:
    """Return the step that a stop is at.

    Parameters
    ----------
    asked_at : float or None
        Time at which the stop was asked for.
    wait : float
        Time that the balancer needs to notice, in milliseconds.
    in_flight : int
        Number of requests in progress.
    now : float
    longest : float
        Time for requests in flight beyond ``wait``, in milliseconds.
    """
    if asked_at is None:
        return Serve()
    if now - asked_at < wait:
        return Announce()
    if in_flight and now - asked_at < wait + longest:
        return Finish()
    return Exit()
