"""Health of all instances in the view of this VM, and the resulting weights."""

from typing import Final, NamedTuple

from ..attempts.messages import Evidence
from ..backends.messages import Instance
from ..clock import Millis
from ..configuration.policy import Policy
from .floor import FloorDecision, InstanceHealth, Rank, apply_floor
from .messages import HealthState, Verdict, instance_key

VERDICT_TTL_MS: Final = 15_000.0
"""Time after which a verdict that its home VM did not repeat expires."""
UNREACHABLE_AFTER_FAILURES: Final = 2
"""Consecutive failures to reach an instance after which it is excluded."""
INITIAL_BACKOFF_MS: Final = 1000.0
"""First time for which an unreachable instance is excluded; later ones double."""
MAX_BACKOFF_MS: Final = 15_000.0
"""Longest time for which an unreachable instance is excluded."""


class _ReceivedVerdict(NamedTuple):
    """A verdict and the time at which it arrived."""

    verdict: Verdict
    received_at: Millis


class _Reachability:
    """Failures of this VM to reach one instance.

    ``placing.reachability`` does the same for VMs of ``galenaferry.node``.
    """

    __slots__ = ("backoff", "failures", "unreachable_until")

    def __init__(self) -> None:
        self.failures = 0
        self.backoff = INITIAL_BACKOFF_MS
        self.unreachable_until: Millis = 0.0


class HealthView:
    """Verdicts of the home VMs, and instances that this VM can't reach."""

    def __init__(self) -> None:
        self._received_by_key: dict[int, dict[str, _ReceivedVerdict]] = {}
        self._reachability_by_address: dict[str, _Reachability] = {}
        self.floor_bound_services: set[str] = set()

    def on_verdict(self, home: str, verdict: Verdict, now: Millis) -> bool:
        """Store a verdict; return whether it changes the state of the instance."""
        before = self.state(verdict.key, now)
        received_by_home = self._received_by_key.setdefault(verdict.key, {})
        received_by_home[home] = _ReceivedVerdict(verdict, now)
        return self.state(verdict.key, now) is not before

    def on_attempt(self, address: str, evidence: Evidence, now: Millis) -> bool:
        """Record whether an attempt reached its instance.

        Returns whether weights may have changed.
        """
        reachability = self._reachability_by_address.get(address)
        if evidence is not Evidence.LINK:
            if reachability is not None and evidence is not Evidence.NONE:
                del self._reachability_by_address[address]
                return True
            return False
        if reachability is None:
            reachability = self._reachability_by_address[address] = _Reachability()
        reachability.failures += 1
        if reachability.failures < UNREACHABLE_AFTER_FAILURES:
            return False
        reachability.unreachable_until = now + reachability.backoff
        reachability.backoff = min(MAX_BACKOFF_MS, reachability.backoff * 2.0)
        return True

    def state(self, key: int, now: Millis) -> HealthState:
        """Return the worst state among the verdicts in force."""
        verdict = self._worst_verdict(key, now)
        return HealthState.HEALTHY if verdict is None else verdict.state

    def apply_floor(
        self,
        service: str,
        instances: tuple[Instance, ...],
        cold: frozenset[str],
        policy: Policy,
        now: Millis,
    ) -> FloorDecision:
        """Return the weights of a service's instances under its floor."""
        health_of_instances = [
            self._instance_health(instance, instance.address in cold, now)
            for instance in instances
        ]
        decision = apply_floor(health_of_instances, policy.floor_percent)
        if decision.is_floor_bound:
            self.floor_bound_services.add(service)
        else:
            self.floor_bound_services.discard(service)
        return decision

    def not_healthy(self, now: Millis) -> list[Verdict]:
        """Return the verdicts in force that are not healthy."""
        verdicts = [
            self._worst_verdict(key, now) for key in list(self._received_by_key)
        ]
        return [
            verdict
            for verdict in verdicts
            if verdict is not None and verdict.state is not HealthState.HEALTHY
        ]

    def unreachable(self, now: Millis) -> list[str]:
        """Return the addresses of the instances that this VM can't reach."""
        reachabilities = self._reachability_by_address.items()
        return sorted(
            address
            for address, reachability in reachabilities
            if reachability.unreachable_until > now
        )

    def _worst_verdict(self, key: int, now: Millis) -> Verdict | None:
        received_by_home = self._received_by_key.get(key)
        if received_by_home is None:
            return None
        for home in [h for h, r in received_by_home.items() if _is_expired(r, now)]:
            del received_by_home[home]
        if not received_by_home:
            del self._received_by_key[key]
            return None
        return max(
            (received.verdict for received in received_by_home.values()),
            key=lambda verdict: (verdict.state, -verdict.permille),
        )

    def _instance_health(
        self, instance: Instance, is_cold: bool, now: Millis
    ) -> InstanceHealth:
        verdict = self._worst_verdict(instance_key(instance.address), now)
        rank, badness, weight = Rank.HEALTHY, 0.0, 1.0
        if verdict is not None:
            rank, badness = Rank(int(verdict.state)), verdict.badness
            weight = verdict.permille / 1000.0
        reachability = self._reachability_by_address.get(instance.address)
        if reachability is not None and reachability.unreachable_until > now:
            rank = Rank.UNREACHABLE
        return InstanceHealth(
            instance.address, rank, badness, weight, is_cold, instance.is_leaving
        )


def _is_expired(received: _ReceivedVerdict, now: Millis) -> bool:
    return now - received.received_at > VERDICT_TTL_MS
