"""Simulated platform: ``python -m galenaferry.stand_ins.platform``."""

import argparse
from typing import Final

from circuits import Component

from ..ini import parse_address
from ..network.json_server import JsonServer, ServerLimits
from ..network.loop import Loop
from .platform_state import PlatformState

LIMITS: Final = ServerLimits(
    connections=1_024, memory_bytes=1 << 30, body_bytes=67_108_864
)
"""Limits for the VMs of a fleet, which store whole objects."""


class PlatformStandIn(Component):
    """Table service, object store and VM list on one address, kept in memory."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__()
        self.state = PlatformState()
        loop = Loop().register(self)
        JsonServer(loop, address, self.state.respond, LIMITS)


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=parse_address, required=True)
    arguments = parser.parse_args()
    PlatformStandIn(arguments.address).run()


if __name__ == "__main__":
    main()
