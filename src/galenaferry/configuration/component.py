"""Component that reads, distributes and accepts configuration changes."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from circuits import BaseComponent, Event
from result import Err, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from ..spreading.messages import ApplyResult, GossipMessage, LogName
from ..spreading.replicator import GossipReplicator, OutgoingMessage, SelectPeers
from ..store.client import PlatformClient
from ..store.messages import PlatformError, Row
from .acceptance import (
    CHANGE_PREFIX,
    HEAD_KEY,
    Accepted,
    Decision,
    ProposalCommit,
    Undecided,
    change_key,
    decode_head,
)
from .document import render
from .freshness import ConfigurationLease
from .impact import UNKNOWN_FLEET, LiveFleet
from .messages import Head, Proposal, decode_change
from .snapshots import LoadedSnapshot, SnapshotReader, write_snapshot
from .state import ConfigurationState

FLEET_READS_PER_SECOND: Final = 200.0
"""Largest number of polls of the table per second by all VMs together."""
MIN_POLL_INTERVAL_MS: Final = 1000.0
"""Poll interval of a VM in a small fleet, before jitter."""
CHANGES_PER_SCAN: Final = 200
"""Largest number of changes that one call reads from the table."""
CHANGES_PER_SNAPSHOT: Final = 100
"""A snapshot is written for every version that is a multiple of this."""
MAX_KEPT_DECISIONS: Final = 256
"""Number of proposals whose latest decision is kept for queries."""
MAX_DUMPED_SECTIONS: Final = 1000
"""A dump of the state omits the text of a configuration with more sections."""

log = logger("configuration")


class configuration_changed(Event):
    """Fired when a newer configuration is in force.

    By the convention of circuits the name of an event is in lower case.
    """


class ConfigurationComponent(BaseComponent):
    """Keeps the newest accepted configuration in force.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    peers : callable
        Returns random addresses of live VMs.
    send : callable
        Sends a message to another VM.
    random : Random
    """

    channel = "configuration"

    def __init__(
        self,
        loop: Loop,
        platform: PlatformClient,
        peers: SelectPeers,
        send: Callable[[str, GossipMessage], None],
        random: Random,
    ) -> None:
        super().__init__()
        self._loop = loop
        self._platform = platform
        self._send = send
        self._random = random
        self._is_reading = False
        self._read_started: Millis = 0.0
        self._after_read_callbacks: list[Callable[[], None]] = []
        self._decision_by_id: dict[str, Decision] = {}
        self.alarms: list[str] = []
        self.state = ConfigurationState()
        self.lease = ConfigurationLease()
        # The owner of this component sets the next three.
        self.fleet_size = 1
        self.is_outage_confirmed: Callable[[], bool] = lambda: False
        self.live_fleet: Callable[[], LiveFleet] = lambda: UNKNOWN_FLEET
        self.in_force_since: Millis = 0.0
        self._replicator = GossipReplicator(LogName.CONFIGURATION, self.state, peers)
        self._poll()

    def is_lease_held(self) -> bool:
        """Whether requests may be served with the configuration in force."""
        now = self._loop.clock.now()
        return self.lease.is_held(now, self.is_outage_confirmed())

    def propose(self, proposal: Proposal) -> Decision:
        """Start to commit a proposal, or return the decision if it is known."""
        known = self._decision_by_id.get(proposal.id)
        if known is not None:
            return known
        undecided = Undecided("asking the platform")
        self._decision_by_id[proposal.id] = undecided
        while len(self._decision_by_id) > MAX_KEPT_DECISIONS:
            self._decision_by_id.pop(next(iter(self._decision_by_id)))
        ProposalCommit(
            self._loop,
            self._platform,
            self.state,
            proposal,
            self._catch_up,
            lambda: self.live_fleet(),
            lambda decision: self._on_decision(proposal, decision),
        ).begin()
        return undecided

    def decision(self, change_id: str) -> Decision | None:
        """Return the decision on a proposal made at this VM, None if unknown."""
        return self._decision_by_id.get(change_id)

    def on_peer_version(self, sender: str, version: int) -> None:
        """Synchronize with another VM if its version differs."""
        now = self._loop.clock.now()
        self._send_all(self._replicator.on_version(sender, version, now))

    def on_gossip(self, sender: str, message: GossipMessage) -> None:
        """Handle changes, or a request for changes, from another VM."""
        received = self._replicator.on_message(sender, message, self._loop.clock.now())
        if received.is_fork:
            self._raise_alarm(f"{sender} offers another history of the configuration")
        if received.has_changed:
            self._on_adopted()
        self._send_all(received.outgoing)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        now = self._loop.clock.now()
        return {
            "version": self.state.head.version,
            "digest": self.state.head.digest,
            "in_force_for_ms": int(now - self.in_force_since),
            "freshness": self.lease.freshness(now)._asdict(),
            "is_lease_held": self.is_lease_held(),
            "alarms": self.alarms[-10:],
            "sections": len(self.state.configuration),
            "text": self._dump_text(),
        }

    def _dump_text(self) -> str:
        """Return the configuration as INI text, or why it is omitted."""
        if len(self.state.configuration) > MAX_DUMPED_SECTIONS:
            return "left out for its size"
        return render(self.state.configuration.sections())

    def _poll(self) -> None:
        """Read the table periodically; the interval grows with the fleet."""
        self._catch_up(lambda: None)
        budget_interval = self.fleet_size / FLEET_READS_PER_SECOND * 1000.0
        interval = max(MIN_POLL_INTERVAL_MS, budget_interval)
        self._loop.after(interval * (0.8 + 0.4 * self._random.random()), self._poll)

    def _catch_up(self, callback: Callable[[], None]) -> None:
        """Read newer changes from the table, then call ``callback``.

        Calls during a read share it.
        """
        self._after_read_callbacks.append(callback)
        if not self._is_reading:
            self._is_reading = True
            self._read_started = self._loop.clock.now()
            self._platform.read(HEAD_KEY, self._on_head_row)

    def _on_head_row(self, result: Result[Row | None, PlatformError]) -> None:
        if isinstance(result, Err):
            self.lease.on_read_failed()
            self._end_reading()
            return
        row = result.ok_value
        try:
            head = decode_head(row.value) if row is not None else Head(0, "")
        except ValueError as error:
            self._on_unreadable(error)
            return
        own_head = self.state.head
        if head == own_head:
            self.lease.on_read_succeeded(self._read_started)
            self._end_reading()
        elif head.version > own_head.version:
            self._read_changes()
        else:
            # The head is older, or has the same version with another digest.
            self._raise_alarm(
                f"the table offers version {head.version}, below {own_head}"
            )
            self._end_reading()

    def _read_changes(self) -> None:
        version = self.state.head.version
        if version == 0:
            SnapshotReader(self._platform, self._raise_alarm, self._on_snapshot).begin()
            return
        self._scan_changes()

    def _on_snapshot(self, loaded: LoadedSnapshot | None) -> None:
        if loaded is not None and self.state.load_snapshot(*loaded):
            self._on_adopted()
        self._scan_changes()

    def _scan_changes(self) -> None:
        after = change_key(self.state.head.version)
        self._platform.scan(
            CHANGE_PREFIX, after, CHANGES_PER_SCAN, self._on_change_rows
        )

    def _on_change_rows(self, result: Result[list[Row], PlatformError]) -> None:
        if isinstance(result, Err):
            self.lease.on_read_failed()
            self._end_reading()
            return
        rows = result.ok_value
        before = self.state.version
        try:
            self._adopt_rows(rows)
        except ValueError as error:
            self._on_unreadable(error)
            return
        has_changed = self.state.version > before
        if has_changed:
            self._on_adopted()
            self._send_all(self._replicator.pushes_since(before))
        if len(rows) == CHANGES_PER_SCAN and has_changed:
            self._scan_changes()
            return
        self.lease.on_read_succeeded(self._read_started)
        self._end_reading()

    def _adopt_rows(self, rows: list[Row]) -> None:
        for row in rows:
            change = decode_change(row.value)
            if self.state.adopt(change) in (ApplyResult.FORK, ApplyResult.GAP):
                self._raise_alarm(
                    f"change {change.version} in the table does not fit the history"
                )
                return

    def _on_unreadable(self, error: ValueError) -> None:
        """End a read of rows that can't be decoded; it counts as failed."""
        self._raise_alarm(f"the table holds rows that can't be read: {error}")
        self.lease.on_read_failed()
        self._end_reading()

    def _end_reading(self) -> None:
        self._is_reading = False
        callbacks, self._after_read_callbacks = self._after_read_callbacks, []
        for callback in callbacks:
            callback()

    def _on_decision(self, proposal: Proposal, decision: Decision) -> None:
        self._decision_by_id[proposal.id] = decision
        log.info("result of proposal", id=proposal.id, decision=repr(decision))
        if (
            isinstance(decision, Accepted)
            and decision.version % CHANGES_PER_SNAPSHOT == 0
        ):
            write_snapshot(self._platform, self.state.head, self.state.configuration)

    def _on_adopted(self) -> None:
        self.in_force_since = self._loop.clock.now()
        head = self.state.head
        log.info("configuration in force", version=head.version)
        self.fire(configuration_changed())

    def _send_all(self, outgoing: list[OutgoingMessage]) -> None:
        for outgoing_message in outgoing:
            self._send(outgoing_message.address, outgoing_message.message)

    def _raise_alarm(self, text: str) -> None:
        if not self.alarms or self.alarms[-1] != text:
            log.error(text)
            self.alarms.append(text)
