"""What the connections of all callers hold, and the relief of those that hold most."""

from collections import OrderedDict
from itertools import islice
from typing import Final, Protocol

from ..logs import logger
from .decisions import (
    CallerBounds,
    Holding,
    Idleness,
    Pressure,
    Usage,
    choose_replaced,
    find_pressure,
    is_relieved,
    may_resume_all,
    must_pause,
    relief_order,
)

MAX_RELIEF_STEPS: Final = 3
"""Steps that close a connection: requests sent ahead, the request, itself."""
MAX_CANDIDATES: Final = 256
"""Connections among which one is sought that makes room; bounds the time for that."""

log = logger("callers")


class Holder(Protocol):
    """Connection that holds memory for its caller."""

    @property
    def holding(self) -> Holding:
        """What the connection holds."""

    @property
    def idleness(self) -> Idleness:
        """What the connection waits for."""

    def relieve(self) -> None:
        """Free memory by one step: drop, refuse or close."""

    def make_room(self) -> bool:
        """Close the connection if it still may be; return whether it did."""

    def read_on(self) -> None:
        """Read from the caller again."""


class CallerBudget:
    """Memory and connections of all callers of this VM.

    Parameters
    ----------
    bounds : CallerBounds

    Attributes
    ----------
    bounds : CallerBounds
    used_bytes : int
        Bytes that all connections hold.
    pauses, relieved, replaced, refused : int
        Counters of pauses in reading, steps of relief, connections that were closed
        for new ones, and connections that were refused.
    """

    def __init__(self, bounds: CallerBounds = CallerBounds()) -> None:  # noqa: B008
        self.bounds = bounds
        self.used_bytes = 0
        self.pauses = 0
        self.relieved = 0
        self.replaced = 0
        self.refused = 0
        # Without activity for the longest time first.
        self._held_by_holder: OrderedDict[Holder, int] = OrderedDict()
        self._paused: set[Holder] = set()
        self._is_relieving = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._held_by_holder)

    @property
    def pressure(self) -> Pressure:
        """How much of the budget is in use."""
        return find_pressure(self.bounds, self.used_bytes)

    @property
    def is_under_pressure(self) -> bool:
        """Whether more than half of the budget is in use."""
        limit = self.bounds.memory_bytes
        return limit > 0 and self.used_bytes * 2 > limit

    def add(self, holder: Holder) -> None:
        """Add a new connection."""
        self._held_by_holder[holder] = 0

    def remove(self, holder: Holder) -> None:
        """Remove a closed connection."""
        self.used_bytes -= self._held_by_holder.pop(holder, 0)
        self._paused.discard(holder)
        self._resume_if_possible()

    def record_activity(self, holder: Holder) -> None:
        """Record that bytes were received on a connection."""
        if holder in self._held_by_holder:
            self._held_by_holder.move_to_end(holder)

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Replace what a connection holds."""
        previous = self._held_by_holder.get(holder)
        if previous is None:
            return
        self._held_by_holder[holder] = held_bytes
        self.used_bytes += held_bytes - previous
        if held_bytes < previous:
            self._resume_if_possible()

    def must_pause(self, holder: Holder) -> bool:
        """Whether reading from a connection pauses; ``read_on`` is called later."""
        if not self.is_under_pressure:
            return False
        usage = Usage(self.used_bytes, self.connection_count)
        is_paused = must_pause(self.bounds, usage, holder.holding)
        if not is_paused:
            self._paused.discard(holder)
        elif holder not in self._paused:
            self._paused.add(holder)
            self.pauses += 1
        return is_paused

    def review_pauses(self) -> None:
        """Let paused connections read on, unless they must pause again.

        Called repeatedly: a connection that waits for its own caller has no other event
        after which its share could have grown.
        """
        paused, self._paused = self._paused, set()
        for holder in paused:
            holder.read_on()

    def relieve(self) -> None:
        """Free memory if more than the budget is in use, the heaviest first."""
        if self._is_relieving or self.pressure is not Pressure.FULL:
            return
        self._is_relieving = True
        steps = self.relieved
        log_fields = {"held": self.used_bytes, "connections": self.connection_count}
        try:
            self._relieve_in_order()
        finally:
            self._is_relieving = False
        log.warning(
            "callers held more than their memory",
            relieved=self.relieved - steps,
            limit=self.bounds.memory_bytes,
            **log_fields,
        )

    def make_room(self) -> bool:
        """Whether one more connection may be accepted; may close another one."""
        limit = self.bounds.connections
        if not limit or self.connection_count < limit:
            return True
        candidates = list(islice(self._held_by_holder, MAX_CANDIDATES))
        number = choose_replaced(holder.idleness for holder in candidates)
        if number is not None and candidates[number].make_room():
            self.replaced += 1
            return True
        self.refused += 1
        return False

    def _relieve_in_order(self) -> None:
        holders = list(self._held_by_holder)
        for group in relief_order(holder.holding for holder in holders):
            for number in group * MAX_RELIEF_STEPS:
                if is_relieved(self.bounds, self.used_bytes):
                    return
                if holders[number] in self._held_by_holder:
                    self.relieved += 1
                    holders[number].relieve()

    def _resume_if_possible(self) -> None:
        if self._paused and may_resume_all(self.bounds, self.used_bytes):
            self.review_pauses()
