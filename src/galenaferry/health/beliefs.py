"""How likely each instance is to fail its next request: a pure decision.

Answers the load where a fleet sends an instance a few requests a second and a VM
alone one in ten seconds, while instances fail for some seconds at a time with
their health checks good. Each instance is taken for a process that is well or
sick and changes at known mean times [1]_; every outcome that any VM tells moves
the probability by Bayes' rule, and time moves it back to what is usual.

References
----------
.. [1] L. R. Rabiner, "A tutorial on hidden Markov models", Proceedings of the
   IEEE 77(2), 1989.
"""

import math
from enum import IntEnum
from typing import Final, NamedTuple

from ..clock import Millis


class Outcome(IntEnum):
    """What an attempt showed of an instance."""

    GOOD = 0
    FAILED = 1
    SLOW = 2
    SHED = 3
    UNREACHABLE = 4
    DOUBTFUL = 5


class SicknessModel(NamedTuple):
    """How instances fall sick and recover; times in milliseconds.

    ``ratio_by_outcome`` holds, by ``Outcome``, how much likelier an outcome is at
    a sick instance than at a well one.
    """

    mean_well: Millis = 9_000.0
    mean_sick: Millis = 3_000.0
    ratio_by_outcome: tuple[float, ...] = (0.3, 30.0, 4.0, 4.0, 8.0, 4.0)

    @property
    def usual(self) -> float:
        """The part of the time for which an instance is sick."""
        return self.mean_sick / (self.mean_sick + self.mean_well)

    @property
    def relaxation(self) -> Millis:
        """The time after which a belief is e times nearer to what is usual."""
        return 1.0 / (1.0 / self.mean_sick + 1.0 / self.mean_well)


LEAST: Final = 0.002
"""Beliefs are kept off 0 and 1, where no outcome could move them."""


class Belief:
    """Probability that one instance is sick."""

    __slots__ = ("_at", "_model", "_relaxation", "_sick", "_usual", "failed_at")

    def __init__(self, model: SicknessModel, now: Millis) -> None:
        self._model = model
        self._usual = model.usual
        self._relaxation = model.relaxation
        self._sick = self._usual
        self._at = now
        self.failed_at: Millis = -math.inf

    def sick(self, now: Millis) -> float:
        """Return the probability that the instance is sick now."""
        usual = self._usual
        if self._sick == usual:
            return usual
        passed = max(0.0, now - self._at)
        kept = math.exp(-passed / self._relaxation)
        return usual + (self._sick - usual) * kept

    def add(self, outcome: Outcome, now: Millis) -> None:
        """Take an outcome into account."""
        sick = self.sick(now)
        odds = sick / (1.0 - sick) * self._model.ratio_by_outcome[outcome]
        self._sick = min(max(odds / (1.0 + odds), LEAST), 1.0 - LEAST)
        self._at = now
        if outcome is Outcome.FAILED:
            self.failed_at = now


class Beliefs:
    """Beliefs of all instances by name.

    Parameters
    ----------
    model : SicknessModel
    """

    def __init__(self, model: SicknessModel) -> None:
        self._model = model
        self._by_name: dict[str, Belief] = {}

    def of(self, name: str, now: Millis) -> Belief:
        """Return the belief of an instance."""
        belief = self._by_name.get(name)
        if belief is None:
            belief = self._by_name[name] = Belief(self._model, now)
        return belief

    def keep(self, names: frozenset[str]) -> None:
        """Forget all other instances."""
        for name in self._by_name.keys() - names:
            del self._by_name[name]
