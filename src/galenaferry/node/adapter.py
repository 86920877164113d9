"""What a platform's adapter gives to the node."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Result

from ..backends.messages import Instance
from ..clock import Millis
from ..discovery.messages import TableSource
from ..requests.interface import HeaderNames
from ..routing.hosts import RoutingDocument


class Store(TableSource, Protocol):
    """Calls to the platform's store."""

    def set_address(self, address: tuple[str, int]) -> None:
        """Call the store at another address from now on."""

    def put(
        self, table: str, key: str, value: bytes, done: Callable[[str], None]
    ) -> None:
        """Write a row; ``done`` gets the error, empty for none."""


class TableNames(NamedTuple):
    """Where things stand in the store.

    ``configuration_key`` is the row of the configuration in its table. ``vms`` is
    a table of the fleet's own.
    """

    configuration: str
    configuration_key: str
    instances: str
    vms: str


class Adapter(NamedTuple):
    """Names, formats and calls of one platform."""

    store: Store
    tables: TableNames
    headers: HeaderNames
    decode_configuration: Callable[[bytes], Result[RoutingDocument, str]]
    decode_instance: Callable[[str, bytes, Millis], Result[Instance, str]]
