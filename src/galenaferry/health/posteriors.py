"""Posterior probability that an instance is sick.

Made for low request rates and short failures: the whole fleet sends an instance a
few requests per second and a single VM one in ten seconds, while an instance fails
for some seconds at a time and its health checks keep passing. Each instance is
modeled as a two-state Markov process, healthy or sick, with known mean times in
each state [1]_. Every outcome that any VM reports updates the probability by Bayes'
rule; without outcomes it decays to the stationary probability.

Sick is the state in this model, which no VM observes. ``messages.HealthState.SICK`` is
a decision of a home VM; the VMs of ``galenaferry.node`` have no home VMs.

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
    """Outcome of one attempt, as evidence about the instance that VMs share.

    ``placing.component`` derives it from ``attempts.messages.Evidence``. ``SHED``
    stands for a request that the instance rejected without executing it, ``DOUBTFUL``
    for a failure on a reused connection, which may have been stale. ``LEAVING`` is the
    announcement of an instance that it leaves, ``LIMITED`` and ``UNLIMITED`` that it
    limits its requests or no longer does; these are no evidence of its health.
    """

    GOOD = 0
    FAILED = 1
    SLOW = 2
    SHED = 3
    UNREACHABLE = 4
    DOUBTFUL = 5
    LEAVING = 6
    LIMITED = 7
    UNLIMITED = 8


class FaultModel(NamedTuple):
    """Two-state Markov model of an instance; times in milliseconds.

    ``likelihood_ratio_by_outcome`` is indexed by the outcomes below ``LEAVING`` and
    gives the probability of the outcome at a sick instance divided by that at a healthy
    one.
    """

    mean_healthy_time: Millis = 9_000.0
    mean_sick_time: Millis = 3_000.0
    likelihood_ratio_by_outcome: tuple[float, ...] = (0.3, 30.0, 4.0, 4.0, 8.0, 4.0)

    @property
    def stationary_probability(self) -> float:
        """Long-run share of time in which an instance is sick."""
        return self.mean_sick_time / (self.mean_sick_time + self.mean_healthy_time)

    @property
    def relaxation_time(self) -> Millis:
        """Time constant in ms of the decay to the stationary probability."""
        return 1.0 / (1.0 / self.mean_sick_time + 1.0 / self.mean_healthy_time)


MIN_PROBABILITY: Final = 0.002
"""Keeps probabilities away from 0 and 1, where no outcome could change them."""


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
        """Update the probability with an outcome by Bayes' rule."""
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
    """Posteriors of all instances by name.

    Parameters
    ----------
    model : FaultModel
    """

    def __init__(self, model: FaultModel) -> None:
        self._model = model
        self._by_name: dict[str, Posterior] = {}

    def get(self, name: str, now: Millis) -> Posterior:
        """Return the posterior of an instance, a new one if it has none."""
        posterior = self._by_name.get(name)
        if posterior is None:
            posterior = self._by_name[name] = Posterior(self._model, now)
        return posterior

    def retain_only(self, names: frozenset[str]) -> None:
        """Drop the posteriors of all other instances."""
        for name in self._by_name.keys() - names:
            del self._by_name[name]
