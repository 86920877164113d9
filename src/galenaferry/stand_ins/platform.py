"""Simulated platform: ``python -m galenaferry.stand_ins.platform``."""

import argparse

from circuits import Component

from ..ini import parse_address
from ..network.json_server import JsonServer
from ..network.loop import Loop
from .platform_state import PlatformState


class PlatformStandIn(Component):
    """Table service, object store and VM list on one address, kept in memory."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__()
        self.state = PlatformState()
        Loop().register(self)
        JsonServer(address, self.state.respond).register(self)


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=parse_address, required=True)
    arguments = parser.parse_args()
    PlatformStandIn(arguments.address).run()


if __name__ == "__main__":
    main()
