"""Behaviour of a backend server's stand-in: slots, sheds, faults, executions."""

from dataclasses import dataclass, field
from random import Random
from typing import Any


@dataclass(slots=True)
class BackendMode:
    """How the stand-in behaves; all parts are between 0 and 1.

    ``work_ms`` is the time of one execution and ``slow_factor`` multiplies it.
    """

    error_part: float = 0.0
    slow_factor: float = 1.0
    silent_part: float = 0.0
    reset_part: float = 0.0
    truncate_part: float = 0.0
    garbage_part: float = 0.0
    is_draining: bool = False
    work_ms: float = 5.0
    slots: int = 6


@dataclass(slots=True)
class BackendCounters:
    """What the stand-in did."""

    executions_by_id: dict[str, int] = field(default_factory=dict)
    executed: int = 0
    shed: int = 0
    errors: int = 0
    busy: int = 0


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

    def must_shed(self) -> bool:
        """Whether a request is refused before it is run."""
        return self.mode.is_draining or self.counters.busy >= self.mode.slots

    def execute(self, request_id: str) -> None:
        """Record the execution of a request."""
        self.counters.executed += 1
        if request_id:
            by_id = self.counters.executions_by_id
            by_id[request_id] = by_id.get(request_id, 0) + 1

    def happens(self, part: float) -> bool:
        """Whether something with the probability ``part`` happens now."""
        return part > 0.0 and self.random.random() < part

    def summary(self) -> dict[str, Any]:
        """Return the counters as JSON data."""
        counters = self.counters
        return {
            "executed": counters.executed,
            "shed": counters.shed,
            "errors": counters.errors,
            "executions_by_id": counters.executions_by_id,
        }
