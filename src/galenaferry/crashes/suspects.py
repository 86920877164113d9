"""Which requests are suspected to crash instances, without network or clock.

When an instance crashes, all requests in flight there are suspects. The cause is the
one that recurs under several crashes without an answer in between. A suspect is tried
alone: one request with its fingerprint at a time in the fleet. After two crashes it is
paused, and after ``BLOCKING_ENDS`` it is blocked, until an instance of another version
runs.

The crashes of several variants of one kind of request, of several callers for instance,
are counted together as well; then the kind is blocked. One caller alone can't have the
requests of others blocked.
"""

from typing import Final, TypeVar

from ..clock import Millis
from .fingerprint import KIND_BYTES, kind_of, path_part
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
MIN_VARIANTS: Final = 2
"""Variants whose crashes are counted together for their kind."""
MAX_VARIANTS: Final = 16
"""Variants of a kind that are remembered."""
MAX_SUSPECTS: Final = 16_384
MAX_BLOCKED: Final = 32_768
"""Bounds of what is remembered, 15 and 22 MB."""

Key = TypeVar("Key", int, bytes)


class _Suspect:
    """One suspect request, or kind of request."""

    __slots__ = ("crashed_at_by_instance", "trial_until", "variants", "versions")

    def __init__(self) -> None:
        self.crashed_at_by_instance: dict[int, Millis] = {}
        self.trial_until: Millis = 0.0
        self.variants: set[bytes] = set()
        self.versions: set[str] = set()


class Suspects:
    """Suspect and blocked requests and kinds, by fingerprint or kind.

    Times are monotonic, in milliseconds.
    """

    def __init__(self) -> None:
        self._suspect_by_key: dict[bytes, _Suspect] = {}
        self._blocked_by_key: dict[bytes, Blocked] = {}
        self._blocked_at_by_key: dict[bytes, Millis] = {}
        self._cleared_at_by_key: dict[bytes, Millis] = {}
        self._alive_at_by_instance: dict[int, Millis] = {}
        self._count_by_path: dict[bytes, int] = {}

    def __bool__(self) -> bool:
        return bool(self._count_by_path)

    @property
    def blocked(self) -> dict[bytes, Blocked]:
        """The blocked requests by fingerprint, and the blocked kinds."""
        return self._blocked_by_key

    @property
    def suspect_count(self) -> int:
        """Number of suspect requests that are not blocked."""
        return sum(len(key) > KIND_BYTES for key in self._suspect_by_key)

    def has_path(self, digest: bytes) -> bool:
        """Whether a known fingerprint starts with the digest of a path."""
        return digest in self._count_by_path

    def is_suspect(self, key: bytes) -> bool:
        """Whether a request or kind is a suspect that is not blocked."""
        return key in self._suspect_by_key

    def blocked_keys(self, fingerprint: bytes) -> list[bytes]:
        """Return under which keys a request is blocked: by itself, or as its kind."""
        return [key for key in _keys_of(fingerprint) if key in self._blocked_by_key]

    def blocked_at(self, key: bytes) -> Millis:
        """Return since when a request or kind is blocked."""
        return self._blocked_at_by_key[key]

    def on_crash(
        self, fingerprint: bytes, instance: int, version: str, at: Millis
    ) -> None:
        """Record that a request was in flight at the crash of an instance."""
        if at <= self._alive_at_by_instance.get(instance, -1.0):
            return
        for key in _keys_of(fingerprint):
            blocked = self._blocked_by_key.get(key)
            if blocked is not None:
                self._blocked_by_key[key] = Blocked(
                    blocked.crashed_versions | {version},
                    blocked.serving_versions - {version},
                )
            elif at > self._cleared_at_by_key.get(key, -1.0):
                suspect = self._touch_suspect(key)
                if instance not in suspect.crashed_at_by_instance:
                    suspect.crashed_at_by_instance[instance] = at
                    suspect.trial_until = 0.0
                suspect.versions.add(version)
                if len(suspect.variants) < MAX_VARIANTS:
                    suspect.variants.add(fingerprint)

    def on_alive(self, instance: int, at: Millis) -> None:
        """Take back the crash of an instance that lived at a time."""
        _put_bounded(self._alive_at_by_instance, instance, at)
        for key, suspect in list(self._suspect_by_key.items()):
            if suspect.crashed_at_by_instance.pop(instance, None) is not None and (
                not suspect.crashed_at_by_instance
            ):
                self._drop_suspect(key)

    def on_answered(self, fingerprint: bytes, version: str, at: Millis) -> bool:
        """Handle that an instance of a version answered a request.

        A request is cleared by an answer of a version that it seemed to crash. Return
        whether that, or a version that serves a blocked request, is news.
        """
        is_news = False
        for key in _keys_of(fingerprint):
            blocked = self._blocked_by_key.get(key)
            suspect = self._suspect_by_key.get(key)
            if blocked is not None and version not in blocked.crashed_versions:
                serving = blocked.serving_versions | {version}
                self._blocked_by_key[key] = Blocked(blocked.crashed_versions, serving)
                is_news |= serving != blocked.serving_versions
            elif suspect is not None and version not in suspect.versions:
                suspect.trial_until = 0.0
            else:
                is_news |= self._clear_key(key, at)
        return is_news

    def clear(self, fingerprint: bytes, at: Millis) -> bool:
        """Forget the crashes until ``at`` of a request and its kind.

        Return whether one of them was known.
        """
        cleared = [self._clear_key(key, at) for key in _keys_of(fingerprint)]
        return any(cleared)

    def on_trial(self, fingerprint: bytes, at: Millis) -> None:
        """Handle that a suspect request is being tried since ``at``."""
        for suspect in self._suspects_of(fingerprint):
            suspect.trial_until = max(suspect.trial_until, at + TRIAL_MS)

    def on_trial_ended(self, fingerprint: bytes) -> None:
        """Handle the end of a trial without an answer or a crash."""
        for suspect in self._suspects_of(fingerprint):
            suspect.trial_until = 0.0

    def block(self, key: bytes, news: Blocked, at: Millis) -> bool:
        """Block a request or kind since ``at``; return whether that is new."""
        if at <= self._cleared_at_by_key.get(key, -1.0):
            return False
        crashed_versions = news.crashed_versions
        suspect = self._suspect_by_key.get(key)
        if suspect is not None:
            crashed_versions |= suspect.versions
            self._drop_suspect(key)
        known = self._blocked_by_key.get(key)
        old = known or Blocked()
        self._blocked_by_key[key] = Blocked(
            old.crashed_versions | crashed_versions,
            (old.serving_versions | news.serving_versions) - crashed_versions,
        )
        if known is not None:
            return False
        self._blocked_at_by_key[key] = at
        self._add_path(key)
        if len(self._blocked_by_key) > MAX_BLOCKED:
            self._drop_blocked(next(iter(self._blocked_by_key)))
        return True

    def ripe(self, now: Millis) -> list[bytes]:
        """Return the suspect requests and kinds that are to be blocked."""
        return [
            key
            for key, suspect in self._suspect_by_key.items()
            if len(suspect.crashed_at_by_instance) >= BLOCKING_ENDS
            and _is_counted(key, suspect)
            and sum(
                at <= now - RIPENING_MS
                for at in suspect.crashed_at_by_instance.values()
            )
            >= BLOCKING_ENDS
        ]

    def decide(self, fingerprint: bytes, now: Millis) -> Decision:
        """Return whether a request may be sent now."""
        blocked = [self._blocked_by_key[key] for key in self.blocked_keys(fingerprint)]
        if blocked:
            crashed = frozenset[str]().union(*(row.crashed_versions for row in blocked))
            serving = frozenset[str]().union(*(row.serving_versions for row in blocked))
            return Blocked(crashed, serving - crashed)
        decisions = [
            _decide(suspect, now)
            for key in _keys_of(fingerprint)
            if (suspect := self._suspect_by_key.get(key)) is not None
            and _is_counted(key, suspect)
        ]
        return max(decisions, key=_strictness, default=Allowed())

    def _suspects_of(self, fingerprint: bytes) -> list[_Suspect]:
        return [
            suspect
            for key in _keys_of(fingerprint)
            if (suspect := self._suspect_by_key.get(key)) is not None
        ]

    def _touch_suspect(self, key: bytes) -> _Suspect:
        """Return a suspect, new if needed, as the latest one of the dictionary."""
        suspect = self._suspect_by_key.pop(key, None)
        if suspect is None:
            suspect = _Suspect()
            self._add_path(key)
        self._suspect_by_key[key] = suspect
        if len(self._suspect_by_key) > MAX_SUSPECTS:
            self._drop_suspect(next(iter(self._suspect_by_key)))
        return suspect

    def _clear_key(self, key: bytes, at: Millis) -> bool:
        if key in self._blocked_by_key:
            self._drop_blocked(key)
        elif self.is_suspect(key):
            self._drop_suspect(key)
        else:
            return False
        _put_bounded(self._cleared_at_by_key, key, at)
        return True

    def _drop_blocked(self, key: bytes) -> None:
        del self._blocked_by_key[key]
        del self._blocked_at_by_key[key]
        self._remove_path(key)

    def _drop_suspect(self, key: bytes) -> None:
        del self._suspect_by_key[key]
        self._remove_path(key)

    def _add_path(self, key: bytes) -> None:
        digest = path_part(key)
        self._count_by_path[digest] = self._count_by_path.get(digest, 0) + 1

    def _remove_path(self, key: bytes) -> None:
        digest = path_part(key)
        self._count_by_path[digest] -= 1
        if not self._count_by_path[digest]:
            del self._count_by_path[digest]


def _keys_of(fingerprint: bytes) -> tuple[bytes, ...]:
    """Return a fingerprint and its kind, or a kind alone."""
    kind = kind_of(fingerprint)
    return (fingerprint, kind) if fingerprint != kind else (kind,)


def _is_counted(key: bytes, suspect: _Suspect) -> bool:
    """Whether the crashes of a suspect count, not only those of its one variant."""
    return len(key) > KIND_BYTES or len(suspect.variants) >= MIN_VARIANTS


def _decide(suspect: _Suspect, now: Millis) -> Decision:
    crashed_at = suspect.crashed_at_by_instance.values()
    if len(crashed_at) >= PAUSING_ENDS:
        until = max(crashed_at) + PAUSE_MS
        # The latest crashes may ripen, or turn out to be none.
        if len(crashed_at) >= BLOCKING_ENDS or now < until:
            return Paused(until)
    if now < suspect.trial_until:
        return Held(suspect.trial_until)
    return Allowed(is_trial=True)


def _strictness(decision: Decision) -> tuple[int, Millis]:
    match decision:
        case Allowed(is_trial):
            return int(is_trial), 0.0
        case Held(until):
            return 2, until
        case Paused(until):
            return 3, until
        case Blocked():
            return 4, 0.0


def _put_bounded(at_by_key: dict[Key, Millis], key: Key, at: Millis) -> None:
    """Set a time as the latest one of a dictionary of ``MAX_SUSPECTS`` at most."""
    at_by_key.pop(key, None)
    at_by_key[key] = at
    if len(at_by_key) > MAX_SUSPECTS:
        del at_by_key[next(iter(at_by_key))]
