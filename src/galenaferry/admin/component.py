"""Component that serves the administration interface over HTTP."""

from typing import Final

from circuits import BaseComponent

from ..network.json_server import JsonServer, ServerLimits
from ..network.loop import Loop
from .interface import AdminInterface, AdminSources

LIMITS: Final = ServerLimits(
    connections=64, memory_bytes=268_435_456, body_bytes=67_108_864
)
"""Limits for operators, who send whole configurations."""


class AdminComponent(BaseComponent):
    """HTTP server of the administration interface.

    Parameters
    ----------
    loop : Loop
    address : tuple of str and int
        IP address and port to listen on.
    token : str
        Bearer token of requests; empty for none.
    sources : AdminSources
    """

    channel = "admin"

    def __init__(
        self, loop: Loop, address: tuple[str, int], token: str, sources: AdminSources
    ) -> None:
        super().__init__()
        interface = AdminInterface(token, sources)
        JsonServer(loop, address, interface.respond, LIMITS)
