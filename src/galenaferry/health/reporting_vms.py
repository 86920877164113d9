"""VMs that report to a home VM, and detection of those that are faulty themselves."""

from typing import Final

from ..clock import Millis
from .messages import Counts
from .window import DecayingWindow, Rate

REPORT_WINDOW_MS: Final = 10_000.0
"""Time constant of the failure counts, and age up to which an outcome is recent."""
SILENT_AFTER_MS: Final = 60_000.0
"""Time without a report after which a VM is dropped and gets no more verdicts."""
SUSPECT_MIN_FAILURES: Final = 8.0
"""Recent failures that a VM must have seen to be suspect."""
SUSPECT_MIN_RATIO: Final = 5.0
"""Multiple of the other VMs' failure rate that makes a VM suspect."""
SUSPECT_MIN_INSTANCES: Final = 2
"""Instances at which a suspect VM sees failures; one could be faulty itself."""


class ReportingVm:
    """One VM that sends reports.

    ``incarnation`` increases with every start of the VM, after which its totals start
    from zero. ``totals_by_key`` holds its latest totals.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_report_at: Millis = 0.0
        self.totals_by_key: dict[int, Counts] = {}
        self._outcomes = DecayingWindow(REPORT_WINDOW_MS)
        self._last_failed_at_by_key: dict[int, Millis] = {}

    def add_outcomes(self, key: int, requests: int, failures: int, now: Millis) -> None:
        """Add outcomes that this VM saw at one instance."""
        self._outcomes.add(requests, failures, 0, now)
        if failures:
            self._last_failed_at_by_key[key] = now

    def forget(self, key: int) -> None:
        """Drop the data of an instance that is no longer listed."""
        self.totals_by_key.pop(key, None)
        self._last_failed_at_by_key.pop(key, None)

    def is_suspect(self, fleet: Rate, now: Millis) -> bool:
        """Whether this VM has a far higher failure rate than all others together.

        Parameters
        ----------
        fleet : Rate
            Failures that all VMs saw over the same window, this one included.
        now : float
        """
        own = self._outcomes.tally(now).failure_rate
        if (
            own.positives < SUSPECT_MIN_FAILURES
            or not self._has_failures_at_several_instances(now)
        ):
            return False
        requests = fleet.requests - own.requests
        if requests < 1.0:
            return False
        expected = (fleet.positives - own.positives + 1.0) / (requests + 1.0)
        return own.positives / own.requests > SUSPECT_MIN_RATIO * expected

    def _has_failures_at_several_instances(self, now: Millis) -> bool:
        failure_times = self._last_failed_at_by_key.values()
        return (
            sum(1 for failed_at in failure_times if now - failed_at < REPORT_WINDOW_MS)
            >= SUSPECT_MIN_INSTANCES
        )


class ReportingVms:
    """All VMs that report to this home VM, by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, ReportingVm] = {}
        self._outcomes = DecayingWindow(REPORT_WINDOW_MS)

    def get_or_add(self, name: str, incarnation: int) -> ReportingVm | None:
        """Return the VM, None if the report is from an earlier incarnation of it."""
        vm = self._by_name.get(name)
        if vm is None or incarnation > vm.incarnation:
            vm = self._by_name[name] = ReportingVm(incarnation)
        return vm if incarnation == vm.incarnation else None

    def add_outcomes(
        self, vm: ReportingVm, key: int, requests: int, failures: int, now: Millis
    ) -> None:
        """Add outcomes that a VM saw at one instance."""
        vm.add_outcomes(key, requests, failures, now)
        self._outcomes.add(requests, failures, 0, now)

    def suspect_names(self, now: Millis) -> set[str]:
        """Return the VMs whose own fault makes several instances seem to fail."""
        fleet = self._outcomes.tally(now).failure_rate
        if fleet.positives < SUSPECT_MIN_FAILURES:
            return set()
        return {name for name, vm in self._by_name.items() if vm.is_suspect(fleet, now)}

    def recent_names(self, now: Millis) -> list[str]:
        """Return the VMs that reported recently."""
        return [
            name
            for name, vm in self._by_name.items()
            if now - vm.last_report_at < SILENT_AFTER_MS
        ]

    def forget_silent(self, now: Millis) -> set[str]:
        """Drop the VMs that stopped reporting and return their names."""
        silent = self._by_name.keys() - set(self.recent_names(now))
        for name in silent:
            del self._by_name[name]
        return silent

    def forget_instance(self, key: int) -> None:
        """Drop the data of an instance that is no longer listed."""
        for vm in self._by_name.values():
            vm.forget(key)
