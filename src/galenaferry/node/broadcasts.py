"""Messages from this VM to many others.

Bytes between zones are expensive, and a datagram for each outcome to each of hundreds
of VMs is too much work for small ones, mostly for their receivers. News of a table goes
to the VM's own zone and to the readers of the others. Outcomes go to the hubs of each
zone, two of its VMs that gather them for some milliseconds and send them on within the
zone.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from ..clock import Millis
from ..crashes.messages import CrashNote
from ..discovery.messages import TableNotice
from ..discovery.readers import reader_order
from ..health.messages import InstanceOutcome, Outcomes
from ..membership.messages import Member
from ..membership.state import MemberTable
from ..network.loop import Loop
from ..peers.component import PeersComponent

HUBS_PER_ZONE: Final = 2
"""Hubs of a zone. The second one makes up for lost datagrams, and for a hub that has
died and counts as live still."""
GATHERING_MS: Final[Millis] = 25.0
"""Time for which a hub gathers outcomes, a tenth of the work of a short request. It
bounds the datagrams that a VM receives from a hub to 40 a second."""
HUBS_CACHE_MS: Final[Millis] = 250.0
"""Time for which the hubs are not determined anew."""
MAX_REMEMBERED_IDS: Final = 8_000
"""Number of latest outcomes whose repetitions are recognized, those of some seconds
while many instances fail."""
GOSSIP_FANOUT: Final = 2

Row = InstanceOutcome | CrashNote
"""What VMs tell each other in ``Outcomes``; ``id`` identifies each row."""


class Broadcasts:
    """Sends messages to the VMs of this VM's region.

    Parameters
    ----------
    loop : Loop
    members : MemberTable
    peers : PeersComponent
    random : Random
    """

    def __init__(
        self, loop: Loop, members: MemberTable, peers: PeersComponent, random: Random
    ) -> None:
        self._loop = loop
        self._members = members
        self._peers = peers
        self._random = random
        self._received_ids = _RecentIds()
        self._forwarded_ids = _RecentIds()
        self._gathered: list[Row] = []
        self._hubs: tuple[str, ...] = ()
        self._hubs_expire_at: Millis = 0.0

    def send_notice(self, notice: TableNotice) -> None:
        """Send news of a table to the VMs of this zone and the hubs of the others.

        The hubs of a zone are its readers. They tell each other, since the connections
        of all readers of one zone may have gone silent.
        """
        addresses = dict.fromkeys(_addresses(self._own_zone()))
        addresses |= dict.fromkeys(self._find_hubs())
        addresses.pop(self._members.me.address, None)
        self._peers.send_to_all(list(addresses), notice)

    def send_outcomes(self, rows: Sequence[Row]) -> None:
        """Send outcomes or notes of this VM to all VMs of the region."""
        identified: tuple[Row, ...] = tuple(
            row._replace(id=self._random.getrandbits(64)) for row in rows
        )
        for row in identified:
            self._received_ids.add(row.id)
        hubs = self._find_hubs()
        me = self._members.me.address
        others = [address for address in hubs if address != me]
        self._peers.send_to_all(others, _pack(identified, is_for_zone=True))
        if me in hubs:
            self._gather(identified)

    def send_notes_to_some(self, notes: tuple[CrashNote, ...]) -> None:
        """Send notes to a few random live VMs."""
        now = self._loop.clock.now()
        addresses = self._members.gossip_targets(GOSSIP_FANOUT, now)
        self._peers.send_to_all(addresses, _pack(notes))

    def accept_outcomes(self, outcomes: Outcomes) -> Outcomes:
        """Return the rows that are received for the first time; forward if asked."""
        rows: tuple[Row, ...] = outcomes.instance_outcomes + outcomes.crash_notes
        if outcomes.is_for_zone:
            # Also rows that came from the other hub: its copies may be lost.
            self._gather(rows)
        return _pack([row for row in rows if self._received_ids.add(row.id)])

    def _gather(self, rows: Iterable[Row]) -> None:
        new_rows = [row for row in rows if self._forwarded_ids.add(row.id)]
        if new_rows and not self._gathered:
            self._loop.after(GATHERING_MS, self._forward_gathered)
        self._gathered += new_rows

    def _forward_gathered(self) -> None:
        gathered, self._gathered = self._gathered, []
        self._peers.send_to_all(_addresses(self._own_zone()), _pack(gathered))

    def _own_zone(self) -> list[Member]:
        """Return the recipients in this VM's zone, or in one that is not known yet."""
        zones = (self._members.me.zone, "")
        recipients = self._members.recipients(self._loop.clock.now())
        return [member for member in recipients if member.zone in zones]

    def _find_hubs(self) -> tuple[str, ...]:
        """Return the addresses of the hubs of all zones."""
        now = self._loop.clock.now()
        if now >= self._hubs_expire_at:
            self._hubs_expire_at = now + HUBS_CACHE_MS
            me = self._members.me
            by_zone: dict[str, list[Member]] = {}
            for member in [*self._members.recipients(now), me]:
                by_zone.setdefault(member.zone, []).append(member)
            self._hubs = tuple(
                member.address
                for members in by_zone.values()
                for member in sorted(members, key=reader_order)[:HUBS_PER_ZONE]
            )
        return self._hubs


class _RecentIds:
    """Identifiers of the latest messages."""

    def __init__(self) -> None:
        self._ids: dict[int, None] = {}

    def add(self, identifier: int) -> bool:
        """Add an identifier; return False if it is among the latest ones.

        Identifier 0 stands for none, and is always new.
        """
        if not identifier:
            return True
        if identifier in self._ids:
            return False
        self._ids[identifier] = None
        if len(self._ids) > MAX_REMEMBERED_IDS:
            del self._ids[next(iter(self._ids))]
        return True


def _pack(rows: Iterable[Row], is_for_zone: bool = False) -> Outcomes:
    outcomes: list[InstanceOutcome] = []
    notes: list[CrashNote] = []
    for row in rows:
        match row:
            case InstanceOutcome():
                outcomes.append(row)
            case CrashNote():
                notes.append(row)
    return Outcomes(tuple(outcomes), is_for_zone, tuple(notes))


def _addresses(members: Iterable[Member]) -> list[str]:
    return [member.address for member in members]
