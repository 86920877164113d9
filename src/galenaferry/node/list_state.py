"""State of the list from which instances are chosen, for the lines of requests."""

from ..backends.messages import Instance, ListState, Use
from ..discovery.follower import TableFollower
from ..placing.component import Placement


class ListStateReader:
    """Reads from what list an instance is chosen now, and why it may be.

    Parameters
    ----------
    table : TableFollower
        Copy of the instances' table.
    placement : Placement
    """

    def __init__(self, table: TableFollower, placement: Placement) -> None:
        self._table = table
        self._placement = placement

    def read(self, instance: Instance) -> ListState:
        """Return the state of the list for an instance that is chosen now."""
        era, counter = self._table.version
        return ListState(
            f"{era}.{counter}",
            self._table.source,
            self._table.confirmed_ago,
            self._use(instance),
        )

    def _use(self, instance: Instance) -> Use:
        if instance.is_relay:
            return Use.RELAY
        if instance.is_unlisted:
            return Use.GRACE_PERIOD
        if self._placement.is_leaving(instance.name):
            return Use.LAST_RESORT
        return Use.LISTED
