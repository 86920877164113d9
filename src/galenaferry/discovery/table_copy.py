"""Copy of one table of the platform's store, without any I/O."""

from ..logs import logger
from .history import TableHistory
from .messages import NO_VERSION, StoreVersion, TableRow, TableUpdate

log = logger("discovery")


class TableCopy:
    """Rows of a table by key, and when they changed.

    Parameters
    ----------
    table : str

    Attributes
    ----------
    version : StoreVersion
        Version of the store up to which the copy is complete.
    last_change_version : StoreVersion
        Version of the store at the latest change of this table. The store's version
        grows with changes of any table.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        self._history = TableHistory()
        self.version = NO_VERSION
        self.last_change_version = NO_VERSION
        self.value_by_key: dict[str, bytes] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at least once."""
        return self.version > NO_VERSION

    def is_new_era(self, version: StoreVersion) -> bool:
        """Whether the store was restored between the copy and ``version``."""
        return self.is_loaded and version.era > self.version.era

    def merge(self, update: TableUpdate) -> tuple[TableRow, ...]:
        """Apply an update that is not older than the copy; return the rows it changed.

        A restored store is logged.
        """
        is_first = not self.is_loaded
        is_new_era = self.is_new_era(update.version)
        changed = self._changed_rows(update)
        if is_new_era:
            self._log_restore(update.version, changed)
        for key, value in changed:
            if value is None:
                self.value_by_key.pop(key, None)
            else:
                self.value_by_key[key] = value
        self._history.record(update, changed)
        self.version = update.version
        if changed or is_first or is_new_era:
            self.last_change_version = update.changed_at
        return tuple(changed)

    def update_since(self, after: StoreVersion) -> TableUpdate:
        """Return the changes after a version, the whole table if that is too old."""
        changed = self._history.keys_changed_after(after)
        if changed is None:
            rows = tuple(TableRow(k, v) for k, v in self.value_by_key.items())
            return TableUpdate(self.version, rows, True, self.last_change_version)
        rows = tuple(TableRow(key, self.value_by_key.get(key)) for key in changed)
        return TableUpdate(self.version, rows, False, self.last_change_version)

    def _changed_rows(self, update: TableUpdate) -> list[TableRow]:
        changed = [
            row for row in update.rows if self.value_by_key.get(row.key) != row.value
        ]
        if update.is_snapshot:
            kept = {row.key for row in update.rows}
            changed += [TableRow(key, None) for key in self.value_by_key.keys() - kept]
        return changed

    def _log_restore(self, version: StoreVersion, changed: list[TableRow]) -> None:
        log.warning(
            "the store was restored from an older copy",
            table=self._table,
            era=version.era,
            version=version.counter,
            before=tuple(self.version),
            rows_missing=sum(1 for row in changed if row.value is None),
            rows_differing=sum(1 for row in changed if row.value is not None),
        )
