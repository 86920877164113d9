"""Sends notes to the other VMs, repeatedly, since datagrams get lost."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis
from ..network.loop import Loop
from .messages import CrashNote

REPEAT_DELAYS_MS: Final = (300.0, 1_000.0)
"""Delays after which important notes are sent again to all VMs."""
NOTES_PER_MESSAGE: Final = 16
GOSSIP_INTERVAL_MS: Final[Millis] = 1_000.0
GOSSIPED_MS: Final[Millis] = 20_000.0
"""Time for which news is passed on to random VMs. It reaches VMs that were paused, or
missed all of the messages."""
MAX_RECENT: Final = 512

SendNotes = Callable[[tuple[CrashNote, ...]], None]


class NewsLinks(NamedTuple):
    """Functions that send notes to all other VMs, and to a few random ones."""

    send_to_all: SendNotes
    send_to_some: SendNotes


class CrashNews:
    """Notes of this VM, and those of others that it passes on.

    Parameters
    ----------
    loop : Loop
    random : Random
    links : NewsLinks
    """

    def __init__(self, loop: Loop, random: Random, links: NewsLinks) -> None:
        self._loop = loop
        self._random = random
        self._links = links
        self._recent: deque[tuple[Millis, CrashNote]] = deque(maxlen=MAX_RECENT)
        loop.every(GOSSIP_INTERVAL_MS, self._gossip)

    def send(self, notes: tuple[CrashNote, ...], is_repeated: bool = False) -> None:
        """Send notes to all VMs, with their ages at this moment."""
        sent_at = self._loop.clock.now()

        def send() -> None:
            age = self._loop.clock.now() - sent_at
            aged = [note._replace(age=note.age + age) for note in notes]
            for start in range(0, len(aged), NOTES_PER_MESSAGE):
                self._links.send_to_all(tuple(aged[start : start + NOTES_PER_MESSAGE]))

        send()
        for delay in REPEAT_DELAYS_MS if is_repeated else ():
            self._loop.after(delay, send)

    def pass_on(self, note: CrashNote, at: Millis) -> None:
        """Tell random VMs for some time of an event at ``at``."""
        bare = note._replace(age=0.0, id=0)
        if all(bare != recent for _, recent in self._recent):
            self._recent.append((at, bare))

    def _gossip(self) -> None:
        now = self._loop.clock.now()
        while self._recent and self._recent[0][0] < now - GOSSIPED_MS:
            self._recent.popleft()
        if self._recent:
            count = min(NOTES_PER_MESSAGE, len(self._recent))
            sample = self._random.sample(list(self._recent), count)
            aged = tuple(note._replace(age=now - at) for at, note in sample)
            self._links.send_to_some(aged)
