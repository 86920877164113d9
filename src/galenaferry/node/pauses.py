"""Catches up after the process was paused, before any new request is sent.

A process that was stopped, or whose VM was suspended, still holds the instances and
the configuration of before. What arrived meanwhile waits in its sockets, in no order
that puts news of the tables before requests.
"""

from collections.abc import Callable
from typing import Final

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop
from ..requests.context import RequestContext
from ..requests.startup import StartupQueue

HOLD_MS: Final[Millis] = 150.0
"""Longest time for which new requests are held: a read from the store, or of the
datagrams that have arrived, also on a slow VM."""

log = logger("node")


class PauseGuard:
    """Holds new requests after a pause while the tables are read again.

    Parameters
    ----------
    loop : Loop
    context : RequestContext
    refreshes : tuple of callable
        Read the tables again.
    is_stopping : callable
        Whether the VM takes no more requests.
    is_newest_first : bool
        Whether the newest of the held requests is started first.
    """

    def __init__(
        self,
        loop: Loop,
        context: RequestContext,
        refreshes: tuple[Callable[[], None], ...],
        is_stopping: Callable[[], bool],
        is_newest_first: bool = False,
    ) -> None:
        self._is_newest_first = is_newest_first
        self._loop = loop
        self._context = context
        self._refreshes = refreshes
        self._is_stopping = is_stopping
        loop.on_paused = self._on_paused

    def _on_paused(self, duration: Millis) -> None:
        log.warning("the process was paused", duration_ms=int(duration))
        if not self._is_stopping():
            previous = self._context.startup_queue
            if previous is not None:
                previous.release()
            self._context.startup_queue = StartupQueue(
                self._loop,
                HOLD_MS,
                is_newest_first=self._is_newest_first,
            )
        for refresh in self._refreshes:
            refresh()
