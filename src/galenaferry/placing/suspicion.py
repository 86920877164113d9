"""Log of the instances that become suspected or cleared by an outcome."""

from ..clock import Millis
from ..health.posteriors import Outcome, Posterior
from ..logs import logger
from .decisions import PROBE_BELOW

log = logger("placing")


def update_posterior(
    posterior: Posterior, name: str, outcome: Outcome, source: str, now: Millis
) -> None:
    """Update the posterior and log if that suspects or clears the instance.

    An instance is suspected from a sick probability of ``PROBE_BELOW``.
    """
    was_suspected = posterior.sick_probability(now) >= PROBE_BELOW
    posterior.update(outcome, now)
    sick_probability = posterior.sick_probability(now)
    if (sick_probability >= PROBE_BELOW) != was_suspected:
        log.info(
            "instance cleared" if was_suspected else "instance suspected",
            instance=name,
            outcome=outcome.name.lower(),
            told_by=source,
            sick=round(sick_probability, 3),
        )
