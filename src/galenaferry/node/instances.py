"""Takes over the instances that the store lists."""

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
    """Entries of instances, decoded, with those that may only have lapsed.

    Parameters
    ----------
    loop : Loop
    adapter : Adapter
    store_access : callable
        Gives how the store has answered this VM.
    on_instances : callable
    """

    def __init__(
        self,
        loop: Loop,
        adapter: Adapter,
        store_access: Callable[[], StoreAvailability],
        on_instances: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        self._loop = loop
        self._adapter = adapter
        self._store_access = store_access
        self._on_instances = on_instances
        self._registry = InstanceRegistry()

    def on_change(self, rows: tuple[TableRow, ...]) -> None:
        """Take over changed entries."""
        now = self._loop.clock.now()
        for row in rows:
            if row.value is None:
                self._registry.remove(row.key, self._store_access(), now)
                log.info("entry removed", instance=row.key)
                continue
            result = self._adapter.decode_instance(row.key, row.value, now)
            if isinstance(result, Err):
                log.warning(
                    "the entry names no instance",
                    entry=row.key,
                    error=result.err_value,
                )
                self._registry.discard(row.key)
                continue
            instance = result.ok_value
            log.info(
                "instance listed",
                instance=instance.name,
                service=instance.service,
                address=instance.address,
                leaving=instance.is_leaving,
            )
            self._registry.put(row.key, instance)
        self._publish()

    def _publish(self) -> None:
        now = self._loop.clock.now()
        self._on_instances(self._registry.instances(now))
        drops_at = self._registry.next_expiry()
        if drops_at is not None:
            self._loop.after(max(1.0, drops_at - now), self._publish)
