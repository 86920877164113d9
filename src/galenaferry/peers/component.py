"""Sends messages to other VMs and dispatches the received ones by type."""

from collections.abc import Callable, Collection
from typing import Any, Protocol

from circuits import BaseComponent
from result import Err

from ..discovery.messages import TableNotice
from ..health.messages import Outcomes, Report, Verdicts
from ..logs import logger
from ..membership.messages import Heartbeat, Member
from ..network.datagrams import Address, DatagramSocket
from ..network.loop import Loop
from ..quotas.messages import UsageReport
from ..spreading.messages import GossipMessage, Page, PagePull, Pull, Push
from .codec import Datagram, Message, PeerKeys, decode, encode
from .pacing import DatagramPacer, Priority

log = logger("peers")


class PeerMessageHandler(Protocol):
    """Handles messages received from other VMs, one method for each type."""

    def on_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat."""

    def on_gossip(self, sender: Member, message: GossipMessage) -> None:
        """Handle log entries, snapshot pages or a request for them.

        Raises
        ------
        ValueError
            When an entry or row is malformed.
        """

    def on_report(self, sender: Member, report: Report) -> None:
        """Handle health evidence of another VM."""

    def on_verdicts(self, sender: Member, verdicts: Verdicts) -> None:
        """Handle health verdicts on instances."""

    def on_outcomes(self, sender: Member, outcomes: Outcomes) -> None:
        """Handle outcomes of single attempts at instances."""

    def on_table_notice(self, sender: Member, notice: TableNotice) -> None:
        """Handle changes of a table that another VM has read from the store."""

    def on_usage(self, sender: Member, report: UsageReport) -> None:
        """Handle the usage of limited workspaces at other VMs."""


class PeersComponent(BaseComponent):
    """Peer socket of this VM, with counters of its datagrams.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        IP address and port to bind.
    keys : PeerKeys
    own_member : callable
        Returns this VM's current membership entry.
    message_handler : PeerMessageHandler
    link_rate : float
        Bandwidth of this VM's link in bytes per millisecond, 0 if it is not known.
    """

    channel = "peers"

    def __init__(
        self,
        loop: Loop,
        address: Address,
        keys: PeerKeys,
        own_member: Callable[[], Member],
        message_handler: PeerMessageHandler,
        link_rate: float = 0.0,
    ) -> None:
        super().__init__()
        self._keys = keys
        self._own_member = own_member
        self._message_handler = message_handler
        self._socket = DatagramSocket(loop, address, self._on_datagram)
        self._pacer = DatagramPacer(loop, self._socket.send, link_rate)
        self._sent = 0
        self._bytes_sent = 0
        self._received = 0
        self._bytes_received = 0
        self._refused = 0

    def send(self, address: str, message: Message) -> None:
        """Send a message to the VM at ``address`` (IP:PORT) in one datagram."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Collection[str], message: Message) -> None:
        """Send a message, encoded once, to the VMs at all ``addresses``."""
        if not addresses:
            return
        data = encode(Datagram(self._own_member(), message), self._keys)
        is_news = isinstance(message, TableNotice)
        priority = Priority.TABLE_NEWS if is_news else Priority.OTHER
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._sent += 1
            self._bytes_sent += len(data)
            self._pacer.send(data, (host, int(port)), priority)

    def dump(self) -> dict[str, Any]:
        """Return the counters as JSON data."""
        return {
            "datagrams_sent": self._sent,
            "bytes_sent": self._bytes_sent,
            "datagrams_received": self._received,
            "bytes_received": self._bytes_received,
            "datagrams_refused": self._refused,
            "datagrams_dropped": self._pacer.dropped_count,
        }

    def _on_datagram(self, data: bytes, address: Address) -> None:
        self._received += 1
        self._bytes_received += len(data)
        result = decode(data, self._keys)
        if isinstance(result, Err):
            self._refused += 1
            return
        sender, message = result.ok_value
        match message:
            case Heartbeat():
                self._message_handler.on_heartbeat(sender, message)
            case Push() | Pull() | PagePull() | Page():
                self._on_gossip(sender, message)
            case Report():
                self._message_handler.on_report(sender, message)
            case Verdicts():
                self._message_handler.on_verdicts(sender, message)
            case TableNotice():
                self._message_handler.on_table_notice(sender, message)
            case Outcomes():
                self._message_handler.on_outcomes(sender, message)
            case UsageReport():
                self._message_handler.on_usage(sender, message)

    def _on_gossip(self, sender: Member, message: GossipMessage) -> None:
        try:
            self._message_handler.on_gossip(sender, message)
        except ValueError as error:
            self._refused += 1
            log.warning(
                "malformed log entry or row from peer",
                sender=sender.address,
                error=str(error),
            )
