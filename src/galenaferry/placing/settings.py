"""Settings of placement, and what outcomes of attempts it distinguishes."""

from typing import Final, NamedTuple

from ..attempts.messages import Evidence
from ..clock import Millis
from ..health.posteriors import FaultModel, Outcome

OUTCOME_BY_EVIDENCE: Final = {
    Evidence.SUCCESS: Outcome.GOOD,
    Evidence.FAILURE: Outcome.FAILED,
    Evidence.LINK: Outcome.UNREACHABLE,
    Evidence.CONNECTION: Outcome.DOUBTFUL,
    Evidence.SHED: Outcome.SHED,
}


class PlacementSettings(NamedTuple):
    """Settings of placement.

    ``floor`` is the smallest share of the instances without a recent failure that stay
    in use. ``drain_timeout`` is the time in milliseconds after which an instance that
    announced that it leaves must get no new requests.
    """

    zone: str
    floor: float
    drain_timeout: Millis = 2_000.0
    model: FaultModel = FaultModel()
