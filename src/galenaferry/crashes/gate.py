"""The check of one request before each of its attempts."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Clock, Millis
from ..framing.messages import RequestHead
from ..relay.origin import Origin
from .fingerprint import path_digest, variant_digest
from .guard import CrashGuard
from .messages import Allowed, Blocked, Held, Paused

MAX_HOLD_MS: Final[Millis] = 1_000.0
"""Longest time for which a request waits for the trial of another one like it."""


class Refusal(NamedTuple):
    """Why a request may not be sent.

    ``retry_after`` is the time in ms after which it may, None if that is not known.
    """

    reason: str
    retry_after: Millis | None


class CheckedBody(NamedTuple):
    """What a gate needs to know of the body.

    ``is_known`` says whether enough of the body has arrived for its digest, and
    ``request`` asks the caller for a body that it holds back.
    """

    is_known: Callable[[], bool]
    digest: Callable[[], bytes]
    request: Callable[[], None]


class RequestGate:
    """Lets a request through, holds it or refuses it.

    Parameters
    ----------
    guard : CrashGuard or None
        None lets every request through.
    clock : Clock
    origin : Origin
    head : RequestHead
    body : CheckedBody

    Attributes
    ----------
    has_trial : bool
        Whether the request is the one of its kind that is tried now.
    excluded_addresses : frozenset of str
        Instances that the request may not be sent to.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_guard",
        "_head",
        "_held_since",
        "_is_closed",
        "_lost_instance",
        "_on_body",
        "_origin",
        "_path_digest",
        "excluded_addresses",
        "has_trial",
    )

    def __init__(
        self,
        guard: CrashGuard | None,
        clock: Clock,
        origin: Origin,
        head: RequestHead,
        body: CheckedBody,
    ) -> None:
        self._guard = guard
        self._clock = clock
        self._origin = origin
        self._head = head
        self._body = body
        self._path_digest = b""
        self._held_since: Millis | None = None
        self.has_trial = False
        self._is_closed = False
        self._lost_instance: Instance | None = None
        self._on_body: Callable[[], None] | None = None
        self.excluded_addresses: frozenset[str] = frozenset()

    @property
    def fingerprint(self) -> bytes:
        """The fingerprint of the request, as far as its body has arrived."""
        variant = variant_digest(self._origin.caller, self._head)
        return self._digest_path() + self._body.digest() + variant

    @property
    def is_suspicious(self) -> bool:
        """Whether the request, or another one with its path, may crash instances."""
        guard = self._guard
        if guard is None:
            return False
        is_tried = self.has_trial or self._origin.is_trial
        is_lost = self._lost_instance is not None or bool(self.excluded_addresses)
        return (
            is_tried
            or is_lost
            or (not guard.is_idle and guard.has_path(self._digest_path()))
        )

    def check(
        self,
        service: str,
        proceed: Callable[[], None],
        refuse: Callable[[Refusal], None],
    ) -> None:
        """Call ``proceed`` or ``refuse``, at once or when that is known."""

        def check_again() -> None:
            if not self._is_closed:
                self.check(service, proceed, refuse)

        guard = self._guard
        if guard is None:
            proceed()
            return
        lost, self._lost_instance = self._lost_instance, None
        if lost is not None and guard.detector.when_checked(lost, check_again):
            return
        if guard.is_idle or not guard.has_path(self._digest_path()):
            proceed()
            return
        if not self._body.is_known():
            self._on_body = check_again
            self._body.request()
            return
        fingerprint = self.fingerprint
        match guard.decide(fingerprint):
            case Allowed(is_trial):
                if is_trial:
                    self.has_trial = True
                    guard.start_trial(fingerprint)
                proceed()
            case Held() if self.has_trial or self._origin.is_trial:
                proceed()
            case Held(until):
                self._hold(guard, fingerprint, until, check_again, refuse)
            case Paused(until):
                reason = "the request was in flight when two instances crashed"
                delay = max(0.0, until - self._clock.now())
                refuse(Refusal(reason, delay))
            case Blocked() as blocked:
                self._check_blocked(
                    guard, fingerprint, blocked, service, proceed, refuse
                )

    def on_body(self) -> None:
        """Handle that more of the body, or its end, has arrived."""
        if self._on_body is not None and self._body.is_known():
            on_body, self._on_body = self._on_body, None
            on_body()

    def on_connection_lost(self, instance: Instance) -> None:
        """Handle that the connection ended while the request may have been running."""
        self.has_trial = False
        if self._guard is not None and self._body.is_known():
            self._lost_instance = instance
            self._guard.detector.on_connection_lost(instance, self.fingerprint)

    def on_answered(self, instance: Instance) -> None:
        """Handle that an instance answered the request."""
        self.has_trial = False
        if self._guard is not None and not self._guard.is_idle:
            self._guard.on_answered(instance, self.fingerprint)

    def on_abandoned(self, instance: Instance) -> None:
        """Handle that the request was given up on while an instance may run it."""
        if self._guard is not None and self._body.is_known():
            self._guard.detector.on_abandoned(instance, self.fingerprint)

    def close(self) -> None:
        """End the checks; another request like this one may be tried."""
        self._is_closed = True
        self._on_body = None
        if self._guard is not None and self.has_trial:
            self.has_trial = False
            self._guard.end_trial(self.fingerprint)

    def _hold(
        self,
        guard: CrashGuard,
        fingerprint: bytes,
        until: Millis,
        check_again: Callable[[], None],
        refuse: Callable[[Refusal], None],
    ) -> None:
        now = self._clock.now()
        if self._held_since is None:
            self._held_since = now
        held_until = self._held_since + MAX_HOLD_MS
        if now >= held_until:
            reason = "the same request is being tried; it was in flight at a crash"
            refuse(Refusal(reason, max(0.0, until - now)))
            return
        guard.when_changed(fingerprint, min(until, held_until), check_again)

    def _check_blocked(
        self,
        guard: CrashGuard,
        fingerprint: bytes,
        blocked: Blocked,
        service: str,
        proceed: Callable[[], None],
        refuse: Callable[[Refusal], None],
    ) -> None:
        """Send the request to versions that serve it, or try one more, or refuse."""
        if self.has_trial:
            proceed()
            return
        instances = guard.detector.instances_of(service)
        versions = {instance.version for instance in instances}
        serving = blocked.serving_versions & versions
        if serving:
            self._exclude_others(instances, serving)
            proceed()
            return
        refusal = Refusal("the request is blocked; it crashed several instances", None)
        untried = versions - blocked.crashed_versions
        if not untried:
            refuse(refusal)
            return
        version = min(untried)

        def on_claimed(is_granted: bool) -> None:
            if self._is_closed:
                return
            if not is_granted:
                refuse(refusal)
                return
            self.has_trial = True
            self._exclude_others(instances, frozenset((version,)))
            proceed()

        guard.claim_trial(fingerprint, version, on_claimed)

    def _exclude_others(
        self, instances: list[Instance], versions: frozenset[str]
    ) -> None:
        self.excluded_addresses = frozenset(
            instance.address
            for instance in instances
            if instance.version not in versions
        )

    def _digest_path(self) -> bytes:
        if not self._path_digest:
            self._path_digest = path_digest(self._head)
        return self._path_digest
