"""The component that serves the administration interface on its address."""

from circuits import BaseComponent

from ..network.json_server import JsonServer
from .interface import AdminInterface, AdminSources


class AdminComponent(BaseComponent):
    """Interface for operators on its own address.

    Parameters
    ----------
    address : tuple of str and int
    token : str
    sources : AdminSources
    """

    channel = "admin"

    def __init__(
        self, address: tuple[str, int], token: str, sources: AdminSources
    ) -> None:
        super().__init__()
        interface = AdminInterface(token, sources)
        JsonServer(address, interface.respond).register(self)
