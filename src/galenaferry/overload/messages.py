"""Inputs and results of the admission decision."""

from dataclasses import dataclass
from typing import NamedTuple

from ..clock import Millis


class Arrival(NamedTuple):
    """A request that has arrived from a caller.

    Priority 0 is the most urgent. ``digest`` identifies the caller and the target, so
    that a repetition has the same one on every VM. ``wall_time`` is the time since the
    Unix epoch in milliseconds.
    """

    priority: int
    digest: int
    wall_time: Millis


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may be sent to an instance."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; it may be repeated after ``retry_after`` milliseconds."""

    retry_after: Millis


Decision = Admit | Refuse

ADMIT = Admit()
