"""Second attempts of this VM: shares by service, and the view of services."""

from typing import Protocol

from ..attempts.budget import Budget
from ..clock import Millis
from ..routing.table import Route
from .share import AttemptShare


class ServiceConditions(Protocol):
    """What this VM knows about services and routes; implemented by ``placing``."""

    def second_attempt_after(self, route: Route) -> Millis:
        """Return the delay of a second attempt in milliseconds, 0 if unknown."""

    def record_lower_bound(self, route: Route, latency: Millis) -> None:
        """Record that a response would have taken longer than ``latency``."""

    def is_rejecting(self, service: str) -> bool:
        """Whether an instance of a service rejected a request recently."""

    def is_limited(self, service: str) -> bool:
        """Whether an instance of a service limits its requests."""


class SecondAttempts:
    """Tokens and conditions of the second attempts of one VM.

    Parameters
    ----------
    percent : float
        Second attempts per 100 requests of a service.
    conditions : ServiceConditions
    """

    def __init__(self, percent: float, conditions: ServiceConditions) -> None:
        self._percent = percent
        self._share_by_service: dict[str, AttemptShare] = {}
        self.conditions = conditions

    @classmethod
    def make(
        cls, percent: float, conditions: ServiceConditions
    ) -> "SecondAttempts | None":
        """Return the second attempts, None if there are none at this percentage."""
        return cls(percent, conditions) if percent > 0.0 else None

    def record_request(self, service: str) -> None:
        """Count a request of a caller, which earns a part of a second attempt."""
        self._share(service).record_request()

    def has_token(self, service: str) -> bool:
        """Whether the share of a service permits a second attempt now."""
        return self._share(service).has_token

    def try_spend(self, service: str, budget: Budget) -> bool:
        """Spend a token of the share and one of the retry budget, or neither."""
        share = self._share(service)
        if not share.has_token or not budget.try_spend():
            return False
        share.spend()
        return True

    def _share(self, service: str) -> AttemptShare:
        share = self._share_by_service.get(service)
        if share is None:
            share = self._share_by_service[service] = AttemptShare(self._percent)
        return share
