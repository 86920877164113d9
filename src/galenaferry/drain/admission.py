"""Decision whether a VM in its graceful shutdown still passes a request on."""

from typing import Final, NamedTuple

from ..clock import Millis

ANSWER_TIME_MS: Final[Millis] = 250.0
"""Time before the exit of the process by which an instance must have answered, so that
the answer still reaches the caller."""
CLOSE_MARGIN_MS: Final[Millis] = 500.0
"""Time before the listener closes from which requests are judged as after it, since the
signal may have been handled late."""
UNEVEN_LOAD: Final = 0.25
"""Part of the slots that may be free while some instance has a queue."""


class ShutdownSchedule(NamedTuple):
    """Times of a graceful shutdown in monotonic milliseconds.

    From ``closes_at`` on the VM accepts no new connections; at ``exits_at`` its process
    exits regardless of requests in flight.
    """

    closes_at: Millis
    exits_at: Millis

    @property
    def answered_by(self) -> Millis:
        """Time by which instances must have answered."""
        return self.exits_at - ANSWER_TIME_MS


class ResponseTimes(NamedTuple):
    """Times that responses on a route take, in milliseconds.

    ``usual`` is met by most of them; it is the target of the route while there are too
    few, and 0 if neither is known. ``longest`` is exceeded by hardly any, None if
    unknown. ``load`` is the number of requests in flight for each slot.
    """

    usual: Millis
    longest: Millis | None
    load: float = 0.0


UNKNOWN_TIMES: Final = ResponseTimes(0.0, None)


def may_start(
    schedule: ShutdownSchedule,
    times: ResponseTimes,
    deadline: Millis,
    now: Millis,
    must_be_certain: bool = False,
) -> bool:
    """Whether a request that starts now is expected to end before the process exits.

    Until about the time at which the listener closes, new callers may still be sent to
    this VM, so that the usual time is decisive. Later requests are passed on only if
    they end in time even when they take unusually long.

    Parameters
    ----------
    schedule : ShutdownSchedule
    times : ResponseTimes
    deadline : float
        Deadline of the request in monotonic milliseconds; one before the exit ends the
        request in time.
    now : float
        Monotonic time in milliseconds.
    must_be_certain : bool
        Whether the request is judged like later ones.
    """
    if deadline <= schedule.answered_by:
        return True
    is_late = now >= schedule.closes_at - CLOSE_MARGIN_MS
    if not (is_late or must_be_certain):
        expected = times.usual * (1 + int(times.load))
    elif times.longest is None:
        return False
    else:
        expected = times.longest * (1 + int(times.load + UNEVEN_LOAD))
    return now + expected <= schedule.answered_by
