"""Finds out which instances crashed while requests were in flight there.

A connection that ends is no proof: the link may be at fault, or the instance closed one
connection. It has crashed if it accepts no new connection, or is listed as started
again. An instance that leaves by plan does not crash.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis
from ..health.messages import instance_key
from ..logs import logger
from ..network.connect_check import ConnectCheck
from ..network.loop import Loop

CHECK_DELAY_MS: Final[Millis] = 20.0
"""A process that ends closes its connections and its listener in any order."""
REMEMBERED_MS: Final[Millis] = 10_000.0
"""Time for which lost connections and crashes of instances are remembered."""
MAX_ABANDONED: Final = 256

log = logger("crashes")


class DetectorLinks(NamedTuple):
    """What a detector asks, and whom it tells.

    Attributes
    ----------
    is_leaving : callable
        Whether the instance with a name has announced that it leaves.
    is_verifier : callable
        Whether this VM checks the instance with a key that another VM reports.
    check_own_links : callable
        Calls its argument with whether this VM reaches no instance at all, so that it
        can say nothing of a single one.
    on_crash : callable
        Called with an instance that crashed and the fingerprints of this VM's requests
        that were in flight.
    on_alive : callable
        Called with the key of an instance that was taken to have crashed and lives.
    """

    is_leaving: Callable[[str], bool]
    is_verifier: Callable[[int], bool]
    check_own_links: Callable[[Callable[[bool], None]], None]
    on_crash: Callable[[Instance, tuple[bytes, ...]], None]
    on_alive: Callable[[int], None]


class _LostConnections:
    """Requests whose connections to one instance were lost, until it is checked."""

    def __init__(self, instance: Instance, at: Millis) -> None:
        self.instance = instance
        self.at = at
        self.fingerprints: set[bytes] = set()
        self.is_checked = False
        self.on_checked: list[Callable[[], None]] = []


class CrashDetector:
    """Lost connections and crashes in the view of this VM.

    Parameters
    ----------
    loop : Loop
    links : DetectorLinks
    """

    def __init__(self, loop: Loop, links: DetectorLinks) -> None:
        self._loop = loop
        self._links = links
        self._instance_by_key: dict[int, Instance] = {}
        self._lost_by_name: dict[str, _LostConnections] = {}
        self._crashed_at_by_key: dict[int, Millis] = {}
        self._abandoned: deque[tuple[Millis, str, bytes]] = deque(maxlen=MAX_ABANDONED)

    def instances_of(self, service: str) -> list[Instance]:
        """Return the listed instances of a service."""
        instances = self._instance_by_key.values()
        return [instance for instance in instances if instance.service == service]

    def on_instances(self, instances: Iterable[Instance]) -> None:
        """Handle a new list; an instance that was born again has crashed before."""
        self._instance_by_key = {instance_key(i.name): i for i in instances}
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
        if instance_key(instance.name) in self._crashed_at_by_key:
            self._links.on_crash(instance, (fingerprint,))
            return
        lost = self._lost_by_name.get(instance.name)
        if lost is None or lost.is_checked:
            lost = self._lost_by_name[instance.name] = _LostConnections(instance, now)
            self._loop.after(CHECK_DELAY_MS, lambda: self._check(lost))
        lost.fingerprints.add(fingerprint)

    def on_abandoned(self, instance: Instance, fingerprint: bytes) -> None:
        """Handle that this VM gave up on a request that an instance may still run."""
        now = self._loop.clock.now()
        self._abandoned.append((now, instance.name, fingerprint))

    def on_answered(self, instance: Instance) -> None:
        """Handle that an instance answered."""
        if instance_key(instance.name) in self._crashed_at_by_key:
            self._take_back(instance)

    def when_checked(self, instance: Instance, callback: Callable[[], None]) -> bool:
        """Call back after the check of an instance; False if there is none."""
        lost = self._lost_by_name.get(instance.name)
        if lost is None or lost.is_checked:
            return False
        lost.on_checked.append(callback)
        return True

    def verify(self, key: int) -> None:
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

    def forget_crash(self, key: int) -> None:
        """Handle that another VM found an instance alive."""
        self._crashed_at_by_key.pop(key, None)

    def _check(self, lost: _LostConnections) -> None:
        def finish(is_crashed: bool) -> None:
            lost.is_checked = True
            if is_crashed:
                self._on_crash(lost)
            callbacks, lost.on_checked = lost.on_checked, []
            for callback in callbacks:
                callback()

        def on_checked(is_accepted: bool) -> None:
            if is_accepted:
                finish(False)
            else:
                self._links.check_own_links(lambda is_cut_off: finish(not is_cut_off))

        ConnectCheck(self._loop, lost.instance.address, on_checked)

    def _on_crash(self, lost: _LostConnections) -> None:
        instance = lost.instance
        if self._lost_by_name.pop(instance.name, None) is None:
            return
        if self._is_leaving(instance):
            return
        now = self._loop.clock.now()
        self._crashed_at_by_key[instance_key(instance.name)] = now
        abandoned = {
            fingerprint
            for at, name, fingerprint in self._abandoned
            if name == instance.name and at > now - REMEMBERED_MS
        }
        self._links.on_crash(instance, tuple(lost.fingerprints | abandoned))

    def _take_back(self, instance: Instance) -> None:
        log.info("instance has not crashed", instance=instance.name)
        key = instance_key(instance.name)
        self.forget_crash(key)
        self._links.on_alive(key)

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
