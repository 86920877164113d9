"""The open connections of a JSON server, and those that are closed for others."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final, Protocol

from ...clock import Millis
from ...logs import logger
from .decisions import Phase, choose_replaced, is_above_budget, is_relieved, time_limit
from .limits import ServerLimits

RELIEF_LOG_INTERVAL_MS: Final[Millis] = 1_000.0
"""Minimum time between two lines about connections that held too much."""

log = logger("json_server")


class Connection(Protocol):
    """Connection that holds memory for its client."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    def quiet_time(self, now: Millis) -> Millis:
        """Return for how long nothing has been received or sent, in milliseconds."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(slots=True)
class ConnectionCounters:
    """Number of connections by the reason for which they were closed, since the start.

    ``replaced`` made room for new ones, ``relieved`` held too much memory,
    ``timed_out`` made no progress, and ``refused`` were closed because none of the
    others could make room. ``malformed`` sent no acceptable request.
    """

    replaced: int = 0
    relieved: int = 0
    timed_out: int = 0
    refused: int = 0
    malformed: int = 0


class OpenConnections:
    """Connections of one server in the order of their last progress.

    Progress is a new connection, a complete request, or a part of a response that the
    client has read. A part of a request is none: a client could send it byte by byte.

    Parameters
    ----------
    limits : ServerLimits

    Attributes
    ----------
    limits : ServerLimits
    used_bytes : int
        Bytes that all connections hold.
    counters : ConnectionCounters
    """

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        self.used_bytes = 0
        self.counters = ConnectionCounters()
        self._held_by_connection: OrderedDict[Connection, int] = OrderedDict()
        self._logged_at: Millis | None = None
        self._relieved_unlogged = 0

    def __len__(self) -> int:
        return len(self._held_by_connection)

    def add(self, connection: Connection) -> None:
        """Add a new connection."""
        self._held_by_connection[connection] = 0

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.used_bytes -= self._held_by_connection.pop(connection, 0)

    def record_progress(self, connection: Connection) -> None:
        """Record progress of a connection."""
        if connection in self._held_by_connection:
            self._held_by_connection.move_to_end(connection)

    def update(self, connection: Connection, held_bytes: int) -> None:
        """Replace what a connection holds."""
        previous = self._held_by_connection.get(connection)
        if previous is not None:
            self._held_by_connection[connection] = held_bytes
            self.used_bytes += held_bytes - previous

    def make_room(self) -> bool:
        """Whether one more connection may be accepted; may close another one."""
        while len(self) >= self.limits.connections:
            connections = list(self._held_by_connection)
            number = choose_replaced(connection.phase for connection in connections)
            if number is None:
                self.counters.refused += 1
                return False
            self.counters.replaced += 1
            connections[number].close()
        return True

    def relieve(self, kept: Connection, now: Millis) -> None:
        """Close connections if all hold too much, the longest without progress first.

        Parameters
        ----------
        kept : Connection
            Connection that stays open, because it has just made progress. A response
            that alone exceeds the budget is sent.
        now : float
            Monotonic time in milliseconds.
        """
        if not is_above_budget(self.limits, self.used_bytes):
            return
        used_bytes = self.used_bytes
        for connection in list(self._held_by_connection):
            if is_relieved(self.limits, self.used_bytes):
                break
            if connection is not kept and connection in self._held_by_connection:
                self.counters.relieved += 1
                self._relieved_unlogged += 1
                connection.close()
        self._log_relief(used_bytes, now)

    def close_expired(self, now: Millis) -> None:
        """Close the connections that made no progress for too long."""
        for connection in list(self._held_by_connection):
            limit = time_limit(self.limits, connection.phase)
            if connection.quiet_time(now) >= limit:
                self.counters.timed_out += 1
                connection.close()

    def _log_relief(self, used_bytes: int, now: Millis) -> None:
        is_due = (
            self._logged_at is None or now - self._logged_at >= RELIEF_LOG_INTERVAL_MS
        )
        if not is_due or not self._relieved_unlogged:
            return
        log.warning(
            "clients held more than their memory",
            held=used_bytes,
            limit=self.limits.memory_bytes,
            closed=self._relieved_unlogged,
        )
        self._logged_at = now
        self._relieved_unlogged = 0
