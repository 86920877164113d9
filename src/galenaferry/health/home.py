"""The home of a service: merges the evidence of all VMs and decides."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .detector import (
    FAILURE_ALTERNATIVES,
    SLOW_ALTERNATIVES,
    StreamTest,
    Strictness,
    strictness,
)
from .messages import Counts, HealthState, Report, Verdict
from .readmission import Course
from .reporters import SPAN_MS, Reporter, Reporters
from .siblings import Shown, Siblings
from .window import Window

LONG_SPAN_MS: Final = 60_000.0
SHORT_SPAN_MS: Final = 2_000.0
REFRESH_MS: Final = 1_000.0


class InstanceFacts(NamedTuple):
    """What the directory says of an instance."""

    key: int
    service: str
    zone: str
    is_cold: bool


class Dial(NamedTuple):
    """The trade-off between detection time and false ejections of a service."""

    days_between_false_ejections: float


FactsOf = Callable[[int], InstanceFacts | None]
DialOf = Callable[[str], Dial]


class _Instance:
    """Evidence of one instance that has not been weighed yet, and its tests."""

    def __init__(self, facts: InstanceFacts) -> None:
        self.facts = facts
        self.requests = 0
        self.failures_by_reporter: dict[str, int] = {}
        self.slow_by_reporter: dict[str, int] = {}
        self.failure_test = StreamTest(FAILURE_ALTERNATIVES)
        self.slow_test = StreamTest(SLOW_ALTERNATIVES)
        self.long = Window(LONG_SPAN_MS)
        self.short = Window(SHORT_SPAN_MS)
        self.heard_by_reporter: dict[str, Millis] = {}
        self.course = Course()
        self.told = HealthState.HEALTHY

    def add(self, reporter: str, requests: int, failures: int, slow: int) -> None:
        """Add outcomes that wait to be weighed."""
        self.requests += requests
        if failures:
            known = self.failures_by_reporter.get(reporter, 0)
            self.failures_by_reporter[reporter] = known + failures
        if slow:
            known = self.slow_by_reporter.get(reporter, 0)
            self.slow_by_reporter[reporter] = known + slow

    def drop(self, suspects: set[str]) -> None:
        """Leave out what VMs say whose own network is broken."""
        for name in suspects:
            failures = self.failures_by_reporter.pop(name, 0)
            self.slow_by_reporter.pop(name, None)
            self.requests = max(0, self.requests - failures)

    def count(self, now: Millis) -> None:
        """Move the waiting outcomes into the windows."""
        failures = sum(self.failures_by_reporter.values())
        slow = sum(self.slow_by_reporter.values())
        self.long.add(self.requests, failures, slow, now)
        self.short.add(self.requests, failures, slow, now)

    def show(self, now: Millis) -> Shown:
        """Return what the instance shows to its siblings."""
        return Shown(
            self.facts.key,
            self.facts.zone,
            self.failure_test.score,
            self.long.tally(now),
            self.short.tally(now),
        )

    def clear(self) -> None:
        """Forget the outcomes that have been weighed."""
        self.requests = 0
        self.failures_by_reporter = {}
        self.slow_by_reporter = {}

    def recent_reporters(self, now: Millis) -> int:
        """Return how many VMs sent the instance work lately."""
        return sum(1 for at in self.heard_by_reporter.values() if now - at < SPAN_MS)


class Home:
    """Evidence and verdicts of the services that this VM is a home of.

    Parameters
    ----------
    facts_of : callable
        Gives the facts of an instance by its key, None where it is unknown.
    dial_of : callable
        Gives the dial of a service.
    """

    def __init__(self, facts_of: FactsOf, dial_of: DialOf) -> None:
        self._facts_of = facts_of
        self._dial_of = dial_of
        self._reporters = Reporters()
        self._instances_by_key: dict[int, _Instance] = {}
        self._keys_by_service: dict[str, set[int]] = {}
        self._refreshed_at: Millis = 0.0

    @property
    def instance_count(self) -> int:
        """Number of instances with evidence."""
        return len(self._instances_by_key)

    def on_report(
        self, reporter: str, incarnation: int, report: Report, now: Millis
    ) -> None:
        """Merge the totals of one VM; what was counted before counts once."""
        source = self._reporters.reporter(reporter, incarnation)
        if source is None:
            return
        source.last_heard = now
        for counts in report.counts:
            self._merge(reporter, source, counts, now)

    def on_tick(self, now: Millis) -> list[Verdict]:
        """Weigh what has come since the last tick and return the verdicts.

        The verdicts name all instances that are not healthy and those that
        have become healthy since the last tick.
        """
        if now - self._refreshed_at >= REFRESH_MS:
            self._refreshed_at = now
            self._refresh(now)
        suspects = self._reporters.suspects(now)
        verdicts: list[Verdict] = []
        for service, keys in self._keys_by_service.items():
            needed = strictness(self._dial_of(service).days_between_false_ejections)
            instances = [self._instances_by_key[key] for key in keys]
            self._weigh_service(instances, suspects, needed, now)
            verdicts += self._verdicts(instances, now)
        return verdicts

    def subscribers(self, now: Millis) -> list[str]:
        """Return the VMs that verdicts are sent to."""
        return self._reporters.recent(now)

    def adopt(self, verdict: Verdict, now: Millis) -> None:
        """Take over a verdict of another home of the same service."""
        instance = self._instance(verdict.key)
        if instance is not None:
            instance.course.adopt(verdict.state, now)

    def _merge(
        self, reporter: str, source: Reporter, counts: Counts, now: Millis
    ) -> None:
        known = source.totals_by_key.get(counts.key)
        if known is not None and counts.requests <= known.requests:
            return
        source.totals_by_key[counts.key] = counts
        instance = self._instance(counts.key)
        if known is None or instance is None:
            # Totals from before this home was asked are history, not news.
            return
        requests = counts.requests - known.requests
        failures = max(0, counts.failures - known.failures)
        slow = max(0, counts.slow - known.slow)
        instance.heard_by_reporter[reporter] = now
        instance.add(reporter, requests, failures, slow)
        self._reporters.count(source, counts.key, requests, failures, now)

    def _instance(self, key: int) -> _Instance | None:
        instance = self._instances_by_key.get(key)
        if instance is not None:
            return instance
        facts = self._facts_of(key)
        if facts is None:
            return None
        instance = self._instances_by_key[key] = _Instance(facts)
        self._keys_by_service.setdefault(facts.service, set()).add(key)
        return instance

    def _weigh_service(
        self,
        instances: list[_Instance],
        suspects: set[str],
        needed: Strictness,
        now: Millis,
    ) -> None:
        for instance in instances:
            instance.drop(suspects)
            instance.count(now)
        healthy = [i for i in instances if i.course.state is HealthState.HEALTHY]
        siblings = Siblings([instance.show(now) for instance in healthy])
        for instance in instances:
            self._weigh(instance, siblings, needed, now)
            instance.clear()

    def _weigh(
        self, instance: _Instance, siblings: Siblings, needed: Strictness, now: Millis
    ) -> None:
        course = instance.course
        course.on_tick(now)
        if not instance.requests:
            return
        key = instance.facts.key
        base = siblings.failure_baseline(key)
        if course.state is not HealthState.HEALTHY:
            bad = sum(instance.failures_by_reporter.values())
            course.on_outcomes(instance.requests, bad, base, now)
            return
        failures = instance.failures_by_reporter
        instance.failure_test.add(instance.requests, failures, base)
        if not instance.facts.is_cold:
            slow_base = siblings.slow_baseline(key)
            slow = instance.slow_by_reporter
            instance.slow_test.add(instance.requests, slow, slow_base)
        self._eject_if_alarmed(instance, siblings, needed, now)

    def _eject_if_alarmed(
        self, instance: _Instance, siblings: Siblings, needed: Strictness, now: Millis
    ) -> None:
        for test, is_worse in (
            (instance.failure_test, siblings.fails_more),
            (instance.slow_test, siblings.is_slower),
        ):
            if test.score < needed.limit:
                continue
            if not test.is_alarmed(needed, instance.recent_reporters(now)):
                continue
            test.reset()
            if is_worse(instance.facts.key):
                instance.course.eject(now)
                instance.failure_test.reset()
                instance.slow_test.reset()
                return

    def _verdicts(self, instances: list[_Instance], now: Millis) -> list[Verdict]:
        verdicts = []
        for instance in instances:
            state = instance.course.state
            if state is HealthState.HEALTHY and instance.told is state:
                continue
            instance.told = state
            tally = instance.long.tally(now)
            badness = tally.failures / tally.requests if tally.requests else 0.0
            verdicts.append(
                Verdict(instance.facts.key, state, instance.course.permille, badness)
            )
        return verdicts

    def _refresh(self, now: Millis) -> None:
        """Drop VMs that fell silent and instances that left, and renew facts."""
        silent = self._reporters.forget_silent(now)
        for key, instance in list(self._instances_by_key.items()):
            for name in silent:
                instance.heard_by_reporter.pop(name, None)
            facts = self._facts_of(key)
            if facts is None:
                self._drop(key)
            else:
                instance.facts = facts

    def _drop(self, key: int) -> None:
        service = self._instances_by_key.pop(key).facts.service
        self._keys_by_service[service].discard(key)
        if not self._keys_by_service[service]:
            del self._keys_by_service[service]
        self._reporters.forget_instance(key)
