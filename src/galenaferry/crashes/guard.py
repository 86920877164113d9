"""Keeps requests that crash instances from reaching more of them.

The VM tells the others which of its requests were in flight when an instance crashed. A
few other VMs check the instance as well, since the link of one VM may be at fault.
``suspects`` decides what follows for a request.
"""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis
from ..health.messages import instance_key
from ..logs import logger
from ..network.loop import Loop
from .detector import CrashDetector, DetectorLinks
from .fingerprint import kind_of
from .messages import Blocked, CrashNote, Decision, NoteKind
from .news import CrashNews, NewsLinks
from .suspects import RIPENING_MS, Suspects

BLOCK_SPREAD_MS: Final[Millis] = 200.0
"""VMs that find the same request to be blocked tell it at random times within this, so
that the first one spares the others the message."""
VERIFIED_MS: Final[Millis] = 1_500.0
"""Age up to which a reported crash is checked; later another instance may have the
address."""
THIS_VM: Final = "this VM"

log = logger("crashes")


class GuardLinks(NamedTuple):
    """How a guard reaches the other VMs and the store.

    Attributes
    ----------
    news : NewsLinks
    is_leaving, is_verifier, check_own_links : callable
        As in ``DetectorLinks``.
    save_blocked : callable
        Stores that a request is blocked, or with None that it no longer is.
    claim_trial : callable
        Claims the one trial of a blocked request at instances of a version; calls its
        last argument with whether this VM got it.
    """

    news: NewsLinks
    is_leaving: Callable[[str], bool]
    is_verifier: Callable[[int], bool]
    check_own_links: Callable[[Callable[[bool], None]], None]
    save_blocked: Callable[[bytes, Blocked | None], None]
    claim_trial: Callable[[bytes, str, Callable[[bool], None]], None]


class CrashGuard:
    """Suspect and blocked requests in the view of this VM.

    Parameters
    ----------
    loop : Loop
    random : Random
    links : GuardLinks

    Attributes
    ----------
    detector : CrashDetector
    """

    def __init__(self, loop: Loop, random: Random, links: GuardLinks) -> None:
        self._loop = loop
        self._random = random
        self._links = links
        self._suspects = Suspects()
        self._news = CrashNews(loop, random, links.news)
        self._waiting_by_fingerprint: dict[bytes, list[Callable[[], None]]] = {}
        self._untold: set[bytes] = set()
        self.detector = CrashDetector(
            loop,
            DetectorLinks(
                links.is_leaving,
                links.is_verifier,
                links.check_own_links,
                self._on_crash,
                self._on_alive,
            ),
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected or blocked."""
        return not self._suspects

    @property
    def suspect_count(self) -> int:
        """Number of suspect requests that are not blocked."""
        return self._suspects.suspect_count

    @property
    def blocked(self) -> dict[bytes, Blocked]:
        """The blocked requests by fingerprint, and the blocked kinds."""
        return self._suspects.blocked

    def has_path(self, digest: bytes) -> bool:
        """Whether requests with the digest of this path are suspected or blocked."""
        return self._suspects.has_path(digest)

    def decide(self, fingerprint: bytes) -> Decision:
        """Return whether a request may be sent now."""
        return self._suspects.decide(fingerprint, self._loop.clock.now())

    def on_answered(self, instance: Instance, fingerprint: bytes) -> None:
        """Handle that an instance answered a request."""
        self.detector.on_answered(instance)
        self._clear(fingerprint, instance.version)

    def lift(self, fingerprint: bytes) -> bool:
        """Let a request and its kind through again; return whether it was known."""
        return self._clear(fingerprint, "")

    def start_trial(self, fingerprint: bytes) -> None:
        """Let a suspect request through, and have all others like it wait."""
        self._suspects.on_trial(fingerprint, self._loop.clock.now())
        self._news.send((CrashNote(NoteKind.TRIAL, fingerprint),))

    def end_trial(self, fingerprint: bytes) -> None:
        """Handle the end of a trial that showed nothing."""
        self._suspects.on_trial_ended(fingerprint)
        self._wake(fingerprint)

    def claim_trial(
        self, fingerprint: bytes, version: str, done: Callable[[bool], None]
    ) -> None:
        """Claim the one trial of a blocked kind at instances of a version."""
        self._links.claim_trial(kind_of(fingerprint), version, done)

    def when_changed(
        self, fingerprint: bytes, until: Millis, callback: Callable[[], None]
    ) -> None:
        """Call back after news of a request, at a time at the latest."""
        self._waiting_by_fingerprint.setdefault(fingerprint, []).append(callback)
        delay = max(1.0, until - self._loop.clock.now())
        self._loop.after(delay, lambda: self._wake(fingerprint))

    def load_blocked(self, blocked_by_fingerprint: dict[bytes, Blocked]) -> None:
        """Add requests that are stored as blocked."""
        now = self._loop.clock.now()
        for fingerprint, blocked in blocked_by_fingerprint.items():
            self._suspects.block(fingerprint, blocked, now)

    def on_notes(self, sender: str, notes: Iterable[CrashNote]) -> None:
        """Handle notes of another VM at the address ``sender``."""
        now = self._loop.clock.now()
        for note in notes:
            self._on_note(sender, note, now - note.age)
        if not self.is_idle:
            self._loop.after(RIPENING_MS, self._block_ripe)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON data."""
        return {
            "suspects": self.suspect_count,
            "blocked": {
                fingerprint.hex(): {
                    "crashed_versions": sorted(blocked.crashed_versions),
                    "serving_versions": sorted(blocked.serving_versions),
                }
                for fingerprint, blocked in self.blocked.items()
            },
        }

    def _on_note(self, sender: str, note: CrashNote, at: Millis) -> None:
        fingerprint = note.fingerprint
        match note.kind:
            case NoteKind.SUSPECT if self._suspects.blocked_keys(fingerprint):
                self._suspects.on_crash(fingerprint, note.instance, note.version, at)
                self._answer_with_blocks(fingerprint)
            case NoteKind.SUSPECT:
                if note.age < VERIFIED_MS:
                    self.detector.verify(note.instance)
                self._news.pass_on(note, at)
                self._suspects.on_crash(fingerprint, note.instance, note.version, at)
            case NoteKind.ALIVE:
                self._suspects.on_alive(note.instance, at)
                self.detector.forget_crash(note.instance)
            case NoteKind.CLEARED:
                self._apply_cleared(note, at, sender)
            case NoteKind.TRIAL if self._suspects.blocked_keys(fingerprint):
                self._answer_with_blocks(fingerprint)
            case NoteKind.TRIAL:
                self._suspects.on_trial(fingerprint, at)
            case NoteKind.BLOCKED:
                self._untold.discard(fingerprint)
                blocked = Blocked(frozenset((note.version,)))
                self._block(fingerprint, blocked, at, sender)
        if note.kind is not NoteKind.TRIAL:
            self._wake(fingerprint)

    def _answer_with_blocks(self, fingerprint: bytes) -> None:
        """Tell that a request is blocked to a VM that has missed it."""
        keys = self._suspects.blocked_keys(fingerprint)
        self._news.send(tuple(self._blocked_note(key) for key in keys))

    def _on_alive(self, key: int) -> None:
        self._suspects.on_alive(key, self._loop.clock.now())
        self._news.send((CrashNote(NoteKind.ALIVE, instance=key),), is_repeated=True)

    def _on_crash(self, instance: Instance, fingerprints: tuple[bytes, ...]) -> None:
        """Record suspects and tell the other VMs."""
        log.info(
            "instance crashed while requests were in flight",
            instance=instance.name,
            version=instance.version,
            fingerprints=[fingerprint.hex() for fingerprint in fingerprints],
        )
        now = self._loop.clock.now()
        key = instance_key(instance.name)
        notes = tuple(
            CrashNote(NoteKind.SUSPECT, fingerprint, key, instance.version)
            for fingerprint in fingerprints
        )
        for note in notes:
            self._suspects.on_crash(note.fingerprint, key, instance.version, now)
            self._news.pass_on(note, now)
        self._news.send(notes, is_repeated=True)
        self._loop.after(RIPENING_MS, self._block_ripe)

    def _block_ripe(self) -> None:
        now = self._loop.clock.now()
        for fingerprint in self._suspects.ripe(now):
            if self._block(fingerprint, Blocked(), now, THIS_VM):
                self._untold.add(fingerprint)
                delay = BLOCK_SPREAD_MS * self._random.random()
                self._loop.after(delay, partial(self._tell_blocked, fingerprint))

    def _block(
        self, fingerprint: bytes, news: Blocked, at: Millis, source: str
    ) -> bool:
        if not self._suspects.block(fingerprint, news, at):
            return False
        log.warning(
            "request blocked; it was in flight at the crashes of several instances",
            fingerprint=fingerprint.hex(),
            versions=sorted(self.blocked[fingerprint].crashed_versions),
            told_by=source,
        )
        self._news.pass_on(self._blocked_note(fingerprint), at)
        self._wake(fingerprint)
        return True

    def _tell_blocked(self, fingerprint: bytes) -> None:
        """Tell the others and the store, unless another VM has done so."""
        if fingerprint not in self._untold:
            return
        self._untold.discard(fingerprint)
        if fingerprint in self.blocked:
            self._news.send((self._blocked_note(fingerprint),), is_repeated=True)
            self._links.save_blocked(fingerprint, self.blocked[fingerprint])

    def _blocked_note(self, fingerprint: bytes) -> CrashNote:
        versions = sorted(self.blocked[fingerprint].crashed_versions)
        return CrashNote(
            NoteKind.BLOCKED,
            fingerprint,
            version=versions[-1] if versions else "",
            age=self._loop.clock.now() - self._suspects.blocked_at(fingerprint),
        )

    def _clear(self, fingerprint: bytes, version: str) -> bool:
        blocked_keys = self._suspects.blocked_keys(fingerprint)
        note = CrashNote(NoteKind.CLEARED, fingerprint, version=version)
        now = self._loop.clock.now()
        if not self._apply_cleared(note, now, THIS_VM):
            return False
        for key in blocked_keys:
            self._links.save_blocked(key, self.blocked.get(key))
        if blocked_keys:
            self._news.pass_on(note, now)
        self._news.send((note,), is_repeated=bool(blocked_keys))
        self._wake(fingerprint)
        return True

    def _apply_cleared(self, note: CrashNote, at: Millis, source: str) -> bool:
        """Return whether the note is news."""
        if note.version:
            is_news = self._suspects.on_answered(note.fingerprint, note.version, at)
        else:
            is_news = self._suspects.clear(note.fingerprint, at)
        if is_news:
            log.info(
                "request cleared",
                fingerprint=note.fingerprint.hex(),
                version=note.version,
                is_blocked_elsewhere=bool(
                    self._suspects.blocked_keys(note.fingerprint)
                ),
                told_by=source,
            )
        return is_news

    def _wake(self, fingerprint: bytes) -> None:
        """Call those who wait for news of a request."""
        for callback in self._waiting_by_fingerprint.pop(fingerprint, ()):
            callback()
