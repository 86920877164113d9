"""HTTP interfaces of a node for the load balancer, operators and other VMs."""

from circuits import BaseComponent

from ..network.json_server import JsonRequestHandler, JsonServer
from .settings import NodeSettings


def serve_interfaces(
    root: BaseComponent,
    settings: NodeSettings,
    respond_to_operator: JsonRequestHandler,
    respond_to_peer: JsonRequestHandler,
    metrics_port: int,
) -> None:
    """Listen for the load balancer, operators and other VMs.

    Parameters
    ----------
    root : BaseComponent
        Component to register the servers with.
    settings : NodeSettings
    respond_to_operator, respond_to_peer : callable
        Return the response to a request of an operator or of another VM.
    metrics_port : int
        Additional port for operators, 0 for none.
    """
    JsonServer(settings.readiness, respond_to_operator).register(root)
    if metrics_port:
        address = (settings.readiness[0], metrics_port)
        JsonServer(address, respond_to_operator).register(root)
    JsonServer(settings.peers, respond_to_peer).register(root)
