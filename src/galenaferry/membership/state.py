"""Table of the known members and their liveness."""

from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import Member

LIVENESS_TIMEOUT_MS: Final = 6_000.0
"""Time without a new counter after which a member is no longer live."""
SAMPLE_MAX_AGE_MS: Final = 3_000.0
"""Age above which entries are not gossiped: half of the shortest liveness timeout."""
CONFIRMATION_TIMEOUT_MS: Final = 2_000.0
"""Time in which heartbeats confirm a live VM that is known only from a list."""
MEMBER_EXPIRY_MS: Final = 60_000.0
"""Minimum time without a new counter after which a member is removed."""
MEMBERS_PER_OTHER_REGION: Final = 4
"""Largest number of members that are kept of each other region."""
SAMPLE_SIZE: Final = 10
"""Members in the sample of one heartbeat."""


class Liveness(NamedTuple):
    """Liveness timeout of members; times in milliseconds.

    A heartbeat carries ``sample_size`` members, so the interval between two
    updates of one member grows with the fleet. The timeout is therefore
    ``timeout`` plus ``timeout_per_member`` for each known member. At least the share
    ``own_zone_share`` of the heartbeats goes to VMs of the sender's zone, as bytes
    between zones are expensive.
    """

    timeout: Millis = LIVENESS_TIMEOUT_MS
    timeout_per_member: Millis = 0.0
    sample_size: int = SAMPLE_SIZE
    own_zone_share: float = 0.0


DEFAULT_LIVENESS: Final = Liveness()


class MemberTable:
    """Members of this VM's region and a few members of each other region.

    A member is live while its counter grows, whether the entry arrives in its
    own heartbeats or in the samples of other members. A one-way partition
    between two VMs therefore doesn't remove either of them.

    Parameters
    ----------
    me : Member
        Entry of this VM.
    random : Random
    liveness : Liveness
    """

    def __init__(
        self, me: Member, random: Random, liveness: Liveness = DEFAULT_LIVENESS
    ) -> None:
        self.me = me
        self._random = random
        self._liveness = liveness
        self._member_by_address: dict[str, Member] = {}
        self._advanced_at_by_address: dict[str, Millis] = {}
        # Ordered, so that messages go out in the same order in every run.
        self._unconfirmed_addresses: dict[str, None] = {}
        self._count_by_region: dict[str, int] = {}
        self._seen_regions = {me.region}

    def __len__(self) -> int:
        return len(self._member_by_address)

    def advance_own_entry(self, version: int, is_platform_down: bool) -> None:
        """Update this VM's own entry and increment its counter."""
        self.me = self.me._replace(
            counter=self.me.counter + 1,
            version=version,
            is_platform_down=is_platform_down,
        )

    def is_outage_confirmed(
        self, listed_addresses: frozenset[str], now: Millis
    ) -> bool:
        """Whether a majority of the regions reports that the platform is down.

        Each region has one vote, because the table holds only a few VMs of other
        regions. A region reports an outage when more than half of its VMs do. Its VMs
        are its live members, and in this VM's region also the listed VMs, which don't
        count as reporting one while they are not live. A region seen once keeps its
        vote after its members have expired; otherwise a partitioned minority would
        count itself as the whole fleet.

        Parameters
        ----------
        listed_addresses : frozenset of str
            VMs of this VM's region in the latest VM list.
        now : float
        """
        live = self.live(now)
        own_region = {
            m.address for m in live if m.region == self.me.region
        } | listed_addresses
        votes = 0
        for region in self._seen_regions:
            members = [member for member in live if member.region == region]
            size = len(own_region) if region == self.me.region else len(members)
            down_count = sum(1 for member in members if member.is_platform_down)
            votes += 2 * down_count > size
        return 2 * votes > len(self._seen_regions)

    def merge(self, member: Member, now: Millis) -> None:
        """Replace the known entry of a member by ``member`` if that is newer."""
        if member.address == self.me.address:
            self._raise_incarnation(member)
            return
        known = self._member_by_address.get(member.address)
        if known is None:
            self._add(member, now)
            return
        order = (member.incarnation, member.counter)
        if order > (known.incarnation, known.counter):
            self._member_by_address[member.address] = member
            self._advanced_at_by_address[member.address] = now
            self._unconfirmed_addresses.pop(member.address, None)

    def is_new_or_restarted(self, member: Member, now: Millis) -> bool:
        """Whether the member is unknown, not live or has a higher incarnation."""
        known = self._member_by_address.get(member.address)
        if known is None or not self._is_live(member.address, now):
            return True
        return member.incarnation > known.incarnation

    def _raise_incarnation(self, reported: Member) -> None:
        """Raise this VM's incarnation above one that other VMs report for it.

        Incarnations come from the wall clock, which may have been set back.
        """
        if reported.incarnation > self.me.incarnation:
            self.me = self.me._replace(incarnation=reported.incarnation + 1)

    def add_unconfirmed(self, members: Iterable[Member], now: Millis) -> None:
        """Add unknown members from a list that may be outdated.

        They get heartbeats but are not live until a newer entry confirms them.
        """
        for member in members:
            is_known = member.address in self._member_by_address
            if not is_known and member.address != self.me.address:
                self._add(member, now)
                if member.address in self._member_by_address:
                    self._unconfirmed_addresses[member.address] = None

    def live(self, now: Millis) -> list[Member]:
        """Return the live members that are not leaving, including this VM."""
        others = [
            member
            for address, member in self._member_by_address.items()
            if not member.is_leaving and self._is_live(address, now)
        ]
        return [*others, self.me]

    def recipients(self, now: Millis) -> list[Member]:
        """Return the other members of this VM's region that get broadcasts.

        These are the live ones and, for ``CONFIRMATION_TIMEOUT_MS``, unconfirmed
        ones: VMs that start at the same time have no heartbeats of each other yet.
        """
        live = [m for m in self.live_in_region(now) if m.address != self.me.address]
        unconfirmed = [
            self._member_by_address[address]
            for address in self._unconfirmed_addresses
            if now - self._advanced_at_by_address[address] < CONFIRMATION_TIMEOUT_MS
        ]
        return live + [m for m in unconfirmed if m.region == self.me.region]

    def live_in_region(self, now: Millis) -> list[Member]:
        """Return the live members of this VM's region, including this VM."""
        region = self.me.region
        return [member for member in self.live(now) if member.region == region]

    def other_members(self) -> list[Member]:
        """Return all known members except this VM, live or not."""
        return list(self._member_by_address.values())

    def is_in_own_zone(self, address: str) -> bool:
        """Whether the member at an address is known to be in this VM's zone."""
        member = self._member_by_address.get(address)
        return member is not None and member.zone == self.me.zone

    def random_addresses(self, count: int) -> list[str]:
        """Return the addresses of up to ``count`` random members, live or not."""
        addresses = list(self._member_by_address)
        return self._random.sample(addresses, min(count, len(addresses)))

    def gossip_targets(self, count: int, now: Millis) -> list[str]:
        """Return addresses of up to ``count`` random live members and one more.

        The additional one is a member that is not live, if there is any, so that the
        two sides of a healed partition find each other again.
        """
        others = [m for m in self.live(now) if m.address != self.me.address]
        own_zone = [m.address for m in others if m.zone == self.me.zone]
        live = [m.address for m in others]
        live_addresses = set(live)
        not_live = [
            address
            for address in self._member_by_address
            if address not in live_addresses
        ]
        chosen: list[str] = []
        for _ in range(count):
            is_in_zone = self._random.random() < self._liveness.own_zone_share
            pool = own_zone if is_in_zone and own_zone else live
            left = [address for address in pool if address not in chosen]
            if left:
                chosen.append(self._random.choice(left))
        if not_live:
            chosen.append(self._random.choice(not_live))
        return chosen

    def sample(self, now: Millis) -> tuple[Member, ...]:
        """Return random members for a heartbeat whose counter advanced recently."""
        recent = [
            member
            for address, member in self._member_by_address.items()
            if now - self._advanced_at_by_address[address] < SAMPLE_MAX_AGE_MS
            and address not in self._unconfirmed_addresses
        ]
        count = min(self._liveness.sample_size, len(recent))
        return tuple(self._random.sample(recent, count))

    def remove_expired(self, now: Millis) -> None:
        """Remove members whose counter has not advanced for their expiry time.

        It is ``MEMBER_EXPIRY_MS``, or twice the liveness timeout if that is longer.
        """
        for address, advanced_at in list(self._advanced_at_by_address.items()):
            if now - advanced_at > max(MEMBER_EXPIRY_MS, 2.0 * self._timeout()):
                member = self._member_by_address.pop(address)
                self._unconfirmed_addresses.pop(address, None)
                del self._advanced_at_by_address[address]
                self._count_by_region[member.region] -= 1

    def _timeout(self) -> Millis:
        liveness = self._liveness
        return liveness.timeout + liveness.timeout_per_member * len(
            self._member_by_address
        )

    def _is_live(self, address: str, now: Millis) -> bool:
        is_recent = now - self._advanced_at_by_address[address] < self._timeout()
        return is_recent and address not in self._unconfirmed_addresses

    def _add(self, member: Member, now: Millis) -> None:
        self._seen_regions.add(member.region)
        count = self._count_by_region.get(member.region, 0)
        is_other_region = member.region != self.me.region
        if is_other_region and count >= MEMBERS_PER_OTHER_REGION:
            return
        self._member_by_address[member.address] = member
        self._advanced_at_by_address[member.address] = now
        self._count_by_region[member.region] = count + 1
