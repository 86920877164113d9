"""Keeps the list of instances up to date with the store."""

import math
from collections.abc import Callable

from result import Err

from ..backends.messages import Instance
from ..clock import Millis
from ..discovery.messages import TableRow
from ..discovery.registry import InstanceRegistry, StoreAvailability
from ..logs import logger
from ..network.loop import Loop
from .adapter import Adapter

log = logger("instances")


class InstanceUpdater:
    """Decodes the rows of instances and publishes the instances in use.

    A row that is removed around an outage of the store may only have expired, so
    its instance stays in use for a while (see ``InstanceRegistry``).

    Parameters
    ----------
    loop : Loop
    adapter : Adapter
    store_availability : callable
        Returns whether the store responds, and what is known of the latest change.
    on_instances : callable
        Called with all instances in use after every change.
    """

    def __init__(
        self,
        loop: Loop,
        adapter: Adapter,
        store_availability: Callable[[], StoreAvailability],
        on_instances: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        self._loop = loop
        self._adapter = adapter
        self._store_availability = store_availability
        self._on_instances = on_instances
        self._registry = InstanceRegistry()

    def on_change(self, rows: tuple[TableRow, ...]) -> None:
        """Apply changed rows."""
        now = self._loop.clock.now()
        removed_keys: list[str] = []
        for row in rows:
            if row.value is None:
                self._registry.remove(row.key, self._store_availability(), now)
                removed_keys.append(row.key)
                continue
            result = self._adapter.decode_instance(row.key, row.value, now)
            if isinstance(result, Err):
                log.warning(
                    "invalid row of an instance; dropping the instance",
                    entry=row.key,
                    error=result.err_value,
                )
                self._registry.discard(row.key)
                continue
            instance = result.ok_value
            if not self._registry.put(row.key, instance):
                log.info(
                    "ignored the row of an instance that left since it was written",
                    instance=instance.name,
                    sequence=instance.sequence,
                )
                continue
            log.info(
                "instance listed",
                instance=instance.name,
                service=instance.service,
                address=instance.address,
                leaving=instance.is_leaving,
                changed_within_ms=self._changed_within(now),
            )
        self._log_removed(removed_keys, now)
        self._publish()

    def _log_removed(self, keys: list[str], now: Millis) -> None:
        """Log removed rows, and for how long their instances stay in use."""
        for key in keys:
            used_until = self._registry.used_until(key)
            log.info(
                "row of an instance removed",
                instance=key,
                changed_within_ms=self._changed_within(now),
                used_for_ms=0 if used_until is None else int(used_until - now),
            )

    def _changed_within(self, now: Millis) -> int | None:
        """Return how long ago the rows changed at most, None if that is not known."""
        unchanged_until = self._store_availability().unchanged_until
        return int(now - unchanged_until) if unchanged_until > -math.inf else None

    def _publish(self) -> None:
        now = self._loop.clock.now()
        self._on_instances(self._registry.instances(now))
        expires_at = self._registry.next_expiry()
        if expires_at is not None:
            self._loop.after(max(1.0, expires_at - now), self._publish)
