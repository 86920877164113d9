"""Connects the relaying of requests to the fleet."""

from collections.abc import Callable, Iterator
from random import Random
from typing import Final

from circuits import BaseComponent

from ..framing.limits import limit_vms
from ..logs import logger
from ..membership.state import MemberTable
from ..network.loop import Loop
from ..placing.component import Placement
from ..relay.backends import RelayingBackends
from ..relay.origin import RelayAuthentication
from ..relay.relay_vms import RelayVm
from ..requests.component import RequestsComponent
from ..requests.context import RequestContext
from .settings import Address

NOTIFIED_MEMBERS: Final = 12
"""Members that a VM tells at once that it is cut off, or no longer; heartbeats tell the
others."""

log = logger("relay")


class Relaying:
    """Requests of this VM that go by way of others, and those of others.

    Parameters
    ----------
    loop : Loop
    placement : Placement
    members : MemberTable
    random : Random
    authentication : RelayAuthentication
    send_heartbeats : callable
        Sends a heartbeat to a number of random members.
    health_path : callable
        Returns the path of a service's health checks, empty if it is not known.
    """

    def __init__(
        self,
        loop: Loop,
        placement: Placement,
        members: MemberTable,
        random: Random,
        authentication: RelayAuthentication,
        send_heartbeats: Callable[[int], None],
        health_path: Callable[[str], str],
    ) -> None:
        self._loop = loop
        self._members = members
        self._send_heartbeats = send_heartbeats
        self.authentication = authentication
        self.backends = RelayingBackends(
            loop,
            placement,
            random,
            self._relay_vms,
            self._on_reach_changed,
            health_path,
        )
        self._listener: RequestsComponent | None = None

    def listen(
        self, context: RequestContext, address: Address | None, root: BaseComponent
    ) -> None:
        """Take requests of other VMs, if there is an address for them."""
        if address is not None:
            read_origin = self.backends.reader_of_origins(self.authentication)
            self._listener = RequestsComponent(
                context, address, read_origin, limit_vms
            ).register(root)

    @property
    def unfinished_count(self) -> int:
        """Number of connections of other VMs that a graceful shutdown waits for."""
        return 0 if self._listener is None else self._listener.unfinished_count

    def stop_accepting(self) -> None:
        """Take no more requests of other VMs."""
        if self._listener is not None:
            self._listener.stop_accepting()

    def refuse_late_starts(self) -> None:
        """Refuse requests of other VMs that can't end before the process exits."""
        if self._listener is not None:
            self._listener.refuse_late_starts()

    def cut_unanswered(self) -> list[str]:
        """End the requests of other VMs; return their ids."""
        return [] if self._listener is None else self._listener.cut_unanswered()

    def _relay_vms(self) -> Iterator[RelayVm]:
        for member in self._members.live_in_region(self._loop.clock.now()):
            is_me = member.address == self._members.me.address
            if member.relay_port and not member.is_cut_off and not is_me:
                host = member.address.rpartition(":")[0]
                yield RelayVm(f"{host}:{member.relay_port}", member.zone)

    def _on_reach_changed(self, is_cut_off: bool) -> None:
        self._members.me = self._members.me._replace(is_cut_off=is_cut_off)
        self._send_heartbeats(NOTIFIED_MEMBERS)
