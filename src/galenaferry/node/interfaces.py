"""HTTP interfaces of a node for the load balancer, operators and other VMs."""

from ..callers.shares import ListenerBounds
from ..network.json_server import JsonRequestHandler, JsonServer
from ..network.loop import Loop
from .settings import NodeSettings


class Interfaces:
    """Servers of a node besides the listeners for callers.

    Parameters
    ----------
    loop : Loop
    settings : NodeSettings
    respond_to_operator, respond_to_peer : callable
        Return the response to a request of an operator or of another VM.
    metrics_port : int
        Additional port for operators, 0 for none.

    Raises
    ------
    OSError
        When an address can't be bound.
    """

    def __init__(
        self,
        loop: Loop,
        settings: NodeSettings,
        respond_to_operator: JsonRequestHandler,
        respond_to_peer: JsonRequestHandler,
        metrics_port: int,
    ) -> None:
        bounds = settings.listener_bounds
        addresses = [settings.readiness]
        if metrics_port:
            addresses.append((settings.readiness[0], metrics_port))
        self._status = tuple(
            JsonServer(loop, address, respond_to_operator, bounds.status)
            for address in addresses
        )
        self._peers = JsonServer(loop, settings.peers, respond_to_peer, bounds.peers)

    @property
    def servers(self) -> tuple[JsonServer, ...]:
        """All servers."""
        return (*self._status, self._peers)

    def replace_limits(self, bounds: ListenerBounds) -> None:
        """Apply other limits from now on."""
        for server in self._status:
            server.connections.limits = bounds.status
        self._peers.connections.limits = bounds.peers
