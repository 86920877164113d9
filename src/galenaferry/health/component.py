"""Health checking by real traffic on this VM: reports, verdicts and weights."""

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
from .home import DetectionSettings, Home, InstanceFacts
from .home_vms import home_vms
from .messages import HealthState, Report, Verdict, Verdicts, instance_key
from .report_sender import ReportSender
from .state import HealthView

TICK_MS: Final = 200.0
"""Interval at which reports are sent and evidence is evaluated."""
REPUBLISH_INTERVAL_MS: Final = 2_000.0
"""Interval at which all verdicts are sent again, before they expire at the VMs."""
VERDICTS_PER_DATAGRAM: Final = 40

log = logger("health")


class HealthComponent(BaseComponent):
    """Evidence and verdicts of this VM, in its role as reporter and as home VM.

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
        self._home_vms_by_service: dict[str, tuple[str, ...]] = {}
        self._published_by_key: dict[int, Verdict] = {}
        self._published_all_at: Millis = 0.0
        self._live_addresses: frozenset[str] = frozenset()
        self.is_cold: Callable[[Instance, Policy], bool] = _never_cold
        self.routes: RouteTable | None = None
        self.evidence = LocalEvidence()
        self.view = HealthView()
        self.home = Home(self._instance_facts, self._detection_settings)
        self._report_sender = ReportSender(self.evidence, self._home_vms)
        loop.every(TICK_MS, self._tick)

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the known instances by those of the newest VM list."""
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
        """Count the outcome of one attempt (see ``requests.context.Observer``)."""
        now = self._loop.clock.now()
        if self.view.on_attempt(address, evidence, now):
            self._on_change()
        instance = self._instance_by_key.get(self._key_by_address.get(address, 0))
        if instance is None:
            return
        is_failure = self.evidence.observe(
            address, instance.zone, route, target, evidence, latency, now
        )
        if evidence is Evidence.SUCCESS or is_failure:
            self._report_sender.mark_changed(service, address, is_failure, now)

    def service_health(
        self, service: str, instances: tuple[Instance, ...], policy: Policy
    ) -> ServiceHealth:
        """Return the weights of all instances and which are on probation."""
        cold = frozenset(i.address for i in instances if self.is_cold(i, policy))
        now = self._loop.clock.now()
        decision = self.view.apply_floor(service, instances, cold, policy, now)
        return ServiceHealth(decision.weight_by_address, decision.on_probation)

    def on_report(self, sender: Member, report: Report) -> None:
        """Merge the evidence of another VM."""
        now = self._loop.clock.now()
        self.home.on_report(sender.address, sender.incarnation, report, now)

    def on_verdicts(self, sender: Member, verdicts: Verdicts) -> None:
        """Apply the verdicts of a home VM."""
        now = self._loop.clock.now()
        me = self._members.me.address
        for verdict in verdicts.verdicts:
            instance = self._instance_by_key.get(verdict.key)
            if instance is None:
                continue
            if me in self._home_vms(instance.service) and sender.address != me:
                self.home.adopt(verdict, now)
            if self.view.on_verdict(sender.address, verdict, now):
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
                for verdict in self.view.not_healthy(now)
            ],
            "unreachable": self.view.unreachable(now),
            "floor_bound": sorted(self.view.floor_bound_services),
            "instances_judged_here": self.home.instance_count,
        }

    def _tick(self) -> None:
        now = self._loop.clock.now()
        self._refresh_home_vms()
        for home, report in self._report_sender.flush(now):
            if home == self._members.me.address:
                self.on_report(self._members.me, report)
            else:
                self._send(home, report)
        self._publish(self.home.on_tick(now), now)

    def _publish(self, verdicts: list[Verdict], now: Millis) -> None:
        """Send changed verdicts at once, and all of them at regular intervals."""
        published = {verdict.key: verdict for verdict in verdicts}
        due = [
            v
            for v in verdicts
            if _has_state_changed(self._published_by_key.get(v.key), v)
        ]
        self._published_by_key = published
        if now - self._published_all_at >= REPUBLISH_INTERVAL_MS:
            self._published_all_at = now
            due = verdicts
        if not due:
            return
        for start in range(0, len(due), VERDICTS_PER_DATAGRAM):
            batch = Verdicts(tuple(due[start : start + VERDICTS_PER_DATAGRAM]))
            for address in self._recipients(batch, now):
                if address == self._members.me.address:
                    self.on_verdicts(self._members.me, batch)
                else:
                    self._send(address, batch)

    def _recipients(self, batch: Verdicts, now: Millis) -> set[str]:
        recipients = set(self.home.subscribers(now))
        recipients.add(self._members.me.address)
        for verdict in batch.verdicts:
            instance = self._instance_by_key.get(verdict.key)
            if instance is not None:
                recipients.update(self._home_vms(instance.service))
        return recipients

    def _home_vms(self, service: str) -> tuple[str, ...]:
        home_addresses = self._home_vms_by_service.get(service)
        if home_addresses is None:
            live = self._members.live_in_region(self._loop.clock.now())
            home_addresses = home_vms(service, [member.address for member in live])
            self._home_vms_by_service[service] = home_addresses
        return home_addresses

    def _refresh_home_vms(self) -> None:
        """Drop the cached home VMs if the live members have changed."""
        live = self._members.live_in_region(self._loop.clock.now())
        addresses = frozenset(member.address for member in live)
        if addresses != self._live_addresses:
            self._live_addresses = addresses
            self._home_vms_by_service.clear()

    def _instance_facts(self, key: int) -> InstanceFacts | None:
        instance = self._instance_by_key.get(key)
        if instance is None or self.routes is None:
            return None
        policy = self.routes.service_policy(instance.service)
        is_cold = self.is_cold(instance, policy)
        return InstanceFacts(key, instance.service, instance.zone, is_cold)

    def _detection_settings(self, service: str) -> DetectionSettings:
        if self.routes is None:
            return DetectionSettings(1.0)
        policy = self.routes.service_policy(service)
        return DetectionSettings(float(policy.days_between_false_ejections))

    def _address(self, key: int) -> str:
        instance = self._instance_by_key.get(key)
        return instance.address if instance is not None else f"unknown {key:x}"


def _has_state_changed(published: Verdict | None, verdict: Verdict) -> bool:
    state = HealthState.HEALTHY if published is None else published.state
    return state is not verdict.state


def _never_cold(instance: Instance, policy: Policy) -> bool:
    """Serve as default until ``is_cold`` is set."""
    return False
