"""Interface to the store that keeps blocked requests."""

from collections.abc import Callable
from typing import Protocol

from ..discovery.messages import TableUpdateCallback


class BlockedStore(Protocol):
    """Asynchronous calls to the store."""

    def read_all(self, table: str, done: TableUpdateCallback) -> None:
        """Read all rows of ``table``."""

    def put(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row; ``done`` is called with the error, empty on success."""

    def insert(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row unless there is one; ``done`` gets the error as for ``put``."""
