"""Behaviour of a simulated backend server: slots, load shedding, faults, counters."""

from dataclasses import dataclass, field
from random import Random
from typing import Any


@dataclass(slots=True)
class BackendMode:
    """Behaviour of the backend server.

    Attributes
    ----------
    error_part : float
        Probability of a response with status 500.
    slow_factor : float
        Factor applied to every execution time.
    silent_part : float
        Probability that an executed request gets no response.
    reset_part : float
        Probability that the connection is closed instead of a response.
    truncate_part : float
        Probability that the body is shorter than its ``Content-Length``; has no effect
        on ``/size/N``.
    garbage_part : float
        Probability of a response with malformed framing.
    is_draining : bool
        Shed all requests with 503, as not executed.
    cold_executions : int
        Number of first executions that take ``cold_factor`` times as long.
    cold_factor : float
    work_ms : float
        Execution time in milliseconds.
    slots : int
        Number of concurrent executions; further requests are shed.
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
    """Counts of executions, sheds and injected errors.

    ``busy_slots`` is the number of executions in progress.
    """

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
        """Change the given attributes of the mode.

        Raises
        ------
        AttributeError
            When the mode has no attribute of that name.
        TypeError, ValueError
            When a value can't be converted to the type of the attribute.
        """
        for name, value in values.items():
            current = getattr(self.mode, name)
            setattr(self.mode, name, type(current)(value))

    def must_shed(self, time_left_ms: float) -> bool:
        """Whether a request is shed: rejected before execution.

        Requests are shed while draining, without a free slot, and if the
        execution would take longer than the caller's remaining ``time_left_ms``.
        """
        is_late = time_left_ms < self.next_work_ms()
        is_full = self.counters.busy_slots >= self.mode.slots
        return self.mode.is_draining or is_full or is_late

    def next_work_ms(self) -> float:
        """Return the duration of the next execution in milliseconds."""
        mode = self.mode
        is_cold = self.counters.executed < mode.cold_executions
        factor = mode.cold_factor if is_cold else 1.0
        return mode.work_ms * mode.slow_factor * factor

    def record_execution(self, request_id: str) -> None:
        """Count the execution of a request; ``request_id`` may be empty."""
        self.counters.executed += 1
        if request_id:
            by_id = self.counters.executions_by_id
            by_id[request_id] = by_id.get(request_id, 0) + 1

    def should_inject_fault(self, probability: float) -> bool:
        """Whether to inject a fault that has the given probability."""
        return probability > 0.0 and self.random.random() < probability

    def summary(self) -> dict[str, Any]:
        """Return the counters as JSON-serializable data."""
        counters = self.counters
        return {
            "executed": counters.executed,
            "shed": counters.shed,
            "errors": counters.errors,
            "executions_by_id": counters.executions_by_id,
        }
