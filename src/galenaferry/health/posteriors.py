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


class FaultModel(NamedTuple):
    """How instances fall sick and recover; times in milliseconds.

    ``likelihood_ratio_by_outcome`` holds, by ``Outcome``, how much likelier an
    outcome is at a sick instance than at a well one.
    """

    mean_healthy_time: Millis = 9_000.0
    mean_sick_time: Millis = 3_000.0
    likelihood_ratio_by_outcome: tuple[float, ...] = (0.3, 30.0, 4.0, 4.0, 8.0, 4.0)

    @property
    def stationary_probability(self) -> float:
        """The part of the time for which an instance is sick."""
        return self.mean_sick_time / (self.mean_sick_time + self.mean_healthy_time)

    @property
    def relaxation_time(self) -> Millis:
        """The time after which a belief is e times nearer to what is usual."""
        return 1.0 / (1.0 / self.mean_sick_time + 1.0 / self.mean_healthy_time)


MIN_PROBABILITY: Final = 0.002
"""Beliefs are kept off 0 and 1, where no outcome could move them."""


class Posterior:
    """Probability that one instance is sick."""

    __slots__ = (
        "_model",
        "_probability",
        "_relaxation_time",
        "_stationary_probability",
        "_updated_at",
        "last_failed_at",
    )

    def __init__(self, model: FaultModel, now: Millis) -> None:
        self._model = model
        self._stationary_probability = model.stationary_probability
        self._relaxation_time = model.relaxation_time
        self._probability = self._stationary_probability
        self._updated_at = now
        self.last_failed_at: Millis = -math.inf

    def sick_probability(self, now: Millis) -> float:
        """Return the probability that the instance is sick now."""
        stationary = self._stationary_probability
        if self._probability == stationary:
            return stationary
        elapsed = max(0.0, now - self._updated_at)
        decay = math.exp(-elapsed / self._relaxation_time)
        return stationary + (self._probability - stationary) * decay

    def update(self, outcome: Outcome, now: Millis) -> None:
        """Take an outcome into account."""
        probability = self.sick_probability(now)
        odds = (
            probability
            / (1.0 - probability)
            * self._model.likelihood_ratio_by_outcome[outcome]
        )
        self._probability = min(
            max(odds / (1.0 + odds), MIN_PROBABILITY), 1.0 - MIN_PROBABILITY
        )
        self._updated_at = now
        if outcome is Outcome.FAILED:
            self.last_failed_at = now


class Posteriors:
    """Beliefs of all instances by name.

    Parameters
    ----------
    model : FaultModel
    """

    def __init__(self, model: FaultModel) -> None:
        self._model = model
        self._by_name: dict[str, Posterior] = {}

    def get(self, name: str, now: Millis) -> Posterior:
        """Return the belief of an instance."""
        posterior = self._by_name.get(name)
        if posterior is None:
            posterior = self._by_name[name] = Posterior(self._model, now)
        return posterior

    def retain_only(self, names: frozenset[str]) -> None:
        """Forget all other instances."""
        for name in self._by_name.keys() - names:
            del self._by_name[name]
