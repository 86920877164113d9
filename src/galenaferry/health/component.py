"""Health of instances at this VM: evidence out, verdicts in, weights."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from circuits import BaseComponent

from ..attempts.messages import Evidence
from ..backends.directory import ServiceHealth
from ..backends.messages import Instance
from ..clock import Millis
from ..configuration.policy import Policy
from ..logs import logger
from ..membership.messages import Member
from ..membership.state import MemberTable
from ..network.loop import Loop
from ..routing.table import RouteTable
from .evidence import LocalEvidence
from .home import Dial, Home, InstanceFacts
from .homes import homes
from .messages import HealthState, Report, Verdict, Verdicts, instance_key
from .reporter import Reporter
from .state import HealthBook

TICK_MS: Final = 200.0
REPEAT_MS: Final = 2_000.0
VERDICTS_PER_DATAGRAM: Final = 40

log = logger("health")


class HealthComponent(BaseComponent):
    """Evidence, homes and verdicts of this VM.

    Parameters
    ----------
    loop : Loop
    members : MemberTable
    send : callable
        Sends a report or verdicts to another VM.
    on_change : callable
        Called when weights may have changed.
    """

    channel = "health"

    def __init__(
        self,
        loop: Loop,
        members: MemberTable,
        send: Callable[[str, Report | Verdicts], None],
        on_change: Callable[[], None],
    ) -> None:
        super().__init__()
        self._loop = loop
        self._members = members
        self._send = send
        self._on_change = on_change
        self._instance_by_key: dict[int, Instance] = {}
        self._key_by_address: dict[str, int] = {}
        self._homes_by_service: dict[str, tuple[str, ...]] = {}
        self._told: dict[int, Verdict] = {}
        self._told_at: Millis = 0.0
        self._members_seen: frozenset[str] = frozenset()
        self.is_cold: Callable[[Instance, Policy], bool] = _never_cold
        self.routes: RouteTable | None = None
        self.evidence = LocalEvidence()
        self.book = HealthBook()
        self.home = Home(self._facts, self._dial)
        self._reporter = Reporter(self.evidence, self._homes)
        loop.every(TICK_MS, self._tick)

    def replace(self, instances: Iterable[Instance]) -> None:
        """Take over the instances of the newest VM list."""
        instance_by_key = {instance_key(i.address): i for i in instances}
        for key in self._instance_by_key.keys() - instance_by_key.keys():
            self.evidence.forget(self._instance_by_key[key].address)
        self._instance_by_key = instance_by_key
        self._key_by_address = {i.address: k for k, i in instance_by_key.items()}

    def observe(
        self,
        service: str,
        address: str,
        route: str,
        target: bytes,
        evidence: Evidence,
        latency: Millis,
    ) -> None:
        """Count the end of one attempt (see ``requests.context.Observer``)."""
        now = self._loop.clock.now()
        if self.book.on_attempt(address, evidence, now):
            self._on_change()
        instance = self._instance_by_key.get(self._key_by_address.get(address, 0))
        if instance is None:
            return
        is_failure = self.evidence.observe(
            address, instance.zone, route, target, evidence, latency, now
        )
        if evidence is Evidence.SUCCESS or is_failure:
            self._reporter.mark(service, address, is_failure, now)

    def service_health(
        self, service: str, instances: tuple[Instance, ...], policy: Policy
    ) -> ServiceHealth:
        """Return the weights of all instances and which are on trial."""
        cold = frozenset(i.address for i in instances if self.is_cold(i, policy))
        now = self._loop.clock.now()
        admission = self.book.admit(service, instances, cold, policy, now)
        return ServiceHealth(admission.weight_by_address, admission.on_trial)

    def on_report(self, sender: Member, report: Report) -> None:
        """Merge the evidence of another VM."""
        now = self._loop.clock.now()
        self.home.on_report(sender.address, sender.incarnation, report, now)

    def on_verdicts(self, sender: Member, verdicts: Verdicts) -> None:
        """Take over the verdicts of a home."""
        now = self._loop.clock.now()
        me = self._members.me.address
        for verdict in verdicts.verdicts:
            instance = self._instance_by_key.get(verdict.key)
            if instance is None:
                continue
            if me in self._homes(instance.service) and sender.address != me:
                self.home.adopt(verdict, now)
            if self.book.on_verdict(sender.address, verdict, now):
                log.warning(
                    "health changed",
                    instance=instance.address,
                    service=instance.service,
                    state=verdict.state.name.lower(),
                    home=sender.address,
                )
                self._on_change()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        return {
            "not_healthy": [
                {
                    "instance": self._address(verdict.key),
                    "state": verdict.state.name.lower(),
                    "permille": verdict.permille,
                    "badness": round(verdict.badness, 4),
                }
                for verdict in self.book.not_healthy(now)
            ],
            "unreachable": self.book.unreachable(now),
            "floor_bound": sorted(self.book.bound_services),
            "instances_judged_here": self.home.instance_count,
        }

    def _tick(self) -> None:
        now = self._loop.clock.now()
        self._refresh_homes()
        for home, report in self._reporter.flush(now):
            if home == self._members.me.address:
                self.on_report(self._members.me, report)
            else:
                self._send(home, report)
        self._publish(self.home.on_tick(now), now)

    def _publish(self, verdicts: list[Verdict], now: Millis) -> None:
        """Send verdicts that are new at once, and all of them now and then."""
        told = {verdict.key: verdict for verdict in verdicts}
        changed = [v for v in verdicts if _is_news(self._told.get(v.key), v)]
        self._told = told
        if now - self._told_at >= REPEAT_MS:
            self._told_at = now
            changed = verdicts
        if not changed:
            return
        for start in range(0, len(changed), VERDICTS_PER_DATAGRAM):
            part = Verdicts(tuple(changed[start : start + VERDICTS_PER_DATAGRAM]))
            for address in self._audience(part, now):
                if address == self._members.me.address:
                    self.on_verdicts(self._members.me, part)
                else:
                    self._send(address, part)

    def _audience(self, part: Verdicts, now: Millis) -> set[str]:
        audience = set(self.home.subscribers(now))
        audience.add(self._members.me.address)
        for verdict in part.verdicts:
            instance = self._instance_by_key.get(verdict.key)
            if instance is not None:
                audience.update(self._homes(instance.service))
        return audience

    def _homes(self, service: str) -> tuple[str, ...]:
        known = self._homes_by_service.get(service)
        if known is None:
            live = self._members.live_in_region(self._loop.clock.now())
            known = homes(service, [member.address for member in live])
            self._homes_by_service[service] = known
        return known

    def _refresh_homes(self) -> None:
        """Forget the computed homes where the live members have changed."""
        live = self._members.live_in_region(self._loop.clock.now())
        addresses = frozenset(member.address for member in live)
        if addresses != self._members_seen:
            self._members_seen = addresses
            self._homes_by_service.clear()

    def _facts(self, key: int) -> InstanceFacts | None:
        instance = self._instance_by_key.get(key)
        if instance is None or self.routes is None:
            return None
        policy = self.routes.service_policy(instance.service)
        is_cold = self.is_cold(instance, policy)
        return InstanceFacts(key, instance.service, instance.zone, is_cold)

    def _dial(self, service: str) -> Dial:
        if self.routes is None:
            return Dial(1.0)
        policy = self.routes.service_policy(service)
        return Dial(float(policy.days_between_false_ejections))

    def _address(self, key: int) -> str:
        instance = self._instance_by_key.get(key)
        return instance.address if instance is not None else f"unknown {key:x}"


def _is_news(told: Verdict | None, verdict: Verdict) -> bool:
    state = HealthState.HEALTHY if told is None else told.state
    return state is not verdict.state


def _never_cold(instance: Instance, policy: Policy) -> bool:
    """Stand in until the directory is bound."""
    return False
