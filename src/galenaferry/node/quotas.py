"""Connects the rate limits of workspaces to the fleet.

Reports of usage go to the hubs of each zone, two of its VMs that gather them for some
milliseconds and forward them within the zone (see ``broadcasts``).
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Final, Protocol

from ..clock import Millis
from ..discovery.readers import reader_order
from ..membership.messages import Member
from ..membership.state import MemberTable
from ..network.loop import Loop, Timer
from ..quotas.component import FleetQuotas
from ..quotas.messages import MAX_ROWS_PER_REPORT, QuotaBounds, UsageReport, VmUsage
from ..quotas.usage import own_usages

HUBS_PER_ZONE: Final = 2
GATHERING_MS: Final[Millis] = 25.0
CALM_GATHERING_MS: Final[Millis] = 75.0
"""Time for which a hub gathers reports, if a bucket is nearly empty and if none is."""
HUBS_CACHE_MS: Final[Millis] = 250.0
HUB_TIMEOUT_MS: Final[Millis] = 750.0
"""Time without a report after which a VM is no hub. Membership notices the end of a VM
after 25 s in a fleet of 93, and a zone without hubs has only its share of a limit."""
START_MS: Final[Millis] = 3_000.0
"""Time after which a VM that can't read the list of VMs relies on their heartbeats."""


class Peers(Protocol):
    """Sends messages to other VMs (see ``PeersComponent``)."""

    def send_to_all(self, addresses: Sequence[str], message: UsageReport) -> None:
        """Send a message to the VMs at all addresses."""


class NodeQuotas:
    """Rate limits of workspaces on a node.

    Parameters
    ----------
    loop : Loop
    members : MemberTable
    peers : Peers
    random : Random
    bounds : QuotaBounds or None
        None if nothing is limited.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    has_read_members : callable
        Whether the list of VMs has been read from the store since the start.

    Attributes
    ----------
    quotas : FleetQuotas or None
    """

    def __init__(
        self,
        loop: Loop,
        members: MemberTable,
        peers: Peers,
        random: Random,
        bounds: QuotaBounds | None,
        is_first_start: bool,
        has_read_members: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._members = members
        self._peers = peers
        self._random = random
        self._has_read_members = has_read_members
        self._relies_on_heartbeats_at = loop.clock.now() + START_MS
        self._gathered: list[VmUsage] = []
        self._forward_timer = Timer(0.0, None)
        self._hubs: tuple[list[str], ...] = ()
        self._hubs_expire_at: Millis = 0.0
        self.quotas: FleetQuotas | None = None
        if bounds is not None:
            self.quotas = FleetQuotas(
                loop,
                bounds,
                self._identity,
                self._send,
                random,
                is_first_start,
                self._update_members,
            )

    def on_usage(self, sender: Member, report: UsageReport) -> None:
        """Handle a report of another VM, or those that a hub forwards."""
        if self.quotas is None:
            return
        self._members.merge(sender, self._loop.clock.now())
        usages = report.usages
        if report.is_for_zone:
            usages = own_usages(sender.address, sender.incarnation, usages)
        for usage in usages:
            self.quotas.on_usage(usage)
        if report.is_for_zone:
            self._gather(usages)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        return {} if self.quotas is None else self.quotas.dump()

    def _identity(self) -> tuple[str, int]:
        me = self._members.me
        return me.address, me.incarnation

    def _send(self, usage: VmUsage) -> None:
        assert self.quotas is not None
        by_zone = self._find_hubs()
        if usage.rows and self.quotas.is_urgent:
            hubs = [address for hubs in by_zone for address in hubs]
        else:
            # One of a zone is enough: the next report replaces a lost one.
            hubs = [self._random.choice(hubs) for hubs in by_zone]
        me = self._members.me.address
        others = [address for address in hubs if address != me]
        self._peers.send_to_all(others, UsageReport((usage,), is_for_zone=True))
        if me in hubs:
            self._gather((usage,))

    def _gather(self, usages: Sequence[VmUsage]) -> None:
        assert self.quotas is not None
        if not usages:
            return
        interval = GATHERING_MS if self.quotas.is_urgent else CALM_GATHERING_MS
        due = self._loop.clock.now() + interval
        if not self._gathered or self._forward_timer.due > due:
            self._forward_timer.cancel()
            self._forward_timer = self._loop.after(interval, self._forward_gathered)
        self._gathered += usages

    def _forward_gathered(self) -> None:
        gathered, self._gathered = self._gathered, []
        zones = (self._members.me.zone, "")
        recipients = self._members.recipients(self._loop.clock.now())
        addresses = [member.address for member in recipients if member.zone in zones]
        for usages in _split(gathered):
            self._peers.send_to_all(addresses, UsageReport(usages))

    def _find_hubs(self) -> tuple[list[str], ...]:
        """Return the addresses of the hubs of each zone."""
        now = self._loop.clock.now()
        if now >= self._hubs_expire_at:
            self._hubs_expire_at = now + HUBS_CACHE_MS
            me = self._members.me
            by_zone: dict[str, list[Member]] = {}
            for member in [*self._members.recipients(now), me]:
                by_zone.setdefault(member.zone, []).append(member)
            self._hubs = tuple(
                self._find_zone_hubs(members, now) for members in by_zone.values()
            )
        return self._hubs

    def _find_zone_hubs(self, members: list[Member], now: Millis) -> list[str]:
        assert self.quotas is not None
        fleet_time = self.quotas.fleet_time
        addresses = [member.address for member in sorted(members, key=reader_order)]
        hubs = [
            address
            for address in addresses
            if address == self._members.me.address
            or fleet_time.was_heard(address, now - HUB_TIMEOUT_MS)
        ][:HUBS_PER_ZONE]
        others = [address for address in addresses if address not in hubs]
        if len(hubs) < HUBS_PER_ZONE and others:
            # Nobody has been heard. The first one may be up, and if it is not, a random
            # one makes itself heard by forwarding.
            hubs += dict.fromkeys((others[0], self._random.choice(others)))
        return hubs

    def _update_members(self) -> None:
        assert self.quotas is not None
        now = self._loop.clock.now()
        others = [
            member
            for member in self._members.other_members()
            if member.region == self._members.me.region
        ]
        live = {member.address for member in self._members.live_in_region(now)}
        self.quotas.fleet_time.update_members(
            [member.address for member in others if member.address in live],
            [member.address for member in others if not member.is_leaving],
            [member.address for member in others if member.is_leaving],
            now,
        )
        if self._has_read_members() or now >= self._relies_on_heartbeats_at:
            self.quotas.fleet_time.settle(min(now, self._relies_on_heartbeats_at))


def _split(usages: Sequence[VmUsage]) -> list[tuple[VmUsage, ...]]:
    """Return parts that fit in a packet each.

    A VM takes about as much room as a row.
    """
    parts: list[tuple[VmUsage, ...]] = []
    part: list[VmUsage] = []
    size = 0
    for usage in usages:
        usage_size = 1 + len(usage.rows)
        if part and size + usage_size > MAX_ROWS_PER_REPORT:
            parts.append(tuple(part))
            part, size = [], 0
        part.append(usage)
        size += usage_size
    return [*parts, tuple(part)] if part else parts
