"""Spreading of changes between VMs: decisions without sockets.

A new change is pushed to a few random VMs, each of which pushes it on when it
hears of it for the first time. Heartbeats carry the version, by which VMs that
missed the pushes are found and mended.
"""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from .messages import Change, Head
from .state import Adoption, ConfigurationStore

FANOUT: Final = 4
CHANGES_PER_PUSH: Final = 16
REPAIR_INTERVAL_MS: Final = 200.0


class Push(NamedTuple):
    """Changes in the order of their versions."""

    changes: tuple[Change, ...]


class Pull(NamedTuple):
    """Request for the changes after ``after``."""

    after: int


class Send(NamedTuple):
    """A message and the address of the VM that it goes to."""

    address: str
    message: Push | Pull


class Received(NamedTuple):
    """What came of a push: messages to send, and whether a fork was offered."""

    sends: list[Send]
    adopted: list[Change]
    is_fork: bool


PeersOf = Callable[[int], list[str]]


class Spreader:
    """Spreads the changes of one store.

    Parameters
    ----------
    store : ConfigurationStore
    peers : callable
        Gives up to so many random addresses of live VMs.
    random : Random
    """

    def __init__(
        self, store: ConfigurationStore, peers: PeersOf, random: Random
    ) -> None:
        self._store = store
        self._peers = peers
        self._random = random
        self._mended_at_by_address: dict[str, Millis] = {}
        self._pulled_at: Millis = -REPAIR_INTERVAL_MS

    def announce(self, changes: list[Change]) -> list[Send]:
        """Return the pushes of changes that this VM has just adopted."""
        if not changes:
            return []
        push = Push(tuple(changes[-CHANGES_PER_PUSH:]))
        return [Send(address, push) for address in self._peers(FANOUT)]

    def on_push(self, sender: str, push: Push, now: Millis) -> Received:
        """Adopt changes and pass on those that are news."""
        adopted: list[Change] = []
        for change in push.changes:
            match self._store.adopt(change):
                case Adoption.ADOPTED:
                    adopted.append(change)
                case Adoption.FORK:
                    return Received(self.announce(adopted), adopted, True)
                case Adoption.GAP:
                    sends = self.announce(adopted) + self._pull(sender, now)
                    return Received(sends, adopted, False)
        return Received(self.announce(adopted), adopted, False)

    def on_head(self, sender: str, head: Head, now: Millis) -> list[Send]:
        """Compare the version in a heartbeat with the own one."""
        mine = self._store.head.version
        if head.version > mine:
            return self._pull(sender, now)
        if head.version < mine:
            return self._mend(sender, head.version, now)
        return []

    def on_pull(self, sender: str, pull: Pull) -> list[Send]:
        """Return the changes that were asked for."""
        changes = self._store.changes_after(pull.after, CHANGES_PER_PUSH)
        return [Send(sender, Push(tuple(changes)))] if changes else []

    def _pull(self, address: str, now: Millis) -> list[Send]:
        if now - self._pulled_at < REPAIR_INTERVAL_MS:
            return []
        self._pulled_at = now
        return [Send(address, Pull(self._store.head.version))]

    def _mend(self, address: str, version: int, now: Millis) -> list[Send]:
        """Push what a VM lacks, at most once in a while for each."""
        last = self._mended_at_by_address.get(address, -REPAIR_INTERVAL_MS)
        changes = self._store.changes_after(version, CHANGES_PER_PUSH)
        if not changes or now - last < REPAIR_INTERVAL_MS:
            return []
        self._mended_at_by_address[address] = now
        return [Send(address, Push(tuple(changes)))]
