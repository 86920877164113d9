"""Request limits that instances name for the whole fleet, divided among its VMs.

A limit of a few requests per second divided by all VMs would leave each of them a part
that it hardly ever uses. A few VMs, the holders, share the limit instead, and all
others leave the instance alone. Rendezvous hashing over the live VMs selects the
holders, so that no message is needed to agree on them. VMs whose views of the fleet
differ by a VM have one holder more at most, for which the holders leave room.

Responses are the only news of a limit. VMs that see it tell the others, and repeat it
while it is in force. A VM that has heard nothing for some time sends one request to
find out, at a random time, so that the VMs do not do so together.
"""

from collections.abc import Sequence
from random import Random
from typing import Final

from ..backends.messages import Instance
from ..backends.ownership import Vm
from ..clock import Millis
from ..logs import logger
from .candidates import rank

MIN_HOLDERS: Final = 3
"""Holders of the smallest limit. One more holder takes another request per second."""
MIN_PER_SECOND: Final = 0.1
"""Requests per second that a limit of 0 gets: only responses show that it ended."""
MAX_BURST_MS: Final[Millis] = 1_000.0
"""Time for which a holder may save up unused requests, at least one request."""
SETTLING_MS: Final[Millis] = 3_000.0
"""Time after the start of a VM in which its view of the fleet is incomplete, so that it
would take itself for a holder of too many instances."""
REPEAT_MS: Final[Millis] = 2_000.0
"""Interval at which the VMs are told again of a limit that is in force."""
SILENCE_MS: Final[Millis] = 10_000.0
"""Time without news of a limit after which a VM finds out: that of five repetitions."""
SILENCE_JITTER_MS: Final[Millis] = 20_000.0
"""Largest random time added to ``SILENCE_MS``."""
ASK_WINDOW_MS: Final[Millis] = 2_000.0
"""Time for which a VM may find out, before it waits again. An instance may become
usable for all VMs at once, long after the latest news."""
FORGET_MS: Final[Millis] = 60_000.0
"""Time without news after which a limit is forgotten, plus ``SILENCE_JITTER_MS`` at
most."""
NOTABLE_CHANGE: Final = 0.1
"""Relative change of a limit of which the other VMs are told at once."""

log = logger("placing")


def share_per_second(
    me: Vm, vms: Sequence[Vm], instance: Instance, per_second: float
) -> float:
    """Return this VM's share of a limit in requests per second, 0 for other VMs.

    Holders are in the zone of the instance as far as it has enough VMs.

    Parameters
    ----------
    me : Vm
    vms : sequence of Vm
        Live VMs, including this one.
    instance : Instance
    per_second : float
        Limit in requests per second.
    """
    holders = int(min(len(vms), MIN_HOLDERS + per_second))
    own_order = _holder_order(me, instance)
    better_count = 0
    for vm in vms:
        if _holder_order(vm, instance) < own_order:
            better_count += 1
            if better_count >= holders:
                return 0.0
    return max(per_second, MIN_PER_SECOND) / holders


def _holder_order(vm: Vm, instance: Instance) -> tuple[bool, int]:
    return vm.zone != instance.zone, rank(vm, instance)


class RequestLimits:
    """Limits of instances by name, and this VM's share of each.

    Parameters
    ----------
    random : Random
    started_at : float
        Monotonic time in milliseconds at which this VM started.
    """

    def __init__(self, random: Random, started_at: Millis) -> None:
        self._random = random
        self._settles_at = started_at + SETTLING_MS
        self._me = Vm("", "")
        self._vms: tuple[Vm, ...] = (self._me,)
        self._limit_by_name: dict[str, _Limit] = {}

    def __len__(self) -> int:
        return len(self._limit_by_name)

    def set_live_vms(self, me: Vm, vms: tuple[Vm, ...], now: Millis) -> None:
        """Replace the live VMs, which include this one."""
        if vms == self._vms:
            return
        self._me, self._vms = me, vms
        for limit in self._limit_by_name.values():
            self._divide(limit, now)

    def on_named(
        self, instance: Instance, per_second: float, source: str, now: Millis
    ) -> bool:
        """Record the limit of an instance; return whether the others don't know it.

        ``source`` is this VM or the address of the VM that reports it, for the log.
        """
        limit = self._limit_by_name.get(instance.name)
        before = None if limit is None else limit.per_second
        if limit is None:
            limit = self._limit_by_name[instance.name] = _Limit(instance, now)
        is_notable = before is None or (
            abs(per_second - before) > NOTABLE_CHANGE * before
        )
        is_news = is_notable or now - limit.told_at >= REPEAT_MS
        if is_news:
            limit.told_at = now
        limit.named_at = now
        jitter = SILENCE_JITTER_MS * self._random.random()
        limit.ask_at = now + SILENCE_MS + jitter
        limit.forget_at = now + FORGET_MS + jitter
        if per_second != before:
            limit.per_second = per_second
            self._divide(limit, now)
        if is_notable:
            log.info(
                "instance limits its requests",
                instance=instance.name,
                per_second=per_second,
                before=before,
                own_share=round(limit.rate * 1000.0, 3),
                told_by=source,
            )
        return is_news

    def on_unlimited(self, name: str, source: str, now: Millis) -> bool:
        """Record that an instance names no limit; return whether it had one."""
        limit = self._limit_by_name.pop(name, None)
        if limit is None:
            return False
        log.info(
            "instance no longer limits its requests",
            instance=name,
            before=limit.per_second,
            age_ms=int(now - limit.named_at),
            told_by=source,
        )
        return True

    def may_send(self, name: str, now: Millis) -> bool:
        """Whether this VM may send a request to an instance now."""
        limit = self._limit_by_name.get(name)
        if limit is None or limit.has_request(now):
            return True
        if now >= limit.forget_at:
            return self.on_unlimited(name, "nobody", now)
        return self._may_ask(limit, now)

    def has_saved_request(self, name: str, now: Millis) -> bool:
        """Whether this VM has saved up a request of its share of a limit."""
        limit = self._limit_by_name.get(name)
        return limit is not None and limit.has_request(now)

    def on_sent(self, name: str, now: Millis) -> None:
        """Count a request that ``may_send`` permitted."""
        limit = self._limit_by_name.get(name)
        if limit is None:
            return
        if limit.has_request(now):
            limit.saved -= 1.0
        else:
            limit.ask_at = now + SILENCE_MS + SILENCE_JITTER_MS * self._random.random()

    def named_at(self, name: str) -> Millis | None:
        """Return when a limit was last stated, None for an instance without one."""
        limit = self._limit_by_name.get(name)
        return None if limit is None else limit.named_at

    def per_second(self, name: str) -> float | None:
        """Return the limit of an instance in requests per second, None without one."""
        limit = self._limit_by_name.get(name)
        return None if limit is None else limit.per_second

    def share(self, name: str) -> float | None:
        """Return this VM's share in requests per second, None without a limit."""
        limit = self._limit_by_name.get(name)
        return None if limit is None else round(limit.rate * 1000.0, 3)

    def retain_only(self, names: frozenset[str], now: Millis) -> None:
        """Forget instances that are not in ``names`` and of which there is no news.

        An instance that is missing from the list for a moment still has its limit.
        """
        for name in self._limit_by_name.keys() - names:
            if now >= self._limit_by_name[name].forget_at:
                del self._limit_by_name[name]

    def _divide(self, limit: "_Limit", now: Millis) -> None:
        share = share_per_second(self._me, self._vms, limit.instance, limit.per_second)
        limit.set_rate(share / 1000.0, max(now, self._settles_at))

    def _may_ask(self, limit: "_Limit", now: Millis) -> bool:
        """Whether this VM may send a request without a share, to find out."""
        if now >= limit.ask_at + ASK_WINDOW_MS:
            limit.ask_at = now + SILENCE_JITTER_MS * self._random.random()
        return now >= limit.ask_at


class _Limit:
    """Limit of one instance, with the requests that this VM has saved up.

    ``rate`` is in requests per millisecond. ``named_at`` is when the limit was last
    stated and ``told_at`` when the VMs were last told, as far as this VM knows.
    Without news this VM sends a request at ``ask_at`` to find out, and takes the limit
    as ended at ``forget_at``.
    """

    __slots__ = (
        "_saved_at",
        "ask_at",
        "forget_at",
        "instance",
        "named_at",
        "per_second",
        "rate",
        "saved",
        "told_at",
    )

    def __init__(self, instance: Instance, now: Millis) -> None:
        self.instance = instance
        self.per_second = -1.0
        self.rate = 0.0
        self.saved = 0.0
        self.named_at = now
        self.told_at = now
        self.ask_at = now
        self.forget_at = now
        self._saved_at = now

    def set_rate(self, rate: float, now: Millis) -> None:
        """Change the rate; a VM that becomes a holder has nothing saved up."""
        self._save_up(now)
        if not rate:
            self.saved = 0.0
        self.rate = rate

    def has_request(self, now: Millis) -> bool:
        """Whether a request is saved up."""
        self._save_up(now)
        return self.saved >= 1.0

    def _save_up(self, now: Millis) -> None:
        if now > self._saved_at:
            most = max(1.0, self.rate * MAX_BURST_MS)
            earned = self.rate * (now - self._saved_at)
            self.saved = min(most, self.saved + earned)
            self._saved_at = now
