"""What this VM believes of every instance, and the weights that follow."""

from typing import Final, NamedTuple

from ..attempts.messages import Evidence
from ..backends.messages import Instance
from ..clock import Millis
from ..configuration.policy import Policy
from .floor import Admission, Condition, Rank, admit
from .messages import HealthState, Verdict, instance_key

VERDICT_SPAN_MS: Final = 15_000.0
UNREACHABLE_AFTER: Final = 2
FIRST_BACKOFF_MS: Final = 1000.0
LONGEST_BACKOFF_MS: Final = 15_000.0


class _Belief(NamedTuple):
    """A verdict and the time at which it was heard."""

    verdict: Verdict
    heard_at: Millis


class _Link:
    """Reach of one instance from this VM."""

    __slots__ = ("backoff", "failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.backoff = FIRST_BACKOFF_MS
        self.until: Millis = 0.0


class HealthBook:
    """Verdicts of the homes and this VM's own reach, by instance."""

    def __init__(self) -> None:
        self._beliefs_by_key: dict[int, dict[str, _Belief]] = {}
        self._link_by_address: dict[str, _Link] = {}
        self.bound_services: set[str] = set()

    def on_verdict(self, home: str, verdict: Verdict, now: Millis) -> bool:
        """Take over a verdict; True where it changes the belief."""
        before = self.state(verdict.key, now)
        beliefs = self._beliefs_by_key.setdefault(verdict.key, {})
        beliefs[home] = _Belief(verdict, now)
        return self.state(verdict.key, now) is not before

    def on_attempt(self, address: str, evidence: Evidence, now: Millis) -> bool:
        """Note whether the instance could be reached; True on a change."""
        link = self._link_by_address.get(address)
        if evidence is not Evidence.LINK:
            if link is not None and evidence is not Evidence.NONE:
                del self._link_by_address[address]
                return True
            return False
        if link is None:
            link = self._link_by_address[address] = _Link()
        link.failures += 1
        if link.failures < UNREACHABLE_AFTER:
            return False
        link.until = now + link.backoff
        link.backoff = min(LONGEST_BACKOFF_MS, link.backoff * 2.0)
        return True

    def state(self, key: int, now: Millis) -> HealthState:
        """Return the worst state that a home told lately."""
        verdict = self._verdict(key, now)
        return HealthState.HEALTHY if verdict is None else verdict.state

    def admit(
        self,
        service: str,
        instances: tuple[Instance, ...],
        cold: frozenset[str],
        policy: Policy,
        now: Millis,
    ) -> Admission:
        """Return the weights of a service's instances under its floor."""
        conditions = [
            self._condition(instance, instance.address in cold, now)
            for instance in instances
        ]
        admission = admit(conditions, policy.floor_percent)
        if admission.is_bound:
            self.bound_services.add(service)
        else:
            self.bound_services.discard(service)
        return admission

    def not_healthy(self, now: Millis) -> list[Verdict]:
        """Return the verdicts in force that are not healthy."""
        verdicts = [self._verdict(key, now) for key in list(self._beliefs_by_key)]
        return [
            verdict
            for verdict in verdicts
            if verdict is not None and verdict.state is not HealthState.HEALTHY
        ]

    def unreachable(self, now: Millis) -> list[str]:
        """Return the instances that this VM can't reach."""
        links = self._link_by_address.items()
        return sorted(address for address, link in links if link.until > now)

    def _verdict(self, key: int, now: Millis) -> Verdict | None:
        beliefs = self._beliefs_by_key.get(key)
        if beliefs is None:
            return None
        for home in [h for h, b in beliefs.items() if _is_stale(b, now)]:
            del beliefs[home]
        if not beliefs:
            del self._beliefs_by_key[key]
            return None
        return max(
            (belief.verdict for belief in beliefs.values()),
            key=lambda verdict: (verdict.state, -verdict.permille),
        )

    def _condition(self, instance: Instance, is_cold: bool, now: Millis) -> Condition:
        verdict = self._verdict(instance_key(instance.address), now)
        rank, badness, weight = Rank.HEALTHY, 0.0, 1.0
        if verdict is not None:
            rank, badness = Rank(int(verdict.state)), verdict.badness
            weight = verdict.permille / 1000.0
        link = self._link_by_address.get(instance.address)
        if link is not None and link.until > now:
            rank = Rank.UNREACHABLE
        return Condition(
            instance.address, rank, badness, weight, is_cold, instance.is_leaving
        )


def _is_stale(belief: _Belief, now: Millis) -> bool:
    return now - belief.heard_at > VERDICT_SPAN_MS
