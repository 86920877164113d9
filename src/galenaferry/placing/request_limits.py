"""Request limits that instances name for the whole fleet."""

from typing import NamedTuple

from ..clock import Millis
from ..logs import logger

log = logger("placing")


class RequestLimit(NamedTuple):
    """Limit of one instance.

    ``per_second`` is the number of requests that it takes from all VMs together.
    ``named_at`` is the monotonic time in milliseconds of the latest response that
    stated it, as far as this VM knows.
    """

    per_second: float
    named_at: Millis


class RequestLimits:
    """Limits of instances by name."""

    def __init__(self) -> None:
        self._limit_by_name: dict[str, RequestLimit] = {}

    def on_named(self, name: str, per_second: float, source: str, now: Millis) -> bool:
        """Record the limit of an instance; return whether it is new or changed.

        ``source`` is this VM or the address of the VM that reports it, for the log.
        """
        known = self._limit_by_name.get(name)
        self._limit_by_name[name] = RequestLimit(per_second, now)
        if known is not None and known.per_second == per_second:
            return False
        log.info(
            "instance limits its requests",
            instance=name,
            per_second=per_second,
            before=None if known is None else known.per_second,
            told_by=source,
        )
        return True

    def on_unlimited(self, name: str, source: str, now: Millis) -> bool:
        """Record that an instance names no limit; return whether it had one."""
        known = self._limit_by_name.pop(name, None)
        if known is None:
            return False
        log.info(
            "instance no longer limits its requests",
            instance=name,
            before=known.per_second,
            age_ms=int(now - known.named_at),
            told_by=source,
        )
        return True

    def named_at(self, name: str) -> Millis | None:
        """Return when a limit was last stated, None for an instance without one."""
        known = self._limit_by_name.get(name)
        return None if known is None else known.named_at

    def per_second(self, name: str) -> float | None:
        """Return the limit of an instance in requests per second, None without one."""
        known = self._limit_by_name.get(name)
        return None if known is None else known.per_second

    def retain_only(self, names: frozenset[str]) -> None:
        """Forget all instances but those in ``names``."""
        for name in self._limit_by_name.keys() - names:
            del self._limit_by_name[name]

    def __len__(self) -> int:
        return len(self._limit_by_name)
