"""Home VM of a service: merges the evidence of all VMs and decides on ejections."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .detector import (
    FAILURE_ALTERNATIVES,
    SLOW_ALTERNATIVES,
    AlarmThreshold,
    CusumTest,
    alarm_threshold,
)
from .messages import Counts, HealthState, Report, Verdict
from .readmission import HealthStateMachine
from .reporting_vms import REPORT_WINDOW_MS, ReportingVm, ReportingVms
from .siblings import InstanceStats, Siblings
from .window import DecayingWindow

LONG_WINDOW_MS: Final = 60_000.0
"""Time constant of the window that gives baselines and badness."""
SHORT_WINDOW_MS: Final = 2_000.0
"""Time constant of the window that gives the present rates."""
REFRESH_INTERVAL_MS: Final = 1_000.0
"""Interval at which silent VMs and instances that left are dropped."""


class InstanceFacts(NamedTuple):
    """Data about an instance from the VM list and its service policy.

    ``is_cold`` is True while the instance is slow after its start.
    """

    key: int
    service: str
    zone: str
    is_cold: bool


class DetectionSettings(NamedTuple):
    """Trade-off between detection time and false ejections, for one service.

    ``days_between_false_ejections`` is the mean time between false ejections of an
    instance. The longer it is, the more evidence an ejection needs.
    """

    days_between_false_ejections: float


FactsOf = Callable[[int], InstanceFacts | None]
DetectionSettingsOf = Callable[[str], DetectionSettings]


class _InstanceState:
    """Tests of one instance, and its outcomes since the last tick."""

    def __init__(self, facts: InstanceFacts) -> None:
        self.facts = facts
        self.requests = 0
        self.failures_by_reporter: dict[str, int] = {}
        self.slow_by_reporter: dict[str, int] = {}
        self.failure_test = CusumTest(FAILURE_ALTERNATIVES)
        self.slow_test = CusumTest(SLOW_ALTERNATIVES)
        self.long_window = DecayingWindow(LONG_WINDOW_MS)
        self.short_window = DecayingWindow(SHORT_WINDOW_MS)
        self.last_report_at_by_reporter: dict[str, Millis] = {}
        self.state_machine = HealthStateMachine()
        self.published_state = HealthState.HEALTHY

    def add_outcomes(
        self, reporter: str, requests: int, failures: int, slow: int
    ) -> None:
        """Add outcomes to be evaluated at the next tick."""
        self.requests += requests
        if failures:
            previous = self.failures_by_reporter.get(reporter, 0)
            self.failures_by_reporter[reporter] = previous + failures
        if slow:
            previous = self.slow_by_reporter.get(reporter, 0)
            self.slow_by_reporter[reporter] = previous + slow

    def discard_reports_of(self, suspects: set[str]) -> None:
        """Discard the failures and slow responses that the given VMs reported.

        Their cause is a fault of these VMs, such as a broken network of their own.
        """
        for name in suspects:
            failures = self.failures_by_reporter.pop(name, 0)
            self.slow_by_reporter.pop(name, None)
            self.requests = max(0, self.requests - failures)

    def update_windows(self, now: Millis) -> None:
        """Add the outcomes since the last tick to the windows."""
        failures = sum(self.failures_by_reporter.values())
        slow = sum(self.slow_by_reporter.values())
        self.long_window.add(self.requests, failures, slow, now)
        self.short_window.add(self.requests, failures, slow, now)

    def stats(self, now: Millis) -> InstanceStats:
        """Return the statistics for the comparison with the siblings."""
        return InstanceStats(
            self.facts.key,
            self.facts.zone,
            self.failure_test.score,
            self.long_window.tally(now),
            self.short_window.tally(now),
        )

    def clear(self) -> None:
        """Drop the outcomes that have been evaluated."""
        self.requests = 0
        self.failures_by_reporter = {}
        self.slow_by_reporter = {}

    def recent_reporter_count(self, now: Millis) -> int:
        """Return how many VMs recently sent requests to the instance."""
        return sum(
            1
            for reported_at in self.last_report_at_by_reporter.values()
            if now - reported_at < REPORT_WINDOW_MS
        )


class Home:
    """Evidence and verdicts of the services that this VM is a home VM of.

    Parameters
    ----------
    facts_of : callable
        Returns the facts of an instance by its key, None if it is unknown.
    settings_of : callable
        Returns the detection settings of a service.
    """

    def __init__(self, facts_of: FactsOf, settings_of: DetectionSettingsOf) -> None:
        self._facts_of = facts_of
        self._settings_of = settings_of
        self._reporting_vms = ReportingVms()
        self._instances_by_key: dict[int, _InstanceState] = {}
        self._keys_by_service: dict[str, set[int]] = {}
        self._refreshed_at: Millis = 0.0

    @property
    def instance_count(self) -> int:
        """Number of instances for which a VM has sent reports."""
        return len(self._instances_by_key)

    def on_report(
        self, reporter: str, incarnation: int, report: Report, now: Millis
    ) -> None:
        """Merge the totals of one VM; only the growth since its last report counts."""
        vm = self._reporting_vms.get_or_add(reporter, incarnation)
        if vm is None:
            return
        vm.last_report_at = now
        for counts in report.counts:
            self._merge(reporter, vm, counts, now)

    def on_tick(self, now: Millis) -> list[Verdict]:
        """Evaluate the outcomes since the last tick and return the verdicts.

        There is a verdict for every instance that is not healthy, and for those that
        have become healthy since the last tick.
        """
        if now - self._refreshed_at >= REFRESH_INTERVAL_MS:
            self._refreshed_at = now
            self._refresh(now)
        suspects = self._reporting_vms.suspect_names(now)
        verdicts: list[Verdict] = []
        for service, keys in self._keys_by_service.items():
            threshold = alarm_threshold(
                self._settings_of(service).days_between_false_ejections
            )
            instances = [self._instances_by_key[key] for key in keys]
            self._evaluate_service(instances, suspects, threshold, now)
            verdicts += self._verdicts(instances, now)
        return verdicts

    def subscribers(self, now: Millis) -> list[str]:
        """Return the VMs that reported recently and that verdicts are sent to."""
        return self._reporting_vms.recent_names(now)

    def adopt(self, verdict: Verdict, now: Millis) -> None:
        """Apply a verdict of another home VM of the same service."""
        instance = self._instance_state(verdict.key)
        if instance is not None:
            instance.state_machine.adopt(verdict.state, now)

    def _merge(
        self, reporter: str, vm: ReportingVm, counts: Counts, now: Millis
    ) -> None:
        previous = vm.totals_by_key.get(counts.key)
        if previous is not None and counts.requests <= previous.requests:
            return
        vm.totals_by_key[counts.key] = counts
        instance = self._instance_state(counts.key)
        if previous is None or instance is None:
            # The first totals include outcomes from before this VM became a home.
            return
        requests = counts.requests - previous.requests
        failures = max(0, counts.failures - previous.failures)
        slow = max(0, counts.slow - previous.slow)
        instance.last_report_at_by_reporter[reporter] = now
        instance.add_outcomes(reporter, requests, failures, slow)
        self._reporting_vms.add_outcomes(vm, counts.key, requests, failures, now)

    def _instance_state(self, key: int) -> _InstanceState | None:
        instance = self._instances_by_key.get(key)
        if instance is not None:
            return instance
        facts = self._facts_of(key)
        if facts is None:
            return None
        instance = self._instances_by_key[key] = _InstanceState(facts)
        self._keys_by_service.setdefault(facts.service, set()).add(key)
        return instance

    def _evaluate_service(
        self,
        instances: list[_InstanceState],
        suspects: set[str],
        threshold: AlarmThreshold,
        now: Millis,
    ) -> None:
        for instance in instances:
            instance.discard_reports_of(suspects)
            instance.update_windows(now)
        healthy = [i for i in instances if i.state_machine.state is HealthState.HEALTHY]
        siblings = Siblings([instance.stats(now) for instance in healthy])
        for instance in instances:
            self._evaluate(instance, siblings, threshold, now)
            instance.clear()

    def _evaluate(
        self,
        instance: _InstanceState,
        siblings: Siblings,
        threshold: AlarmThreshold,
        now: Millis,
    ) -> None:
        state_machine = instance.state_machine
        state_machine.on_tick(now)
        if not instance.requests:
            return
        key = instance.facts.key
        baseline = siblings.failure_baseline(key)
        if state_machine.state is not HealthState.HEALTHY:
            failure_count = sum(instance.failures_by_reporter.values())
            state_machine.on_outcomes(instance.requests, failure_count, baseline, now)
            return
        failures = instance.failures_by_reporter
        instance.failure_test.add(instance.requests, failures, baseline)
        if not instance.facts.is_cold:
            slow_baseline = siblings.slow_baseline(key)
            slow = instance.slow_by_reporter
            instance.slow_test.add(instance.requests, slow, slow_baseline)
        self._eject_if_alarmed(instance, siblings, threshold, now)

    def _eject_if_alarmed(
        self,
        instance: _InstanceState,
        siblings: Siblings,
        threshold: AlarmThreshold,
        now: Millis,
    ) -> None:
        for test, is_worse in (
            (instance.failure_test, siblings.is_failing_more),
            (instance.slow_test, siblings.is_slower),
        ):
            if test.score < threshold.limit:
                continue
            if not test.is_alarmed(threshold, instance.recent_reporter_count(now)):
                continue
            test.reset()
            if is_worse(instance.facts.key):
                instance.state_machine.eject(now)
                instance.failure_test.reset()
                instance.slow_test.reset()
                return

    def _verdicts(self, instances: list[_InstanceState], now: Millis) -> list[Verdict]:
        verdicts = []
        for instance in instances:
            state = instance.state_machine.state
            if state is HealthState.HEALTHY and instance.published_state is state:
                continue
            instance.published_state = state
            tally = instance.long_window.tally(now)
            badness = tally.failures / tally.requests if tally.requests else 0.0
            verdicts.append(
                Verdict(
                    instance.facts.key, state, instance.state_machine.permille, badness
                )
            )
        return verdicts

    def _refresh(self, now: Millis) -> None:
        """Drop silent VMs and instances that left; update the facts of the others."""
        silent = self._reporting_vms.forget_silent(now)
        for key, instance in list(self._instances_by_key.items()):
            for name in silent:
                instance.last_report_at_by_reporter.pop(name, None)
            facts = self._facts_of(key)
            if facts is None:
                self._forget_instance(key)
            else:
                instance.facts = facts

    def _forget_instance(self, key: int) -> None:
        service = self._instances_by_key.pop(key).facts.service
        self._keys_by_service[service].discard(key)
        if not self._keys_by_service[service]:
            del self._keys_by_service[service]
        self._reporting_vms.forget_instance(key)
