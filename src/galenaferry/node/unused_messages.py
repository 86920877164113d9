"""Messages between VMs that a node receives and does not use."""

from ..health.messages import Report, Verdicts
from ..membership.messages import Member
from ..spreading.messages import GossipMessage


class UnusedMessages:
    """Handlers of messages that only VMs of ``galenaferry.entry`` use.

    On a node the store orders the configuration changes, and every VM evaluates single
    outcomes itself.
    """

    def on_gossip(self, sender: Member, message: GossipMessage) -> None:
        """Do nothing."""

    def on_report(self, sender: Member, report: Report) -> None:
        """Do nothing."""

    def on_verdicts(self, sender: Member, verdicts: Verdicts) -> None:
        """Do nothing."""
