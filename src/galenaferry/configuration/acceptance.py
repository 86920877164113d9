"""Acceptance of a proposal by a conditional write, which decides the order.

The row of the proposal's id is written in the same transaction as the change. A
transaction whose response was lost is repeated: it either takes effect now, or the
id is already present. Reading that the id is absent would prove nothing, since the
first write may still be in flight.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Result

from ..clock import Millis
from ..findings import Finding
from ..json_data import FIELD_ERRORS, parse_json
from ..network.loop import Loop
from ..store.client import PlatformClient
from ..store.messages import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    PlatformError,
    Put,
    Row,
    Transaction,
)
from .impact import LiveFleet, find_warnings
from .messages import Change, Head, Proposal, encode_change, make_change
from .state import ConfigurationState

HEAD_KEY: Final = "configuration/head"
CHANGE_PREFIX: Final = "configuration/change/"
ID_PREFIX: Final = "configuration/id/"
RETRY_INTERVAL_MS: Final = 300.0
"""Delay before a commit is tried again after a failed call to the platform."""
RETRY_TIMEOUT_MS: Final = 30_000.0
"""Time after which an undecided proposal is not retried any more."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal was committed as version ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Clashing:
    """Later changes set the same keys to other values; nothing was written.

    ``changes`` is empty if this VM's history does not contain the base version.
    """

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """The proposal is invalid, or has warnings without an override.

    Nothing was written.
    """

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Undecided:
    """The outcome is not known yet, such as while the platform does not respond.

    ``ProposalCommit`` tries again, so a later query by the same id may return it.
    """

    reason: str


Decision = Accepted | Clashing | Refused | Undecided


def change_key(version: int) -> str:
    """Return the key of a change's row; keys sort in the order of versions."""
    return f"{CHANGE_PREFIX}{version:012d}"


def encode_head(head: Head) -> str:
    """Encode the value of the head's row."""
    return json.dumps({"version": head.version, "digest": head.digest})


def decode_head(text: str) -> Head:
    """Decode the head from the value of its row.

    Raises
    ------
    ValueError
        If the text is not a head.
    """
    try:
        data = parse_json(text)
        return Head(int(data["version"]), str(data["digest"]))
    except FIELD_ERRORS as error:
        raise ValueError(f"invalid configuration head: {error!r}") from None


class ProposalCommit:
    """Commits one proposal to the platform's table, with retries.

    Parameters
    ----------
    loop : Loop
    platform : PlatformClient
    state : ConfigurationState
    proposal : Proposal
    catch_up : callable
        Reads newer changes into ``state``, then calls its argument.
    live_fleet : callable
        Returns the live fleet, which the change is checked against.
    done : callable
        Called with every decision. ``Undecided`` is followed by another one, unless
        ``RETRY_TIMEOUT_MS`` has passed.
    """

    def __init__(
        self,
        loop: Loop,
        platform: PlatformClient,
        state: ConfigurationState,
        proposal: Proposal,
        catch_up: Callable[[Callable[[], None]], None],
        live_fleet: Callable[[], LiveFleet],
        done: Callable[[Decision], None],
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._state = state
        self._proposal = proposal
        self._catch_up = catch_up
        self._live_fleet = live_fleet
        self._done = done
        self._retry_deadline: Millis = loop.clock.now() + RETRY_TIMEOUT_MS
        self._sent_change: Change | None = None

    def begin(self) -> None:
        """Check whether the id was accepted already, then commit the change."""
        key = ID_PREFIX + self._proposal.id
        self._platform.read(key, self._on_id_row)

    def _on_id_row(self, result: Result[Row | None, PlatformError]) -> None:
        if isinstance(result, Err):
            self._retry_later(result.err_value.text)
        elif result.ok_value is not None:
            self._on_accepted_earlier(result.ok_value.value)
        else:
            self._catch_up(self._read_head)

    def _on_accepted_earlier(self, value: str) -> None:
        try:
            accepted = Accepted(int(value))
        except FIELD_ERRORS:
            self._retry_later("the row of the change can't be read")
            return
        self._catch_up(lambda: self._done(accepted))

    def _read_head(self) -> None:
        self._platform.read(HEAD_KEY, self._on_head_row)

    def _on_head_row(self, result: Result[Row | None, PlatformError]) -> None:
        if isinstance(result, Err):
            self._retry_later(result.err_value.text)
            return
        row = result.ok_value
        try:
            head = decode_head(row.value) if row is not None else Head(0, "")
        except ValueError as error:
            self._retry_later(str(error))
            return
        if head != self._state.head:
            self._retry_later("this VM has not caught up with the newest version")
            return
        self._check_and_commit(row.revision if row is not None else ABSENT_REVISION)

    def _check_and_commit(self, revision: int) -> None:
        state, proposal = self._state, self._proposal
        clashes = state.clashing_changes(proposal)
        if clashes is None or proposal.base > state.head.version:
            self._done(Clashing(()))
            return
        if clashes:
            self._done(Clashing(tuple(clashes)))
            return
        findings = state.configuration.check(proposal.edits)
        if not findings and not proposal.override:
            findings = find_warnings(
                state.configuration, proposal.edits, self._live_fleet()
            )
        if findings:
            self._done(Refused(tuple(findings)))
            return
        change = make_change(state.head, proposal, self._loop.clock.wall_time())
        self._sent_change = change
        id_key = ID_PREFIX + proposal.id
        transaction = Transaction(
            conditions=(
                Condition(HEAD_KEY, revision),
                Condition(id_key, ABSENT_REVISION),
            ),
            puts=(
                Put(HEAD_KEY, encode_head(Head(change.version, change.digest))),
                Put(change_key(change.version), encode_change(change)),
                Put(id_key, str(change.version)),
            ),
        )
        self._platform.commit(transaction, self._on_commit)

    def _on_commit(self, result: Result[Committed | Conflict, PlatformError]) -> None:
        if isinstance(result, Err):
            self._retry_later(result.err_value.text)
            return
        match result.ok_value:
            case Committed():
                assert self._sent_change is not None
                version = self._sent_change.version
                self._catch_up(lambda: self._done(Accepted(version)))
            case Conflict():
                # The head changed, or the id was accepted in the meantime.
                self.begin()

    def _retry_later(self, reason: str) -> None:
        self._done(Undecided(reason))
        if self._loop.clock.now() < self._retry_deadline:
            self._loop.after(RETRY_INTERVAL_MS, self.begin)
