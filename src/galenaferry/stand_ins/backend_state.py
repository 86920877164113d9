"""Behaviour of a backend server's stand-in: slots, sheds, faults, executions."""

from dataclasses import dataclass, field
from random import Random
from typing import Any


@dataclass(slots=True)
class BackendMode:
    """How the stand-in behaves; all parts are between 0 and 1.

    ``work_ms`` is the time of one execution and ``slow_factor`` multiplies it; the
    first ``cold_executions`` take ``cold_factor`` times as long.
    """

    error_part: float = 0.0
    slow_factor: float = 1.0
    silent_part: float = 0.0
    reset_part: float = 0.0
    truncate_part: float = 0.0
    garbage_part: float = 0.0
    is_draining: bool = False
    cold_executions: int = 0
    cold_factor: float = 10.0
    work_ms: float = 5.0
    slots: int = 6


@dataclass(slots=True)
class BackendCounters:
    """What the stand-in did."""

    executions_by_id: dict[str, int] = field(default_factory=dict)
    executed: int = 0
    shed: int = 0
    errors: int = 0
    busy_slots: int = 0


class BackendState:
    """Mode and counters of one stand-in."""

    def __init__(self, mode: BackendMode, seed: int) -> None:
        self.mode = mode
        self.counters = BackendCounters()
        self.random = Random(seed)

    def set_mode(self, values: dict[str, Any]) -> None:
        """Change parts of the mode; unknown names are an error."""
        for name, value in values.items():
            current = getattr(self.mode, name)
            setattr(self.mode, name, type(current)(value))

    def must_shed(self, time_left_ms: float) -> bool:
        """Whether a request is refused before it is run.

        That is so while draining, without a free slot, and where the work would
        not be done within the time that its caller still waits.
        """
        is_late = time_left_ms < self.next_work_ms()
        is_full = self.counters.busy_slots >= self.mode.slots
        return self.mode.is_draining or is_full or is_late

    def next_work_ms(self) -> float:
        """Return the time that the next execution takes, in milliseconds."""
        mode = self.mode
        is_cold = self.counters.executed < mode.cold_executions
        factor = mode.cold_factor if is_cold else 1.0
        return mode.work_ms * mode.slow_factor * factor

    def record_execution(self, request_id: str) -> None:
        """Record the execution of a request."""
        self.counters.executed += 1
        if request_id:
            by_id = self.counters.executions_by_id
            by_id[request_id] = by_id.get(request_id, 0) + 1

    def should_inject_fault(self, probability: float) -> bool:
        """Whether something with the probability ``part`` happens now."""
        return probability > 0.0 and self.random.random() < probability

    def summary(self) -> dict[str, Any]:
        """Return the counters as JSON data."""
        counters = self.counters
        return {
            "executed": counters.executed,
            "shed": counters.shed,
            "errors": counters.errors,
            "executions_by_id": counters.executions_by_id,
        }
