"""Keeps the list of instances up to date with the store."""

from collections.abc import Callable

from result import Err

from ..backends.messages import Instance
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
        Returns whether the store responds to this VM, and when it last failed.
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
        for row in rows:
            if row.value is None:
                self._registry.remove(row.key, self._store_availability(), now)
                log.info("row of an instance removed", instance=row.key)
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
            )
        self._publish()

    def _publish(self) -> None:
        now = self._loop.clock.now()
        self._on_instances(self._registry.instances(now))
        expires_at = self._registry.next_expiry()
        if expires_at is not None:
            self._loop.after(max(1.0, expires_at - now), self._publish)
