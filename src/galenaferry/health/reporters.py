"""The VMs that report to a home, and those whose own trouble speaks from them."""

from typing import Final

from ..clock import Millis
from .messages import Counts
from .window import Rate, Window

SPAN_MS: Final = 10_000.0
FORGOTTEN_MS: Final = 60_000.0
SUSPECT_FAILURES: Final = 8.0
SUSPECT_RATIO: Final = 5.0
SUSPECT_INSTANCES: Final = 2


class Reporter:
    """One VM as a source of evidence; ``totals_by_key`` are its newest totals."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_heard: Millis = 0.0
        self.totals_by_key: dict[int, Counts] = {}
        self._outcomes = Window(SPAN_MS)
        self._failed_at_by_key: dict[int, Millis] = {}

    def count(self, key: int, requests: int, failures: int, now: Millis) -> None:
        """Add outcomes that this VM saw at one instance."""
        self._outcomes.add(requests, failures, 0, now)
        if failures:
            self._failed_at_by_key[key] = now

    def forget(self, key: int) -> None:
        """Drop what is known of an instance that left."""
        self.totals_by_key.pop(key, None)
        self._failed_at_by_key.pop(key, None)

    def is_suspect(self, everyone: Rate, now: Millis) -> bool:
        """Whether this VM sees far more failures than all others together.

        Parameters
        ----------
        everyone : Rate
            Failures that all VMs saw over the same span, this one included.
        now : float
        """
        own = self._outcomes.tally(now).failure_rate
        if own.positives < SUSPECT_FAILURES or not self._is_failing_widely(now):
            return False
        requests = everyone.requests - own.requests
        if requests < 1.0:
            return False
        expected = (everyone.positives - own.positives + 1.0) / (requests + 1.0)
        return own.positives / own.requests > SUSPECT_RATIO * expected

    def _is_failing_widely(self, now: Millis) -> bool:
        times = self._failed_at_by_key.values()
        return sum(1 for at in times if now - at < SPAN_MS) >= SUSPECT_INSTANCES


class Reporters:
    """All VMs that report to a home, by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Reporter] = {}
        self._outcomes = Window(SPAN_MS)

    def reporter(self, name: str, incarnation: int) -> Reporter | None:
        """Return the reporter, None for a report of an earlier incarnation."""
        known = self._by_name.get(name)
        if known is None or incarnation > known.incarnation:
            known = self._by_name[name] = Reporter(incarnation)
        return known if incarnation == known.incarnation else None

    def count(
        self, reporter: Reporter, key: int, requests: int, failures: int, now: Millis
    ) -> None:
        """Add outcomes that a VM saw at one instance."""
        reporter.count(key, requests, failures, now)
        self._outcomes.add(requests, failures, 0, now)

    def suspects(self, now: Millis) -> set[str]:
        """Return the VMs whose own trouble makes several instances look sick."""
        everyone = self._outcomes.tally(now).failure_rate
        if everyone.positives < SUSPECT_FAILURES:
            return set()
        return {
            name
            for name, reporter in self._by_name.items()
            if reporter.is_suspect(everyone, now)
        }

    def recent(self, now: Millis) -> list[str]:
        """Return the VMs that were heard of lately."""
        return [
            name
            for name, reporter in self._by_name.items()
            if now - reporter.last_heard < FORGOTTEN_MS
        ]

    def forget_silent(self, now: Millis) -> set[str]:
        """Drop the VMs that fell silent and return their names."""
        silent = self._by_name.keys() - set(self.recent(now))
        for name in silent:
            del self._by_name[name]
        return silent

    def forget_instance(self, key: int) -> None:
        """Drop what is known of an instance that left."""
        for reporter in self._by_name.values():
            reporter.forget(key)
