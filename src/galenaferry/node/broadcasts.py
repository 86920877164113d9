"""Messages from this VM to many others.

Bytes between zones are expensive, and one datagram to each of hundreds of VMs is too
much work for a small one. News of a table goes to the VM's own zone only, as each zone
has its own readers. Outcomes go to the own zone, and to a few VMs of each other zone
that relay them there.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from ..clock import Clock
from ..discovery.messages import TableNotice
from ..health.messages import Outcomes
from ..membership.messages import Member
from ..membership.state import MemberTable
from ..peers.component import PeersComponent

RELAYS_PER_ZONE: Final = 2
"""VMs of another zone that relay outcomes. A second one makes up for a lost datagram,
and for one that has died and counts as live still."""
MAX_REMEMBERED_IDS: Final = 2_000
"""Number of latest messages whose repetitions are recognized, those of some seconds
while many instances fail."""


class Broadcasts:
    """Sends messages to the VMs of this VM's region.

    Parameters
    ----------
    members : MemberTable
    peers : PeersComponent
    clock : Clock
    random : Random
    """

    def __init__(
        self, members: MemberTable, peers: PeersComponent, clock: Clock, random: Random
    ) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._seen_ids: dict[int, None] = {}

    def send_notice(self, notice: TableNotice) -> None:
        """Send news of a table to the VMs of this zone."""
        self._peers.send_to_all(_addresses(self._own_zone()), notice)

    def send_outcomes(self, outcomes: Outcomes) -> None:
        """Send outcomes that this VM has seen to all VMs of the region."""
        message = outcomes._replace(id=self._random.getrandbits(64))
        self._remember(message.id)
        self._peers.send_to_all(_addresses(self._own_zone()), message)
        relays = self._relays()
        if relays:
            request = message._replace(is_relay_requested=True)
            self._peers.send_to_all(_addresses(relays), request)

    def accept_outcomes(self, outcomes: Outcomes) -> bool:
        """Relay outcomes if requested; return False if they were received before."""
        if outcomes.is_relay_requested:
            # Also if the other relay was faster, whose copies may be lost.
            relayed = outcomes._replace(is_relay_requested=False)
            self._peers.send_to_all(_addresses(self._own_zone()), relayed)
        if outcomes.id in self._seen_ids:
            return False
        if outcomes.id:
            self._remember(outcomes.id)
        return True

    def _own_zone(self) -> list[Member]:
        """Return the recipients in this VM's zone, or in one that is not known yet."""
        zones = (self._members.me.zone, "")
        recipients = self._members.recipients(self._clock.now())
        return [member for member in recipients if member.zone in zones]

    def _relays(self) -> list[Member]:
        members_by_zone: dict[str, list[Member]] = {}
        for member in self._members.recipients(self._clock.now()):
            if member.zone not in (self._members.me.zone, ""):
                members_by_zone.setdefault(member.zone, []).append(member)
        relays: list[Member] = []
        for members in members_by_zone.values():
            count = min(RELAYS_PER_ZONE, len(members))
            relays += self._random.sample(members, count)
        return relays

    def _remember(self, message_id: int) -> None:
        self._seen_ids[message_id] = None
        if len(self._seen_ids) > MAX_REMEMBERED_IDS:
            del self._seen_ids[next(iter(self._seen_ids))]


def _addresses(members: Iterable[Member]) -> list[str]:
    return [member.address for member in members]
