"""What instances announce in their responses: that they leave, or ask for a pause.

Made for instances that shut down or shed load while the store and the VMs that read it
say nothing of it. Both announcements bind this VM whatever the health of the other
instances and the floor:

- A leaving instance gets no new requests, except that the last ones of a service are
  used for a part of the drain timeout. An instance does not take this back; started
  again, it has another name.
- A pausing instance gets none until the end of its pause.
"""

from enum import Enum
from typing import Final

from ..clock import Millis
from ..logs import logger
from .candidates import StaticCandidate

MAX_PAUSE_MS: Final = 60_000.0
"""Longest pause that is granted. A longer one would exclude an instance because of one
wrong value, until long after its load is over."""
PAUSE_MARGIN_MS: Final = 50.0
"""Time added to a pause, since the instance counts it from when it sent the response
and requests under way arrive earlier than new ones."""
LAST_RESORT_FRACTION: Final = 0.5
"""Part of the drain timeout for which a service uses leaving instances if it has no
others. The rest covers requests that were received earlier and wait."""
MAX_LEAVING: Final = 4_000
"""Number of leaving instances whose names are kept, those of some hours."""

log = logger("placing")


class Usability(Enum):
    """Whether new requests may be sent to an instance."""

    USABLE = "usable"
    LAST_RESORT = "last resort"
    UNUSABLE = "unusable"


class Announcements:
    """Announcements of instances by name."""

    def __init__(self) -> None:
        self._leaving_since_by_name: dict[str, Millis] = {}
        self._paused_until_by_name: dict[str, Millis] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no instance has announced anything."""
        return not (self._leaving_since_by_name or self._paused_until_by_name)

    def on_leaving(self, name: str, source: str, since: Millis) -> bool:
        """Record that an instance leaves; return whether that is new.

        ``source`` is this VM or the address of the VM that reports it, for the log.
        ``since`` is when that one heard of it.
        """
        known_since = self._leaving_since_by_name.get(name)
        if known_since is not None:
            self._leaving_since_by_name[name] = min(known_since, since)
            return False
        self._leaving_since_by_name[name] = since
        if len(self._leaving_since_by_name) > MAX_LEAVING:
            del self._leaving_since_by_name[next(iter(self._leaving_since_by_name))]
        log.info("instance announced that it leaves", instance=name, told_by=source)
        return True

    def on_pause(self, name: str, interval: Millis, now: Millis) -> None:
        """Record that an instance asks for no requests for ``interval`` ms."""
        granted = min(interval, MAX_PAUSE_MS)
        until = now + granted + PAUSE_MARGIN_MS
        is_longer = until > self._paused_until_by_name.get(name, now)
        if is_longer:
            self._paused_until_by_name[name] = until
            log.info(
                "instance asked for a pause",
                instance=name,
                asked_ms=int(interval),
                granted_ms=int(granted),
            )

    def usable(
        self, candidates: list[StaticCandidate], drain_timeout: Millis, now: Millis
    ) -> list[StaticCandidate]:
        """Return the candidates whose announcements permit new requests."""
        by_usability: dict[Usability, list[StaticCandidate]] = {}
        for candidate in candidates:
            usability = self._usability(candidate.name, drain_timeout, now)
            by_usability.setdefault(usability, []).append(candidate)
        return by_usability.get(Usability.USABLE) or by_usability.get(
            Usability.LAST_RESORT, []
        )

    def unusable_leaving(
        self,
        names: list[str],
        listed: frozenset[str],
        drain_timeout: Millis,
        now: Millis,
    ) -> list[str]:
        """Return the names of leaving instances that get no new requests at all.

        Those among ``names`` come first, then those that are not ``listed`` any more,
        the latest ones first: other VMs may still list them.
        """
        unlisted = [
            name for name in reversed(self._leaving_since_by_name) if name not in listed
        ]
        return [
            name
            for name in names + unlisted
            if name in self._leaving_since_by_name
            and self._usability(name, drain_timeout, now) is Usability.UNUSABLE
        ]

    def _usability(self, name: str, drain_timeout: Millis, now: Millis) -> Usability:
        """Return whether a new request may be sent to an instance now."""
        if self.paused_until(name, now) > now:
            return Usability.UNUSABLE
        leaving_since = self._leaving_since_by_name.get(name)
        if leaving_since is None:
            return Usability.USABLE
        if now - leaving_since < LAST_RESORT_FRACTION * drain_timeout:
            return Usability.LAST_RESORT
        return Usability.UNUSABLE

    def paused_until(self, name: str, now: Millis) -> Millis:
        """Return the end of the pause of an instance, ``now`` if it has none."""
        until = self._paused_until_by_name.get(name)
        if until is None:
            return now
        if until <= now:
            del self._paused_until_by_name[name]
            return now
        return until

    def is_leaving(self, name: str) -> bool:
        """Whether an instance announced that it leaves."""
        return name in self._leaving_since_by_name
