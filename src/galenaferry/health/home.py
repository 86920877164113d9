"""The home of a service: merges the evidence of all VMs and decides."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..clock import Millis
from .detector import (
    FAILURE_RATES,
    SLOW_RATES,
    Rate,
    StreamTest,
    Window,
    baseline,
    stands_out,
    threshold,
)
from .messages import Counts, HealthState, Report, Verdict
from .readmission import Course

LONG_SPAN_MS: Final = 60_000.0
SHORT_SPAN_MS: Final = 2_000.0
REPORTER_SPAN_MS: Final = 10_000.0
REPORTER_FORGOTTEN_MS: Final = 60_000.0
FAILURE_PRIOR: Final = Rate(50.0, 0.25)
SLOW_PRIOR: Final = Rate(50.0, 5.0)
SUSPECT_FAILURES: Final = 8.0
SUSPECT_RATIO: Final = 5.0
SUSPECT_INSTANCES: Final = 2


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


class _Reporter:
    """One VM as a source of evidence."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_heard: Millis = 0.0
        self.totals_by_key: dict[int, Counts] = {}
        self.failures = Window(REPORTER_SPAN_MS)
        self.failed_at_by_key: dict[int, Millis] = {}


class _Instance:
    """Evidence of one instance that has not been weighed yet, and its tests."""

    def __init__(self, facts: InstanceFacts) -> None:
        self.facts = facts
        self.requests = 0
        self.failures_by_reporter: dict[str, int] = {}
        self.slow_by_reporter: dict[str, int] = {}
        self.failure_test = StreamTest(FAILURE_RATES)
        self.slow_test = StreamTest(SLOW_RATES)
        self.failures_long = Window(LONG_SPAN_MS)
        self.failures_short = Window(SHORT_SPAN_MS)
        self.slow_long = Window(LONG_SPAN_MS)
        self.slow_short = Window(SHORT_SPAN_MS)
        self.heard_by_reporter: dict[str, Millis] = {}
        self.course = Course()
        self.told = HealthState.HEALTHY


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
        self._reporters: dict[str, _Reporter] = {}
        self._instances_by_key: dict[int, _Instance] = {}
        self._keys_by_service: dict[str, set[int]] = {}
        self._all_failures = Window(REPORTER_SPAN_MS)

    @property
    def instance_count(self) -> int:
        """Number of instances with evidence."""
        return len(self._instances_by_key)

    def on_report(
        self, reporter: str, incarnation: int, report: Report, now: Millis
    ) -> None:
        """Merge the totals of one VM; what was counted before counts once."""
        source = self._reporters.get(reporter)
        if source is None or incarnation > source.incarnation:
            source = self._reporters[reporter] = _Reporter(incarnation)
        if incarnation < source.incarnation:
            return
        source.last_heard = now
        for counts in report.counts:
            self._merge(reporter, source, counts, now)

    def on_tick(self, now: Millis) -> list[Verdict]:
        """Weigh what has come since the last tick and return the verdicts.

        The verdicts name all instances that are not healthy and those that
        have become healthy since the last tick.
        """
        suspects = self._suspect_reporters(now)
        verdicts: list[Verdict] = []
        for service, keys in self._keys_by_service.items():
            limit = threshold(self._dial_of(service).days_between_false_ejections)
            instances = [self._instances_by_key[key] for key in keys]
            self._weigh_service(instances, suspects, limit, now)
            verdicts += self._verdicts(instances)
        self._forget(now)
        return verdicts

    def subscribers(self, now: Millis) -> list[str]:
        """Return the VMs that verdicts are sent to."""
        return [
            name
            for name, source in self._reporters.items()
            if now - source.last_heard < REPORTER_FORGOTTEN_MS
        ]

    def adopt(self, verdict: Verdict, now: Millis) -> None:
        """Take over a verdict of another home of the same service."""
        instance = self._instance(verdict.key)
        if instance is not None:
            instance.course.adopt(verdict.state, now)

    def _merge(
        self, reporter: str, source: _Reporter, counts: Counts, now: Millis
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
        instance.requests += requests
        instance.heard_by_reporter[reporter] = now
        if failures:
            pending = instance.failures_by_reporter
            pending[reporter] = pending.get(reporter, 0) + failures
        if slow:
            pending = instance.slow_by_reporter
            pending[reporter] = pending.get(reporter, 0) + slow
        if failures:
            source.failed_at_by_key[counts.key] = now
        source.failures.add(requests, failures, now)
        self._all_failures.add(requests, failures, now)

    def _instance(self, key: int) -> _Instance | None:
        instance = self._instances_by_key.get(key)
        facts = self._facts_of(key)
        if facts is None:
            return None
        if instance is None:
            instance = self._instances_by_key[key] = _Instance(facts)
            self._keys_by_service.setdefault(facts.service, set()).add(key)
        instance.facts = facts
        return instance

    def _weigh_service(
        self,
        instances: list[_Instance],
        suspects: set[str],
        limit: float,
        now: Millis,
    ) -> None:
        for instance in instances:
            _drop_suspects(instance, suspects)
            _count(instance, now)
        pool = _Pool(instances, now)
        for instance in instances:
            self._weigh(instance, pool, limit, now)
        for instance in instances:
            _clear(instance)

    def _weigh(
        self,
        instance: _Instance,
        pool: "_Pool",
        limit: float,
        now: Millis,
    ) -> None:
        course = instance.course
        course.on_tick(now)
        if not instance.requests:
            return
        failure_base = pool.failure_baseline(instance)
        bad = sum(instance.failures_by_reporter.values())
        if course.state is not HealthState.HEALTHY:
            course.on_outcomes(instance.requests, bad, failure_base, now)
            return
        instance.failure_test.add(
            instance.requests, instance.failures_by_reporter, failure_base
        )
        if not instance.facts.is_cold:
            instance.slow_test.add(
                instance.requests,
                instance.slow_by_reporter,
                pool.slow_baseline(instance),
            )
        self._eject_if_alarmed(instance, pool, limit, now)

    def _eject_if_alarmed(
        self, instance: _Instance, pool: "_Pool", limit: float, now: Millis
    ) -> None:
        heard = instance.heard_by_reporter
        recent = sum(1 for at in heard.values() if now - at < REPORTER_SPAN_MS)
        for test, is_worse in (
            (instance.failure_test, pool.fails_more),
            (instance.slow_test, pool.is_slower),
        ):
            if not test.is_alarmed(limit, recent):
                continue
            test.reset()
            if is_worse(instance):
                instance.course.eject(now)
                return

    def _suspect_reporters(self, now: Millis) -> set[str]:
        """Return the VMs whose own trouble makes several instances look sick."""
        total = self._all_failures.rate(now)
        if total.positives < SUSPECT_FAILURES:
            return set()
        return {
            name
            for name, source in self._reporters.items()
            if _is_failing_widely(source, now)
            and _is_suspect(source.failures.rate(now), total)
        }

    def _verdicts(self, instances: list[_Instance]) -> list[Verdict]:
        verdicts = []
        for instance in instances:
            state = instance.course.state
            if state is HealthState.HEALTHY and instance.told is state:
                continue
            instance.told = state
            rate = instance.failures_long
            badness = rate.positives / rate.requests if rate.requests else 0.0
            verdicts.append(
                Verdict(instance.facts.key, state, instance.course.permille, badness)
            )
        return verdicts

    def _forget(self, now: Millis) -> None:
        """Drop VMs that fell silent and instances that left the list."""
        for name in list(self._reporters):
            if now - self._reporters[name].last_heard > REPORTER_FORGOTTEN_MS:
                del self._reporters[name]
        for key in list(self._instances_by_key):
            if self._facts_of(key) is None:
                service = self._instances_by_key.pop(key).facts.service
                self._keys_by_service[service].discard(key)


def _drop_suspects(instance: _Instance, suspects: set[str]) -> None:
    for name in suspects:
        failures = instance.failures_by_reporter.pop(name, 0)
        instance.slow_by_reporter.pop(name, None)
        instance.requests = max(0, instance.requests - failures)


def _count(instance: _Instance, now: Millis) -> None:
    failures = sum(instance.failures_by_reporter.values())
    slow = sum(instance.slow_by_reporter.values())
    instance.failures_long.add(instance.requests, failures, now)
    instance.failures_short.add(instance.requests, failures, now)
    instance.slow_long.add(instance.requests, slow, now)
    instance.slow_short.add(instance.requests, slow, now)


def _clear(instance: _Instance) -> None:
    instance.requests = 0
    instance.failures_by_reporter = {}
    instance.slow_by_reporter = {}


class _Shown(NamedTuple):
    """Rates that one instance shows, over a long and a short window."""

    failures_long: Rate
    failures_short: Rate
    slow_long: Rate
    slow_short: Rate


class _Pool:
    """Rates of all healthy instances of a service at one tick."""

    def __init__(self, instances: list[_Instance], now: Millis) -> None:
        self._shown_by_key: dict[int, _Shown] = {}
        self._keys_by_zone: dict[str, list[int]] = {}
        self._worst = 0
        worst_score = -1.0
        for instance in instances:
            if instance.course.state is not HealthState.HEALTHY:
                continue
            key = instance.facts.key
            self._shown_by_key[key] = _show(instance, now)
            self._keys_by_zone.setdefault(instance.facts.zone, []).append(key)
            if instance.failure_test.score > worst_score:
                self._worst, worst_score = key, instance.failure_test.score
        shown = self._shown_by_key.values()
        self._long = _sum([rates.failures_long for rates in shown])
        self._short = _sum([rates.failures_short for rates in shown])

    def failure_baseline(self, instance: _Instance) -> float:
        """Return the siblings' failure rate, without the one that looks worst."""
        key = instance.facts.key
        left_out = {key}
        if len(self._shown_by_key) > 3:
            left_out.add(self._worst)
        long, short = self._long, self._short
        for other in left_out:
            shown = self._shown_by_key.get(other)
            if shown is not None:
                long = long.minus(shown.failures_long)
                short = short.minus(shown.failures_short)
        return baseline(long, short, FAILURE_PRIOR)

    def fails_more(self, instance: _Instance) -> bool:
        """Whether an instance fails more than its siblings at this moment."""
        key = instance.facts.key
        others = [rates for k, rates in self._shown_by_key.items() if k != key]
        failures = _sum([rates.failures_short for rates in others])
        return stands_out(self._shown_by_key[key].failures_short, failures)

    def is_slower(self, instance: _Instance) -> bool:
        """Whether an instance is slower than its siblings at this moment."""
        slow = _sum([rates.slow_short for rates in self._near(instance)])
        return stands_out(self._shown_by_key[instance.facts.key].slow_short, slow)

    def slow_baseline(self, instance: _Instance) -> float:
        """Return the rate of slow answers of siblings, of the same zone if any."""
        shown = self._near(instance)
        long = _sum([rates.slow_long for rates in shown])
        short = _sum([rates.slow_short for rates in shown])
        return baseline(long, short, SLOW_PRIOR)

    def _near(self, instance: _Instance) -> list[_Shown]:
        key = instance.facts.key
        near = [k for k in self._keys_by_zone.get(instance.facts.zone, ()) if k != key]
        keys = near or [k for k in self._shown_by_key if k != key]
        return [self._shown_by_key[k] for k in keys]


def _show(instance: _Instance, now: Millis) -> _Shown:
    return _Shown(
        instance.failures_long.rate(now),
        instance.failures_short.rate(now),
        instance.slow_long.rate(now),
        instance.slow_short.rate(now),
    )


def _sum(rates: list[Rate]) -> Rate:
    total = Rate(0.0, 0.0)
    for rate in rates:
        total = total.plus(rate)
    return total


def _is_failing_widely(source: _Reporter, now: Millis) -> bool:
    times = source.failed_at_by_key.values()
    recent = sum(1 for at in times if now - at < REPORTER_SPAN_MS)
    return recent >= SUSPECT_INSTANCES


def _is_suspect(rate: Rate, total: Rate) -> bool:
    """Whether a VM sees far more failures than all other VMs."""
    others = Rate(total.requests - rate.requests, total.positives - rate.positives)
    if rate.positives < SUSPECT_FAILURES or others.requests < 1.0:
        return False
    expected = (others.positives + 1.0) / (others.requests + 1.0)
    return rate.positives / rate.requests > SUSPECT_RATIO * expected
