"""Applies the newest configuration in the store."""

from result import Err

from ..discovery.messages import TableRow
from ..logs import logger
from ..routing.hosts import HostRouteTable
from .adapter import Adapter

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

    def on_change(self, rows: tuple[TableRow, ...]) -> None:
        """Apply a newer configuration; otherwise keep the last valid one."""
        for row in rows:
            if row.key == self._adapter.tables.configuration_key:
                self._apply_row(row)

    def _apply_row(self, row: TableRow) -> None:
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
            log.info(
                "configuration in force",
                version=document.version,
                before=before,
                routes=len(document.routes),
            )
        else:
            log.warning(
                "ignored a configuration that is not newer than the one in force",
                offered=document.version,
                in_force=before,
            )
