"""State of a node as the load balancer and operators see it."""

from typing import Any

from ..drain.component import DrainComponent
from .gauges import MeasuredParts
from .quotas import NodeQuotas
from .settings import NodeSettings


class NodeState:
    """Readiness of a node, and the state of its components as JSON data.

    Parameters
    ----------
    settings : NodeSettings
    parts : MeasuredParts
    drain : DrainComponent
    quotas : NodeQuotas
    """

    def __init__(
        self,
        settings: NodeSettings,
        parts: MeasuredParts,
        drain: DrainComponent,
        quotas: NodeQuotas,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._drain = drain
        self._quotas = quotas

    def is_ready(self) -> tuple[bool, str]:
        """Return whether requests can be served, and the reason if not."""
        if self._drain.is_shutdown_requested:
            return False, "stopping"
        if not self._parts.routes.version:
            return False, "no configuration is known yet"
        if not self._parts.tables.instances.is_loaded:
            return False, "the instances are not known yet"
        return True, "ready"

    def dump(self) -> dict[str, Any]:
        """Return the state of all components as JSON data."""
        parts = self._parts
        is_ready, reason = self.is_ready()
        now = parts.clock.now()
        return {
            "vm": {
                "name": self._settings.name,
                "zone": self._settings.zone,
                "ready": is_ready,
                "reason": reason,
            },
            "configuration": parts.tables.dump_configuration(),
            "instances": parts.tables.dump_instances()
            | {"by_service": parts.placement.dump()},
            "cut_off": parts.backends.is_cut_off,
            "crashing_requests": parts.crash_guard.dump(),
            "members": sorted(m.address for m in parts.members.live(now)),
            "peers": parts.peers.dump(),
            "quotas": self._quotas.dump(),
        }
