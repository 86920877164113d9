"""Numbers that decide which requests are refused.

A random number for each arrival would favor callers that repeat a refused request at
once: they would soon have one that is admitted. The number is instead a hash of the
request and of a period, the same for repetitions at all VMs.
"""

from typing import Final

import xxhash

from ..clock import Millis

PERIOD_MS: Final[Millis] = 10_000.0
"""Time for which a request keeps its number, longer than most deadlines of callers.

With 1.5 s, callers at four times the capacity drew three numbers in their time, so that
no limit on the refusals of a priority kept instances from rejecting most requests.
"""
COMMON_COUNT: Final = 3
"""Admissions of one digest from which its requests are taken for different ones."""
MEMORY_MS: Final[Millis] = 10_000.0
"""Time after which requests begin to be forgotten."""
MAX_DIGESTS: Final = 4_096
"""Digests in each half of the memory."""


def digest_request(caller: str, *parts: bytes) -> int:
    """Return a number that is the same for all repetitions of a request.

    ``parts`` are those of its head that a repetition has in common with it.
    """
    return xxhash.xxh64_intdigest(b"\n".join((caller.encode(), *parts)))


def draw_for(digest: int, wall_time: Millis) -> float:
    """Return the number of a digest, from 0 to 1.

    The periods of each digest begin at a time of its own.
    """
    period = int((wall_time + digest % int(PERIOD_MS)) // PERIOD_MS)
    return xxhash.xxh64_intdigest(b"%d %d" % (digest, period)) / 2.0**64


class DigestCounts:
    """Counts of recent digests, in a newer and an older half of bounded size."""

    __slots__ = ("_began_at", "_newer", "_older")

    def __init__(self, now: Millis) -> None:
        self._began_at = now
        self._newer: dict[int, int] = {}
        self._older: dict[int, int] = {}

    def add(self, digest: int, now: Millis) -> None:
        """Count a request."""
        if now - self._began_at >= MEMORY_MS or len(self._newer) >= MAX_DIGESTS:
            self._older, self._newer, self._began_at = self._newer, {}, now
        self._newer[digest] = self._newer.get(digest, 0) + 1

    def is_common(self, digest: int) -> bool:
        """Whether a digest stands for many requests rather than for repetitions."""
        count = self._newer.get(digest, 0) + self._older.get(digest, 0)
        return count >= COMMON_COUNT


class RefusedDigests:
    """Digests that were refused and are not to be repeated before a time."""

    __slots__ = ("_until_by_digest",)

    def __init__(self) -> None:
        self._until_by_digest: dict[int, Millis] = {}

    def add(self, digest: int, until: Millis) -> None:
        """Keep a refusal, in place of the oldest one if there are too many."""
        self._until_by_digest.pop(digest, None)
        self._until_by_digest[digest] = until
        if len(self._until_by_digest) > MAX_DIGESTS:
            del self._until_by_digest[next(iter(self._until_by_digest))]

    def until(self, digest: int, now: Millis) -> Millis:
        """Return the time before which a digest is refused, 0 if it is not."""
        until = self._until_by_digest.get(digest, 0.0)
        if until > now:
            return until
        self._until_by_digest.pop(digest, None)
        return 0.0
