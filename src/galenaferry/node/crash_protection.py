"""Connects the guard against crashing requests to the fleet and the store."""

from collections.abc import Callable
from functools import partial
from random import Random

from result import Err, Result

from ..backends.messages import Instance
from ..crashes.blocked_table import BlockedTable
from ..crashes.guard import CrashGuard, GuardLinks
from ..crashes.news import NewsLinks
from ..crashes.verifiers import is_verifier
from ..discovery.messages import NO_VERSION, TableError, TableUpdate
from ..discovery.peer_updates import fetch_from_peer
from ..membership.state import MemberTable
from ..network.loop import Loop
from .adapter import Adapter
from .broadcasts import Broadcasts


class CrashProtection:
    """The guard of this VM and the table of blocked requests.

    Parameters
    ----------
    loop : Loop
    adapter : Adapter
    members : MemberTable
    broadcasts : Broadcasts
    is_leaving, check_own_links : callable
        As in ``GuardLinks``.
    random : Random
    """

    def __init__(
        self,
        loop: Loop,
        adapter: Adapter,
        members: MemberTable,
        broadcasts: Broadcasts,
        is_leaving: Callable[[str], bool],
        check_own_links: Callable[[Callable[[bool], None]], None],
        random: Random,
    ) -> None:
        self._loop = loop
        self._members = members
        self._table_name = adapter.tables.blocked_requests
        self.table = BlockedTable(
            loop,
            adapter.store,
            self._table_name,
            random,
            self._fetch_from_peer,
            lambda found: self.guard.load_blocked(found),
            lambda: self.guard.blocked,
        )
        self.guard = CrashGuard(
            loop,
            random,
            GuardLinks(
                news=NewsLinks(broadcasts.send_outcomes, broadcasts.send_notes_to_some),
                is_leaving=is_leaving,
                is_verifier=self._is_verifier,
                check_own_links=check_own_links,
                save_blocked=self.table.save,
                claim_trial=self.table.claim_trial,
            ),
        )

    def begin(self, is_first_start: bool) -> None:
        """Read the table, unless the fleet as a whole starts for the first time."""
        if not is_first_start:
            self.table.load()

    def on_instances(self, instances: tuple[Instance, ...]) -> None:
        """Handle a new list of instances."""
        self.guard.detector.on_instances(instances)

    def _is_verifier(self, key: int) -> bool:
        live = self._members.live_in_region(self._loop.clock.now())
        addresses = [member.address for member in live]
        return is_verifier(self._members.me.address, addresses, key)

    def _fetch_from_peer(
        self, done: Callable[[Result[TableUpdate, TableError]], None]
    ) -> None:
        now = self._loop.clock.now()
        addresses = self._members.gossip_targets(1, now)
        if not addresses:
            done(Err(TableError("no other VM is known")))
            return
        fetch = partial(fetch_from_peer, self._loop, addresses[0], self._table_name)
        fetch(NO_VERSION, done)
