"""Which requests are suspected to crash instances, without network or clock.

When an instance crashes, all requests in flight there are suspects. The cause is the
one that recurs under several crashes without an answer in between. A suspect is tried
alone: one request of its kind at a time in the fleet. After two crashes it is paused,
and after ``BLOCKING_ENDS`` it is blocked, until an instance of another version runs.
"""

from typing import Final, TypeVar

from ..clock import Millis
from .messages import Allowed, Blocked, Decision, Held, Paused

BLOCKING_ENDS: Final = 3
"""Crashes after which a request is blocked."""
PAUSING_ENDS: Final = 2
PAUSE_MS: Final[Millis] = 10_000.0
"""Time without a trial after ``PAUSING_ENDS`` crashes."""
TRIAL_MS: Final[Millis] = 3_000.0
"""Time after which a trial without news no longer keeps others waiting."""
RIPENING_MS: Final[Millis] = 700.0
"""Time after a crash in which other VMs may find that the instance lives."""
MAX_SUSPECTS: Final = 8_192
MAX_BLOCKED: Final = 65_536
"""Bounds of the requests that are remembered, about 20 MB in all."""

Key = TypeVar("Key", int, bytes)


class _Suspect:
    """One suspect request."""

    __slots__ = ("crashed_at_by_instance", "trial_until", "versions")

    def __init__(self) -> None:
        self.crashed_at_by_instance: dict[int, Millis] = {}
        self.trial_until: Millis = 0.0
        self.versions: set[str] = set()


class Suspects:
    """Suspect and blocked requests by fingerprint.

    Times are monotonic, in milliseconds.
    """

    def __init__(self) -> None:
        self._suspect_by_fingerprint: dict[bytes, _Suspect] = {}
        self._blocked_by_fingerprint: dict[bytes, Blocked] = {}
        self._blocked_at_by_fingerprint: dict[bytes, Millis] = {}
        self._cleared_at_by_fingerprint: dict[bytes, Millis] = {}
        self._alive_at_by_instance: dict[int, Millis] = {}
        self._count_by_head: dict[bytes, int] = {}

    def __bool__(self) -> bool:
        return bool(self._count_by_head)

    @property
    def blocked(self) -> dict[bytes, Blocked]:
        """The blocked requests by fingerprint."""
        return self._blocked_by_fingerprint

    @property
    def suspect_count(self) -> int:
        """Number of suspects that are not blocked."""
        return len(self._suspect_by_fingerprint)

    def has_head(self, head: bytes) -> bool:
        """Whether a known fingerprint starts with the digest of a head."""
        return head in self._count_by_head

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether a request is a suspect that is not blocked."""
        return fingerprint in self._suspect_by_fingerprint

    def is_blocked(self, fingerprint: bytes) -> bool:
        """Whether a request is blocked."""
        return fingerprint in self._blocked_by_fingerprint

    def on_crash(
        self, fingerprint: bytes, instance: int, version: str, at: Millis
    ) -> None:
        """Record that a request was in flight at the crash of an instance."""
        blocked = self._blocked_by_fingerprint.get(fingerprint)
        if blocked is not None:
            self._blocked_by_fingerprint[fingerprint] = Blocked(
                blocked.crashed_versions | {version},
                blocked.serving_versions - {version},
            )
            return
        refuted_at = self._alive_at_by_instance.get(instance, -1.0)
        cleared_at = self._cleared_at_by_fingerprint.get(fingerprint, -1.0)
        if at <= max(refuted_at, cleared_at):
            return
        suspect = self._suspect_by_fingerprint.pop(fingerprint, None)
        if suspect is None:
            suspect = _Suspect()
            self._add_head(fingerprint)
        # The latest one is the last one of the dictionary.
        self._suspect_by_fingerprint[fingerprint] = suspect
        known_at = suspect.crashed_at_by_instance.get(instance)
        if known_at is None:
            suspect.crashed_at_by_instance[instance] = at
            suspect.trial_until = 0.0
        suspect.versions.add(version)
        while len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._drop_suspect(next(iter(self._suspect_by_fingerprint)))

    def on_alive(self, instance: int, at: Millis) -> None:
        """Take back the crash of an instance that lived at a time."""
        _put_bounded(self._alive_at_by_instance, instance, at)
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            if suspect.crashed_at_by_instance.pop(instance, None) is not None and (
                not suspect.crashed_at_by_instance
            ):
                self._drop_suspect(fingerprint)

    def on_answered(self, fingerprint: bytes, version: str, at: Millis) -> bool:
        """Handle that an instance of a version answered a request.

        A request is cleared by an answer of a version that it seemed to crash. Return
        whether that, or a version that serves a blocked request, is news.
        """
        blocked = self._blocked_by_fingerprint.get(fingerprint)
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if blocked is not None and version not in blocked.crashed_versions:
            serving = blocked.serving_versions | {version}
            self._blocked_by_fingerprint[fingerprint] = Blocked(
                blocked.crashed_versions, serving
            )
            return serving != blocked.serving_versions
        if suspect is not None and version not in suspect.versions:
            suspect.trial_until = 0.0
            return False
        return self.clear(fingerprint, at)

    def clear(self, fingerprint: bytes, at: Millis) -> bool:
        """Forget a request's crashes until ``at``; return whether it was known."""
        if self.is_blocked(fingerprint):
            self._drop_blocked(fingerprint)
        elif self.is_suspect(fingerprint):
            self._drop_suspect(fingerprint)
        else:
            return False
        _put_bounded(self._cleared_at_by_fingerprint, fingerprint, at)
        return True

    def on_trial(self, fingerprint: bytes, at: Millis) -> None:
        """Handle that a suspect request is being tried since ``at``."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = max(suspect.trial_until, at + TRIAL_MS)

    def on_trial_ended(self, fingerprint: bytes) -> None:
        """Handle the end of a trial without an answer or a crash."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = 0.0

    def blocked_at(self, fingerprint: bytes) -> Millis:
        """Return since when a request is blocked."""
        return self._blocked_at_by_fingerprint[fingerprint]

    def block(self, fingerprint: bytes, news: Blocked, at: Millis) -> bool:
        """Block a request since ``at``; return whether that is new."""
        if at <= self._cleared_at_by_fingerprint.get(fingerprint, -1.0):
            return False
        crashed_versions = news.crashed_versions
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None:
            crashed_versions |= suspect.versions
            self._drop_suspect(fingerprint)
        known = self._blocked_by_fingerprint.get(fingerprint)
        old = known or Blocked()
        self._blocked_by_fingerprint[fingerprint] = Blocked(
            old.crashed_versions | crashed_versions,
            (old.serving_versions | news.serving_versions) - crashed_versions,
        )
        if known is not None:
            return False
        self._blocked_at_by_fingerprint[fingerprint] = at
        self._add_head(fingerprint)
        if len(self._blocked_by_fingerprint) > MAX_BLOCKED:
            self._drop_blocked(next(iter(self._blocked_by_fingerprint)))
        return True

    def ripe(self, now: Millis) -> list[bytes]:
        """Return the suspects that are to be blocked."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if len(suspect.crashed_at_by_instance) >= BLOCKING_ENDS
            and sum(
                at <= now - RIPENING_MS
                for at in suspect.crashed_at_by_instance.values()
            )
            >= BLOCKING_ENDS
        ]

    def decide(self, fingerprint: bytes, now: Millis) -> Decision:
        """Return whether a request may be sent now."""
        blocked = self._blocked_by_fingerprint.get(fingerprint)
        if blocked is not None:
            return blocked
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return Allowed()
        crashed_at = suspect.crashed_at_by_instance.values()
        if len(crashed_at) >= PAUSING_ENDS:
            until = max(crashed_at) + PAUSE_MS
            # Another end may ripen, or turn out to be none.
            if len(crashed_at) >= BLOCKING_ENDS or now < until:
                return Paused(until)
        if now < suspect.trial_until:
            return Held(suspect.trial_until)
        return Allowed(is_trial=True)

    def _drop_blocked(self, fingerprint: bytes) -> None:
        del self._blocked_by_fingerprint[fingerprint]
        del self._blocked_at_by_fingerprint[fingerprint]
        self._remove_head(fingerprint)

    def _drop_suspect(self, fingerprint: bytes) -> None:
        del self._suspect_by_fingerprint[fingerprint]
        self._remove_head(fingerprint)

    def _add_head(self, fingerprint: bytes) -> None:
        head = fingerprint[: len(fingerprint) // 2]
        self._count_by_head[head] = self._count_by_head.get(head, 0) + 1

    def _remove_head(self, fingerprint: bytes) -> None:
        head = fingerprint[: len(fingerprint) // 2]
        self._count_by_head[head] -= 1
        if not self._count_by_head[head]:
            del self._count_by_head[head]


def _put_bounded(at_by_key: dict[Key, Millis], key: Key, at: Millis) -> None:
    """Set a time as the latest one of a dictionary of ``MAX_SUSPECTS`` at most."""
    at_by_key.pop(key, None)
    at_by_key[key] = at
    if len(at_by_key) > MAX_SUSPECTS:
        del at_by_key[next(iter(at_by_key))]
