"""Applies the newest configuration that the store or another VM has.

After the store was restored from an older copy, a VM that starts finds an older
configuration there than the other VMs have in force. It takes theirs, since versions of
the configuration never go back.
"""

from collections.abc import Callable
from typing import Final

from result import Err, Result

from ..clock import Millis
from ..discovery.messages import (
    NO_VERSION,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)
from ..discovery.news import News
from ..discovery.peer_fetches import FetchFromPeer
from ..logs import logger
from ..network.loop import Loop
from ..routing.hosts import HostRouteTable
from .adapter import Adapter

IN_FORCE_TABLE: Final = "configuration-in-force"
"""Name under which VMs give each other the configuration in force on them."""
FETCH_DELAY_MS: Final[Millis] = 250.0
"""Time in which this VM's own copy of the table should have the same version."""
FIRST_NEWS_MS: Final[Millis] = 3_000.0
"""Time after a VM's start in which other VMs tell it what they have in force."""
REPEATED_WITHIN_MS: Final[Millis] = 3_000.0
"""Time within which readers' notices and heartbeats repeat a version in force."""

log = logger("configuration")


class ConfigurationUpdater:
    """Applies the configuration's row of the store whenever it changes.

    Parameters
    ----------
    adapter : Adapter
    routes : HostRouteTable
    """

    def __init__(self, adapter: Adapter, routes: HostRouteTable) -> None:
        self._adapter = adapter
        self._routes = routes
        self._row_in_force: TableRow | None = None

    def update_in_force(self, after: StoreVersion) -> TableUpdate:
        """Return the row of the configuration in force, for another VM."""
        rows = () if self._row_in_force is None else (self._row_in_force,)
        return TableUpdate(NO_VERSION, rows, is_snapshot=True)

    def on_change(
        self, rows: tuple[TableRow, ...], source: str = "", behind_for: Millis = 0.0
    ) -> None:
        """Apply a newer configuration; otherwise keep the last valid one.

        ``source`` is where the rows came from, and ``behind_for`` the time in
        milliseconds for which this VM had known that it lacks them; both are logged.
        """
        for row in rows:
            if row.key == self._adapter.tables.configuration_key:
                self._apply_row(row, source, behind_for)

    def _apply_row(self, row: TableRow, source: str, behind_for: Millis) -> None:
        if row.value is None:
            log.warning(
                "the configuration was removed from the store; keeping the one in force"
            )
            return
        result = self._adapter.decode_configuration(row.value)
        before = self._routes.version
        if isinstance(result, Err):
            log.error(
                "the configuration can't be read",
                error=result.err_value,
                in_force=before,
            )
            return
        document = result.ok_value
        if self._routes.replace_if_newer(document):
            self._row_in_force = row
            log.info(
                "configuration in force",
                version=document.version,
                before=before,
                routes=len(document.routes),
                source=source,
                behind_ms=int(behind_for),
            )
            if document.findings:
                log.error(
                    "parts of the configuration can't be read",
                    version=document.version,
                    findings=list(document.findings),
                )
        elif document.version < before:
            log.warning(
                "ignored a configuration that is not newer than the one in force",
                offered=document.version,
                in_force=before,
            )


class PeerConfigurations:
    """Fetches a configuration that another VM has in force and this one lacks.

    Parameters
    ----------
    loop : Loop
    fetch_from_peer : FetchFromPeer
    version_in_force : callable
        Returns the version in force on this VM, 0 if there is none.
    on_rows : callable
        Called with the row of the configuration, the address of the VM that sent it
        and the time for which it was known to have it, in milliseconds.
    is_table_behind : callable
        Whether this VM's copy of the table lacks changes, which it fetches anyway.
    """

    def __init__(
        self,
        loop: Loop,
        fetch_from_peer: FetchFromPeer,
        version_in_force: Callable[[], int],
        on_rows: Callable[[tuple[TableRow, ...], str, Millis], None],
        is_table_behind: Callable[[], bool],
    ) -> None:
        self._is_table_behind = is_table_behind
        self._loop = loop
        self._fetch_from_peer = fetch_from_peer
        self._version_in_force = version_in_force
        self._on_rows = on_rows
        self._is_pending = False
        self._news = News(0)
        self._started_at = loop.clock.now()
        self._has_heard = False

    @property
    def knows_others(self) -> bool:
        """Whether other VMs have told what they have in force, or there are none.

        The store may have been restored from a copy that is older than that.
        """
        is_alone = self._loop.clock.now() - self._started_at >= FIRST_NEWS_MS
        return self._has_heard or is_alone

    @property
    def is_behind(self) -> bool:
        """Whether another VM has lately told of a newer version in force."""
        now = self._loop.clock.now()
        return self._news.is_newer_than(self._version_in_force(), now)

    @property
    def is_newer_repeated(self) -> bool:
        """Whether other VMs still tell of a newer version in force."""
        return self._news.is_newer_than(
            self._version_in_force(), self._loop.clock.now(), REPEATED_WITHIN_MS
        )

    @property
    def behind_for(self) -> Millis:
        """Time for which another VM is known to have a newer version in force."""
        return self._news.behind_for(self._version_in_force(), self._loop.clock.now())

    def on_peer_version(self, address: str, version: int) -> None:
        """Handle the version that the VM at ``address`` has in force."""
        self._news.on_version(version, self._loop.clock.now())
        self._has_heard = self._has_heard or version > 0
        if version <= self._version_in_force() or self._is_pending:
            return
        self._is_pending = True
        # A VM without any configuration can't serve until it has one.
        delay = FETCH_DELAY_MS if self._version_in_force() else 0.0
        self._loop.after(delay, lambda: self._fetch_if_older(address, version))

    def _fetch_if_older(self, address: str, version: int) -> None:
        if version <= self._version_in_force() or self._is_table_behind():
            self._is_pending = False
            return
        self._fetch_from_peer(
            address,
            IN_FORCE_TABLE,
            NO_VERSION,
            lambda result: self._on_result(address, result),
        )

    def _on_result(self, address: str, result: Result[TableUpdate, TableError]) -> None:
        self._is_pending = False
        if isinstance(result, Err):
            log.warning(
                "fetching the configuration from another VM failed",
                vm=address,
                error=result.err_value.text,
            )
            return
        self._on_rows(result.ok_value.rows, address, self.behind_for)
