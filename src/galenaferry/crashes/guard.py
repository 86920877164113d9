"""Keeps requests that crash instances from reaching more of them.

A VM whose connection ends while a request runs checks whether the instance still
accepts connections. If not, the instance has crashed, and the VM tells the others which
of its requests were in flight there. A few other VMs check the instance as well, since
the link of one VM may be at fault. ``suspects`` decides what follows for a request.
"""

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis
from ..health.messages import instance_key
from ..logs import logger
from ..network.loop import Loop
from .connect_check import ConnectCheck
from .messages import CrashNote, Decision, NoteKind
from .suspects import RIPENING_MS, Suspects

CHECK_DELAY_MS: Final[Millis] = 20.0
"""A process that ends closes its connections and its listener in any order."""
REPEAT_DELAYS_MS: Final = (300.0, 1_000.0)
"""Delays after which important notes are sent again, since datagrams get lost."""
REMEMBERED_MS: Final[Millis] = 10_000.0
"""Time for which lost connections and crashes of instances are remembered."""
MAX_ABANDONED: Final = 256
BLOCK_SPREAD_MS: Final[Millis] = 200.0
"""VMs that find the same request to be blocked tell it at random times within this, so
that the first one spares the others the message."""
NOTES_PER_MESSAGE: Final = 16
GOSSIP_INTERVAL_MS: Final[Millis] = 1_000.0
GOSSIPED_MS: Final[Millis] = 20_000.0
"""Time for which news is passed on to random VMs. It reaches VMs that were paused, or
missed all of the messages."""
MAX_RECENT: Final = 512
VERIFIED_MS: Final[Millis] = 1_500.0
"""Age up to which a reported crash is checked; later another instance may have the
address."""

log = logger("crashes")


class GuardLinks(NamedTuple):
    """How a guard reaches the other VMs and the store.

    Attributes
    ----------
    send_notes : callable
        Sends notes to all other VMs.
    send_to_some : callable
        Sends notes to a few random VMs.
    is_leaving : callable
        Whether the instance with a name has announced that it leaves.
    is_verifier : callable
        Whether this VM checks the instance with a key that another VM reports.
    save_blocked : callable
        Stores that a request is blocked, or that it no longer is.
    claim_trial : callable
        Claims the one trial of a blocked request at instances of a version; calls its
        last argument with whether this VM got it.
    """

    send_notes: Callable[[tuple[CrashNote, ...]], None]
    send_to_some: Callable[[tuple[CrashNote, ...]], None]
    is_leaving: Callable[[str], bool]
    is_verifier: Callable[[int], bool]
    save_blocked: Callable[[bytes, frozenset[str] | None], None]
    claim_trial: Callable[[bytes, str, Callable[[bool], None]], None]


class _LostConnections:
    """Requests whose connections to one instance were lost, until it is checked."""

    def __init__(self, instance: Instance, at: Millis) -> None:
        self.instance = instance
        self.at = at
        self.fingerprints: set[bytes] = set()
        self.is_checked = False
        self.on_checked: list[Callable[[], None]] = []


class CrashGuard:
    """Suspect and blocked requests in the view of this VM.

    Parameters
    ----------
    loop : Loop
    random : Random
    links : GuardLinks
    """

    def __init__(self, loop: Loop, random: Random, links: GuardLinks) -> None:
        self._loop = loop
        self._random = random
        self._links = links
        self._suspects = Suspects()
        self._instance_by_key: dict[int, Instance] = {}
        self._versions_by_service: dict[str, frozenset[str]] = {}
        self._lost_by_name: dict[str, _LostConnections] = {}
        self._crashed_at_by_key: dict[int, Millis] = {}
        self._abandoned: deque[tuple[Millis, str, bytes]] = deque(maxlen=MAX_ABANDONED)
        self._waiting_by_fingerprint: dict[bytes, list[Callable[[], None]]] = {}
        self._untold: set[bytes] = set()
        self._recent_notes: deque[tuple[Millis, CrashNote]] = deque(maxlen=MAX_RECENT)
        loop.every(GOSSIP_INTERVAL_MS, self._gossip)

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected or blocked."""
        return not self._suspects

    @property
    def blocked_count(self) -> int:
        """Number of blocked requests."""
        return len(self._suspects.blocked)

    @property
    def suspect_count(self) -> int:
        """Number of suspect requests that are not blocked."""
        return self._suspects.suspect_count

    def has_head(self, head: bytes) -> bool:
        """Whether requests with the digest of this head are suspected or blocked."""
        return self._suspects.has_head(head)

    def decide(self, fingerprint: bytes) -> Decision:
        """Return whether a request may be sent now."""
        return self._suspects.decide(fingerprint, self._loop.clock.now())

    def versions_of(self, service: str) -> frozenset[str]:
        """Return the versions of the listed instances of a service."""
        return self._versions_by_service.get(service, frozenset())

    def addresses_of(self, service: str, versions: frozenset[str]) -> frozenset[str]:
        """Return the addresses of a service's instances of some versions."""
        return frozenset(
            instance.address
            for instance in self._instance_by_key.values()
            if instance.service == service and instance.version in versions
        )

    def on_instances(self, instances: Iterable[Instance]) -> None:
        """Handle a new list; an instance that was born again has crashed before."""
        self._instance_by_key = {instance_key(i.name): i for i in instances}
        by_service: dict[str, set[str]] = {}
        for instance in self._instance_by_key.values():
            by_service.setdefault(instance.service, set()).add(instance.version)
        self._versions_by_service = {
            service: frozenset(versions) for service, versions in by_service.items()
        }
        if not self._lost_by_name:
            return
        born_by_id = {i.id: i.born for i in self._instance_by_key.values() if i.id}
        for lost in list(self._lost_by_name.values()):
            if born_by_id.get(lost.instance.id, 0) > lost.instance.born:
                self._on_crash(lost)

    def on_connection_lost(self, instance: Instance, fingerprint: bytes) -> None:
        """Handle that a connection ended while its request may have been running."""
        if self._is_leaving(instance):
            return
        now = self._loop.clock.now()
        self._forget_old(now)
        key = instance_key(instance.name)
        if key in self._crashed_at_by_key:
            self._report(instance, (fingerprint,), now)
            return
        lost = self._lost_by_name.get(instance.name)
        if lost is None:
            lost = self._lost_by_name[instance.name] = _LostConnections(instance, now)
            self._loop.after(CHECK_DELAY_MS, lambda: self._check(lost))
        lost.fingerprints.add(fingerprint)

    def on_abandoned(self, instance: Instance, fingerprint: bytes) -> None:
        """Handle that this VM gave up on a request that an instance may still run."""
        now = self._loop.clock.now()
        self._abandoned.append((now, instance.name, fingerprint))

    def on_answered(self, instance: Instance, fingerprint: bytes) -> None:
        """Handle that an instance answered a request."""
        if self._crashed_at_by_key.get(instance_key(instance.name)) is not None:
            self._take_back(instance)
        self.clear(fingerprint)

    def clear(self, fingerprint: bytes) -> bool:
        """Let a request through again; return whether it was suspected or blocked."""
        now = self._loop.clock.now()
        was_blocked = self._suspects.is_blocked(fingerprint)
        if not self._suspects.on_cleared(fingerprint, now):
            return False
        self._log_cleared(fingerprint, was_blocked, "this VM")
        if was_blocked:
            self._links.save_blocked(fingerprint, None)
        self._send((CrashNote(NoteKind.CLEARED, fingerprint),), is_repeated=was_blocked)
        self._wake(fingerprint)
        return True

    def start_trial(self, fingerprint: bytes) -> None:
        """Let a suspect request through, and have all others like it wait."""
        self._suspects.on_trial(fingerprint, self._loop.clock.now())
        self._send((CrashNote(NoteKind.TRIAL, fingerprint),))

    def end_trial(self, fingerprint: bytes) -> None:
        """Handle the end of a trial that showed nothing."""
        self._suspects.on_trial_ended(fingerprint)
        self._wake(fingerprint)

    def claim_trial(
        self, fingerprint: bytes, version: str, done: Callable[[bool], None]
    ) -> None:
        """Claim the one trial of a blocked request at instances of a version."""
        self._links.claim_trial(fingerprint, version, done)

    def when_checked(self, instance: Instance, callback: Callable[[], None]) -> bool:
        """Call back after the check of an instance; False if there is none."""
        lost = self._lost_by_name.get(instance.name)
        if lost is None or lost.is_checked:
            return False
        lost.on_checked.append(callback)
        return True

    def when_changed(
        self, fingerprint: bytes, until: Millis, callback: Callable[[], None]
    ) -> None:
        """Call back after news of a request, at a time at the latest."""
        waiting = self._waiting_by_fingerprint.setdefault(fingerprint, [])
        waiting.append(callback)
        if len(waiting) == 1:
            delay = max(1.0, until - self._loop.clock.now())
            self._loop.after(delay, lambda: self._wake(fingerprint))

    def load_blocked(
        self, versions_by_fingerprint: dict[bytes, frozenset[str]]
    ) -> None:
        """Add requests that are stored as blocked."""
        for fingerprint, versions in versions_by_fingerprint.items():
            self._suspects.block(fingerprint, versions)

    def blocked(self) -> dict[bytes, frozenset[str]]:
        """Return the blocked requests, and the versions that they crash."""
        return dict(self._suspects.blocked)

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
            "suspects": self._suspects.suspect_count,
            "blocked": {
                fingerprint.hex(): sorted(versions)
                for fingerprint, versions in self._suspects.blocked.items()
            },
        }

    def _on_note(self, sender: str, note: CrashNote, at: Millis) -> None:
        fingerprint = note.fingerprint
        match note.kind:
            case NoteKind.SUSPECT if self._suspects.is_blocked(fingerprint):
                # The sender has missed the news.
                self._suspects.on_crash(fingerprint, note.instance, note.version, at)
                self._send((self._blocked_note(fingerprint),))
            case NoteKind.SUSPECT:
                if note.age < VERIFIED_MS:
                    self._verify(note.instance)
                self._remember(note, at)
                self._suspects.on_crash(fingerprint, note.instance, note.version, at)
            case NoteKind.ALIVE:
                self._suspects.on_alive(note.instance, at)
                self._crashed_at_by_key.pop(note.instance, None)
            case NoteKind.CLEARED:
                was_blocked = self._suspects.is_blocked(fingerprint)
                if self._suspects.on_cleared(fingerprint, at):
                    self._log_cleared(fingerprint, was_blocked, sender)
            case NoteKind.TRIAL if self._suspects.is_blocked(fingerprint):
                self._send((self._blocked_note(fingerprint),))
            case NoteKind.TRIAL:
                self._suspects.on_trial(fingerprint, at)
            case NoteKind.BLOCKED:
                self._untold.discard(fingerprint)
                self._block(fingerprint, frozenset((note.version,)), sender)
        if note.kind is not NoteKind.TRIAL:
            self._wake(fingerprint)

    def _check(self, lost: _LostConnections) -> None:
        def finish(is_accepted: bool) -> None:
            lost.is_checked = True
            if not is_accepted:
                self._on_crash(lost)
            callbacks, lost.on_checked = lost.on_checked, []
            for callback in callbacks:
                callback()

        ConnectCheck(self._loop, lost.instance.address, finish)

    def _verify(self, key: int) -> None:
        """Check an instance that another VM takes to have crashed."""
        instance = self._instance_by_key.get(key)
        if (
            instance is None
            or key in self._crashed_at_by_key
            or not self._links.is_verifier(key)
        ):
            return
        self._crashed_at_by_key[key] = self._loop.clock.now()

        def finish(is_accepted: bool) -> None:
            if is_accepted:
                self._take_back(instance)

        ConnectCheck(self._loop, instance.address, finish)

    def _take_back(self, instance: Instance) -> None:
        key = instance_key(instance.name)
        log.info("instance has not crashed", instance=instance.name)
        self._crashed_at_by_key.pop(key, None)
        self._suspects.on_alive(key, self._loop.clock.now())
        self._send((CrashNote(NoteKind.ALIVE, instance=key),), is_repeated=True)

    def _on_crash(self, lost: _LostConnections) -> None:
        instance = lost.instance
        if self._lost_by_name.pop(instance.name, None) is None:
            return
        now = self._loop.clock.now()
        if self._is_leaving(instance):
            return
        self._crashed_at_by_key[instance_key(instance.name)] = now
        abandoned = {
            fingerprint
            for at, name, fingerprint in self._abandoned
            if name == instance.name and at > now - REMEMBERED_MS
        }
        self._report(instance, tuple(lost.fingerprints | abandoned), now)

    def _report(
        self, instance: Instance, fingerprints: tuple[bytes, ...], now: Millis
    ) -> None:
        """Record suspects and tell the other VMs."""
        key = instance_key(instance.name)
        log.info(
            "instance crashed while requests were in flight",
            instance=instance.name,
            version=instance.version,
            fingerprints=[fingerprint.hex() for fingerprint in fingerprints],
        )
        for fingerprint in fingerprints:
            self._suspects.on_crash(fingerprint, key, instance.version, now)
        notes = tuple(
            CrashNote(NoteKind.SUSPECT, fingerprint, key, instance.version)
            for fingerprint in fingerprints
        )
        for note in notes:
            self._remember(note, now)
        self._send(notes, is_repeated=True)
        self._loop.after(RIPENING_MS, self._block_ripe)

    def _block_ripe(self) -> None:
        for fingerprint in self._suspects.ripe(self._loop.clock.now()):
            if self._block(fingerprint, frozenset(), "this VM"):
                self._untold.add(fingerprint)
                delay = BLOCK_SPREAD_MS * self._random.random()
                self._loop.after(delay, partial(self._tell_blocked, fingerprint))

    def _block(self, fingerprint: bytes, versions: frozenset[str], source: str) -> bool:
        if not self._suspects.block(fingerprint, versions):
            return False
        log.warning(
            "request blocked; it was in flight at the crashes of several instances",
            fingerprint=fingerprint.hex(),
            versions=sorted(self._suspects.blocked[fingerprint]),
            told_by=source,
        )
        self._remember(self._blocked_note(fingerprint), self._loop.clock.now())
        self._wake(fingerprint)
        return True

    def _tell_blocked(self, fingerprint: bytes) -> None:
        """Tell the others and the store, unless another VM has done so."""
        if fingerprint not in self._untold:
            return
        self._untold.discard(fingerprint)
        if not self._suspects.is_blocked(fingerprint):
            return
        self._send((self._blocked_note(fingerprint),), is_repeated=True)
        self._links.save_blocked(fingerprint, self._suspects.blocked[fingerprint])

    def _blocked_note(self, fingerprint: bytes) -> CrashNote:
        versions = sorted(self._suspects.blocked[fingerprint])
        return CrashNote(
            NoteKind.BLOCKED, fingerprint, version=versions[-1] if versions else ""
        )

    def _send(self, notes: tuple[CrashNote, ...], is_repeated: bool = False) -> None:
        sent_at = self._loop.clock.now()

        def send() -> None:
            age = self._loop.clock.now() - sent_at
            aged = [note._replace(age=age) for note in notes]
            for start in range(0, len(aged), NOTES_PER_MESSAGE):
                self._links.send_notes(tuple(aged[start : start + NOTES_PER_MESSAGE]))

        send()
        for delay in REPEAT_DELAYS_MS if is_repeated else ():
            self._loop.after(delay, send)

    def _remember(self, note: CrashNote, at: Millis) -> None:
        """Pass a note on to random VMs for some time."""
        known = note._replace(age=0.0, id=0)
        if all(known != recent for _, recent in self._recent_notes):
            self._recent_notes.append((at, known))

    def _gossip(self) -> None:
        now = self._loop.clock.now()
        while self._recent_notes and self._recent_notes[0][0] < now - GOSSIPED_MS:
            self._recent_notes.popleft()
        if self._recent_notes:
            count = min(NOTES_PER_MESSAGE, len(self._recent_notes))
            sample = self._random.sample(list(self._recent_notes), count)
            self._links.send_to_some(
                tuple(note._replace(age=now - at) for at, note in sample)
            )

    def _wake(self, fingerprint: bytes) -> None:
        """Call those who wait for news of a request."""
        for callback in self._waiting_by_fingerprint.pop(fingerprint, ()):
            callback()

    def _is_leaving(self, instance: Instance) -> bool:
        """Whether an instance leaves by plan, so that its end is no crash."""
        listed = self._instance_by_key.get(instance_key(instance.name))
        return (
            listed is None or listed.is_leaving or self._links.is_leaving(instance.name)
        )

    def _forget_old(self, now: Millis) -> None:
        since = now - REMEMBERED_MS
        for name in [n for n, lost in self._lost_by_name.items() if lost.at < since]:
            del self._lost_by_name[name]
        for key in [k for k, at in self._crashed_at_by_key.items() if at < since]:
            del self._crashed_at_by_key[key]

    def _log_cleared(self, fingerprint: bytes, was_blocked: bool, source: str) -> None:
        log.info(
            "request cleared",
            fingerprint=fingerprint.hex(),
            was_blocked=was_blocked,
            told_by=source,
        )
