"""The members that a VM knows and which of them are live."""

from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import Member

LIVENESS_TIMEOUT_MS: Final = 6_000.0
SAMPLE_MAX_AGE_MS: Final = 3_000.0
"""Half of the shortest time for which a member counts as live."""
CONFIRMATION_TIMEOUT_MS: Final = 2_000.0
"""Time within which a live VM that was only read of is heard of, by heartbeats."""
MEMBER_EXPIRY_MS: Final = 60_000.0
MEMBERS_PER_OTHER_REGION: Final = 4
SAMPLE_SIZE: Final = 10


class Liveness(NamedTuple):
    """For how long a member counts as live; times in milliseconds.

    A heartbeat names ``sample`` members, so the time until a member is heard of
    again grows with the fleet: ``timeout_per_member`` is added for each known one.
    """

    timeout: Millis = LIVENESS_TIMEOUT_MS
    timeout_per_member: Millis = 0.0
    sample_size: int = SAMPLE_SIZE


DEFAULT_LIVENESS: Final = Liveness()


class MemberTable:
    """Members of the own region, and a few of each other region.

    A member is live while its counter grows, whether its heartbeats come
    directly or by way of others; so a one-way partition between two VMs takes
    neither of them out.

    Parameters
    ----------
    me : Member
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
        # In order, so that what is sent does not change from run to run.
        self._unconfirmed_addresses: dict[str, None] = {}
        self._count_by_region: dict[str, int] = {}
        self._seen_regions = {me.region}

    def __len__(self) -> int:
        return len(self._member_by_address)

    def advance_own_entry(self, version: int, is_platform_down: bool) -> None:
        """Advance this VM's own entry for the next heartbeat."""
        self.me = self.me._replace(
            counter=self.me.counter + 1,
            version=version,
            is_platform_down=is_platform_down,
        )

    def is_outage_confirmed(
        self, listed_addresses: frozenset[str], now: Millis
    ) -> bool:
        """Whether most of the fleet says that the platform is down.

        Each region has one vote, since a view holds few VMs of other regions. A
        region that was ever heard of keeps its vote: a part that is cut off must
        not take itself for the whole after the others are forgotten.

        Parameters
        ----------
        listed_addresses : frozenset of str
            VMs of the own region by the last VM list.
        now : float
        """
        live = self.live(now)
        own = {m.address for m in live if m.region == self.me.region} | listed_addresses
        votes = 0
        for region in self._seen_regions:
            heard = [member for member in live if member.region == region]
            known = len(own) if region == self.me.region else len(heard)
            down = sum(1 for member in heard if member.is_platform_down)
            votes += 2 * down > known
        return 2 * votes > len(self._seen_regions)

    def merge(self, member: Member, now: Millis) -> None:
        """Take over an entry that is newer than the known one."""
        if member.address == self.me.address:
            self._raise_incarnation(member)
            return
        known = self._member_by_address.get(member.address)
        if known is None:
            self._add(member, now)
            return
        newer = (member.incarnation, member.counter)
        if newer > (known.incarnation, known.counter):
            self._member_by_address[member.address] = member
            self._advanced_at_by_address[member.address] = now
            self._unconfirmed_addresses.pop(member.address, None)

    def is_new_or_restarted(self, member: Member, now: Millis) -> bool:
        """Whether the member was not live here before, or started again."""
        known = self._member_by_address.get(member.address)
        if known is None or not self._is_live(member.address, now):
            return True
        return member.incarnation > known.incarnation

    def _raise_incarnation(self, reported: Member) -> None:
        """Take a newer incarnation than one that others remember of this VM.

        The time of day, which incarnations come from, may have jumped back.
        """
        if reported.incarnation > self.me.incarnation:
            self.me = self.me._replace(incarnation=reported.incarnation + 1)

    def add_unconfirmed(self, members: Iterable[Member], now: Millis) -> None:
        """Take over unknown addresses of the platform's lagging list.

        They are contacted, and count as live only once they are heard of.
        """
        for member in members:
            is_known = member.address in self._member_by_address
            if not is_known and member.address != self.me.address:
                self._add(member, now)
                if member.address in self._member_by_address:
                    self._unconfirmed_addresses[member.address] = None

    def live(self, now: Millis) -> list[Member]:
        """Return the live members that don't leave, this VM included."""
        others = [
            member
            for address, member in self._member_by_address.items()
            if not member.is_leaving and self._is_live(address, now)
        ]
        return [*others, self.me]

    def recipients(self, now: Millis) -> list[Member]:
        """Return the other members of the own region that may hear what is told.

        These are the live ones and, for a while, those that were only read of: VMs
        that start together have not heard of each other yet.
        """
        live = [m for m in self.live_in_region(now) if m.address != self.me.address]
        unconfirmed = [
            self._member_by_address[address]
            for address in self._unconfirmed_addresses
            if now - self._advanced_at_by_address[address] < CONFIRMATION_TIMEOUT_MS
        ]
        return live + [m for m in unconfirmed if m.region == self.me.region]

    def live_in_region(self, now: Millis) -> list[Member]:
        """Return the live members of the own region, this VM included."""
        region = self.me.region
        return [member for member in self.live(now) if member.region == region]

    def other_members(self) -> list[Member]:
        """Return all other members that are not forgotten."""
        return list(self._member_by_address.values())

    def gossip_targets(self, count: int, now: Millis) -> list[str]:
        """Return random addresses for heartbeats, mostly live ones.

        One of the silent members is tried too, so that two parts of the fleet
        that lost each other meet again.
        """
        live = [m.address for m in self.live(now) if m.address != self.me.address]
        is_live = set(live)
        silent = [
            address for address in self._member_by_address if address not in is_live
        ]
        chosen = self._random.sample(live, min(count, len(live)))
        if silent:
            chosen.append(self._random.choice(silent))
        return chosen

    def sample(self, now: Millis) -> tuple[Member, ...]:
        """Return random members whose counter grew lately."""
        fresh = [
            member
            for address, member in self._member_by_address.items()
            if now - self._advanced_at_by_address[address] < SAMPLE_MAX_AGE_MS
            and address not in self._unconfirmed_addresses
        ]
        count = min(self._liveness.sample_size, len(fresh))
        return tuple(self._random.sample(fresh, count))

    def remove_expired(self, now: Millis) -> None:
        """Drop members that were silent for long."""
        for address, at in list(self._advanced_at_by_address.items()):
            if now - at > max(MEMBER_EXPIRY_MS, 2.0 * self._timeout()):
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
        is_far = member.region != self.me.region
        if is_far and count >= MEMBERS_PER_OTHER_REGION:
            return
        self._member_by_address[member.address] = member
        self._advanced_at_by_address[member.address] = now
        self._count_by_region[member.region] = count + 1
