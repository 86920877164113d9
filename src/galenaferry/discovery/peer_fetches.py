"""Fetches the changes of a table that other VMs have told of."""

from collections.abc import Callable
from random import Random
from typing import Final

from result import Err, Result

from ..clock import Millis
from ..logs import logger
from ..network.loop import Loop, Timer
from .messages import NO_VERSION, StoreVersion, TableError, TableUpdate
from .news import News
from .sources import PeerSources

FETCH_SPREAD_MS: Final = 100.0
"""Time over which the VMs of a zone spread their fetches after a notice. They then know
of all readers, and don't all ask the one that was first to tell."""
RETRY_MS: Final = 50.0
"""Delay after a failed fetch before another VM is asked; it doubles with each further
one."""
MAX_RETRY_MS: Final = 1_000.0

FetchFromPeer = Callable[
    [str, str, StoreVersion, Callable[[Result[TableUpdate, TableError]], None]], None
]
"""Fetches the changes of a table after a version from the VM at an address.

Its arguments are address, table, version and callback."""

log = logger("discovery")


class PeerFetches:
    """Asks one VM at a time for what this VM's copy of a table lacks.

    Parameters
    ----------
    loop : Loop
    table : str
    fetch_from_peer : FetchFromPeer
    is_near : callable
        Whether the VM at an address is in this VM's availability zone.
    random : Random
    version : callable
        Returns the version of this VM's copy.
    on_update : callable
        Called with an update that is newer than the copy and the address of its VM.
    on_failure : callable
        Called when a VM did not answer.
    """

    def __init__(
        self,
        loop: Loop,
        table: str,
        fetch_from_peer: FetchFromPeer,
        is_near: Callable[[str], bool],
        random: Random,
        version: Callable[[], StoreVersion],
        on_update: Callable[[TableUpdate, str], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._table = table
        self._fetch_from_peer = fetch_from_peer
        self._random = random
        self._version = version
        self._on_update = on_update
        self._on_failure = on_failure
        self._sources = PeerSources(is_near, random)
        self._news = News(NO_VERSION)
        self._is_fetching = False
        self._is_due = False
        self._retry_delay: Millis = RETRY_MS
        self._retry: Timer | None = None

    @property
    def is_behind(self) -> bool:
        """Whether another VM has lately told of changes that the copy lacks."""
        return self._news.is_newer_than(self._version(), self._loop.clock.now())

    @property
    def behind_for(self) -> Millis:
        """Time for which another VM is known to have changes that the copy lacks."""
        return self._news.behind_for(self._version(), self._loop.clock.now())

    def on_version(self, address: str, version: StoreVersion) -> None:
        """Record that the VM at ``address`` has a version of the table."""
        self._news.on_version(version, self._loop.clock.now())
        self._sources.on_version(address, version)

    def fetch_soon(self) -> None:
        """Fetch within ``FETCH_SPREAD_MS`` what the copy lacks."""
        if not self._is_due:
            self._is_due = True
            spread = FETCH_SPREAD_MS * self._random.random()
            self._loop.after(spread, self._fetch_due)

    def fetch(self) -> None:
        """Fetch what the copy lacks, unless a fetch is under way."""
        if not self.is_behind or self._is_fetching:
            return
        address = self._sources.choose(self._version(), self._loop.clock.now())
        if address is None:
            return
        self._is_fetching = True
        self._fetch_from_peer(
            address,
            self._table,
            self._version(),
            lambda result: self._on_result(address, result),
        )

    def _fetch_due(self) -> None:
        self._is_due = False
        self.fetch()

    def _on_result(self, address: str, result: Result[TableUpdate, TableError]) -> None:
        self._is_fetching = False
        if isinstance(result, Err):
            log.warning(
                "fetching the table from another VM failed",
                table=self._table,
                vm=address,
                error=result.err_value.text,
            )
            self._retry_later(address)
            self._on_failure()
            return
        update = result.ok_value
        if update.version <= self._version():
            if self.is_behind:
                self._retry_later(address)
            return
        self._retry_delay = RETRY_MS
        log.info(
            "table updated from another VM",
            table=self._table,
            vm=address,
            version=update.version,
            had=self._version(),
        )
        self._on_update(update, address)
        # Changes that came while this fetch was under way.
        self.fetch()

    def _retry_later(self, address: str) -> None:
        """Ask another VM soon, later after each further failure in a row."""
        self._sources.on_failure(address, self._loop.clock.now())
        if self._retry is not None:
            self._retry.cancel()
        self._retry = self._loop.after(self._retry_delay, self.fetch)
        self._retry_delay = min(MAX_RETRY_MS, 2.0 * self._retry_delay)
