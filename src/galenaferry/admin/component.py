"""Component that serves the administration interface over HTTP."""

from circuits import BaseComponent

from ..network.json_server import JsonServer
from .interface import AdminInterface, AdminSources


class AdminComponent(BaseComponent):
    """HTTP server of the administration interface.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port to listen on.
    token : str
        Bearer token of requests; empty for none.
    sources : AdminSources
    """

    channel = "admin"

    def __init__(
        self, address: tuple[str, int], token: str, sources: AdminSources
    ) -> None:
        super().__init__()
        interface = AdminInterface(token, sources)
        JsonServer(address, interface.respond).register(self)
