"""The listeners of a node during a graceful shutdown."""

from typing import NamedTuple

from ..requests.component import RequestsComponent
from .relaying import Relaying


class Listeners(NamedTuple):
    """Listeners for callers and for other VMs."""

    callers: RequestsComponent
    vms: Relaying

    def count_unfinished(self) -> int:
        """Return the number of connections that the shutdown waits for."""
        return self.callers.unfinished_count + self.vms.unfinished_count

    def stop_accepting(self) -> None:
        """Close the listening sockets and idle connections."""
        self.callers.stop_accepting()
        self.vms.stop_accepting()

    def refuse_late_starts(self) -> None:
        """Refuse requests that can't end before the process exits."""
        self.callers.refuse_late_starts()
        self.vms.refuse_late_starts()

    def cut_unanswered(self) -> list[str]:
        """End the requests that are still in progress; return their ids."""
        return self.callers.cut_unanswered() + self.vms.cut_unanswered()
