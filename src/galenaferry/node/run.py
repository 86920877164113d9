"""The main loop of a node's process."""

import gc
from typing import Final

from ..logs import logger
from .component import Node

YOUNG_COLLECTION_THRESHOLD: Final = 10_000
"""Net allocations after which the youngest generation is garbage-collected."""

log = logger("node")


def run(node: Node, name: str) -> None:
    """Serve until the graceful shutdown is complete."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_COLLECTION_THRESHOLD)
    log.info("started", vm=name)
    node.run()
    log.info("stopped", vm=name)
