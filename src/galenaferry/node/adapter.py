"""Interface between the node and the adapter of a platform."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Result

from ..backends.messages import Instance
from ..clock import Millis
from ..crashes.store import BlockedStore
from ..discovery.messages import TableRow, TableSource
from ..requests.interface import HeaderNames
from ..routing.hosts import RoutingDocument


class Store(TableSource, BlockedStore, Protocol):
    """Calls to the platform's store."""

    def set_address(self, address: tuple[str, int]) -> None:
        """Use another address for all later calls."""


class TableNames(NamedTuple):
    """Names of tables in the store.

    ``configuration_key`` is the key of the configuration's row in its table. ``vms``
    and ``blocked_requests`` are tables that only the VMs of the fleet write.
    """

    configuration: str
    configuration_key: str
    instances: str
    vms: str
    blocked_requests: str


class Adapter(NamedTuple):
    """Names, formats and calls that are specific to one platform.

    ``decode_configuration`` gets the value of the configuration's row.
    ``decode_instance`` gets the key and the value of an instance's row, and the
    monotonic time in milliseconds at which it was read. Both return the error as text
    if the row is invalid. ``prepare_row`` gets the name of a table and a row, and
    returns the row as it may be kept in memory and sent to other VMs.
    """

    store: Store
    tables: TableNames
    headers: HeaderNames
    decode_configuration: Callable[[bytes], Result[RoutingDocument, str]]
    decode_instance: Callable[[str, bytes, Millis], Result[Instance, str]]
    prepare_row: Callable[[str, TableRow], TableRow]
