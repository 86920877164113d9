"""The tables of the platform's store that a VM follows, and what it derives of them."""

from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from ..backends.messages import Instance
from ..clock import Millis
from ..discovery.follower import TableFollower
from ..discovery.messages import (
    StoreVersion,
    TableNotice,
    TableRow,
    TableUpdate,
    decode_version,
)
from ..discovery.peer_updates import fetch_from_peer, respond_to_peer
from ..discovery.poll_timing import (
    SENDING_MS,
    PollTiming,
    derive_instance_timing,
    derive_poll_timing,
)
from ..discovery.registry import StoreAvailability
from ..discovery.settings import FollowerSettings
from ..logs import logger
from ..membership.messages import Heartbeat
from ..network.json_server import JsonRequest, JsonResponse
from ..network.loop import Loop
from ..routing.hosts import HostRouteTable
from .adapter import Adapter
from .configuration import IN_FORCE_TABLE, ConfigurationUpdater, PeerConfigurations
from .instances import InstanceUpdater

FIRST_START_DELAY_MS: Final = 3_000.0
"""Time after the first start of the fleet in which VMs find each other, so that a few
of them read the tables for all. A request that arrives earlier ends it."""
NEWS_DELAY_MS: Final[Millis] = 1_000.0
"""Time after a change in which this VM hears of it, since readers tell of a large one
when they have received it."""
CONFIGURATION_COALESCING_MS: Final = 100.0
INSTANCES_COALESCING_MS: Final = 400.0
"""Changes within this time are read in one call. 400 ms is a fifth of the 2 s after
which a draining instance must get no new requests (``NodeSettings.drain_timeout``)."""

log = logger("discovery")


class FleetAccess(NamedTuple):
    """How the tables reach the other VMs.

    ``is_designated_reader`` says whether this VM reads the tables for its zone,
    ``send_notice`` sends news of a table to that zone, and ``is_near`` says whether the
    VM at an address belongs to it.
    """

    is_designated_reader: Callable[[], bool]
    send_notice: Callable[[TableNotice], None]
    is_near: Callable[[str], bool]


class TableListeners(NamedTuple):
    """Functions that are called after changes.

    ``on_instances`` gets all instances in use, ``on_configuration`` is called after a
    change of the configuration and ``on_restored`` after the store was restored from an
    older copy.
    """

    on_instances: Callable[[tuple[Instance, ...]], None]
    on_configuration: Callable[[], None]
    on_restored: Callable[[], None]


class Tables:
    """Copies of the configuration's and the instances' table.

    Parameters
    ----------
    loop : Loop
    adapter : Adapter
    routes : HostRouteTable
        Gets each newer configuration.
    fleet : FleetAccess
    listeners : TableListeners
    random : Random
    is_first_start : bool
        Whether the fleet as a whole starts for the first time.
    configuration_timeout : float
        Time in milliseconds within which a change of the configuration must be in
        force.
    drain_timeout : float
        Time in milliseconds after which a draining instance must get no new requests.
    """

    def __init__(
        self,
        loop: Loop,
        adapter: Adapter,
        routes: HostRouteTable,
        fleet: FleetAccess,
        listeners: TableListeners,
        random: Random,
        is_first_start: bool,
        configuration_timeout: Millis,
        drain_timeout: Millis,
    ) -> None:
        self._outdated_after = max(0.0, configuration_timeout - NEWS_DELAY_MS)
        self._loop = loop
        self._names = adapter.tables
        self._prepare_row = adapter.prepare_row
        self._fleet = fleet
        self._routes = routes
        self._listeners = listeners
        self._configuration_updater = ConfigurationUpdater(adapter, routes)
        instance_updater = InstanceUpdater(
            loop,
            adapter,
            self._instances_availability,
            listeners.on_instances,
        )
        startup_delay = FIRST_START_DELAY_MS if is_first_start else 0.0
        self.configuration = TableFollower(
            loop,
            FollowerSettings(
                adapter.tables.configuration,
                CONFIGURATION_COALESCING_MS,
                is_shared=True,
                startup_delay=startup_delay,
                timing=_check_timing(
                    adapter.tables.configuration,
                    derive_poll_timing(configuration_timeout),
                    configuration_timeout,
                ),
            ),
            adapter.store,
            self._fetch_from_peer,
            random,
            self._on_configuration_change,
            fleet.is_designated_reader,
            self._send_notice,
            listeners.on_restored,
            fleet.is_near,
        )
        self.instances = TableFollower(
            loop,
            FollowerSettings(
                adapter.tables.instances,
                INSTANCES_COALESCING_MS,
                is_shared=True,
                startup_delay=startup_delay,
                timing=_check_timing(
                    adapter.tables.instances,
                    derive_instance_timing(drain_timeout),
                    drain_timeout - SENDING_MS,
                ),
            ),
            adapter.store,
            self._fetch_from_peer,
            random,
            instance_updater.on_change,
            fleet.is_designated_reader,
            self._send_notice,
            is_near=fleet.is_near,
        )
        self._peer_configurations = PeerConfigurations(
            loop,
            self._fetch_from_peer,
            lambda: routes.version,
            self._on_configuration_rows,
            lambda: self.configuration.is_behind,
        )
        self._update_since_by_table: dict[
            str, Callable[[StoreVersion], TableUpdate]
        ] = {
            adapter.tables.configuration: self.configuration.update_since,
            adapter.tables.instances: self.instances.update_since,
            IN_FORCE_TABLE: self._configuration_updater.update_in_force,
        }

    @property
    def followers(self) -> tuple[TableFollower, TableFollower]:
        """The followers of both tables."""
        return self.configuration, self.instances

    @property
    def is_store_unavailable(self) -> bool:
        """Whether this VM's reads from the store fail."""
        return any(follower.is_store_unavailable for follower in self.followers)

    @property
    def is_configuration_behind(self) -> bool:
        """Whether this VM knows of a configuration that it has not got yet."""
        return self.configuration.is_behind or self._peer_configurations.is_behind

    @property
    def configuration_behind_for(self) -> Millis:
        """Time for which this VM has known of a configuration that it has not got."""
        return max(self.configuration.behind_for, self._peer_configurations.behind_for)

    @property
    def is_configuration_current(self) -> bool:
        """Whether this VM is sure that its configuration is the newest one."""
        return (
            self.configuration.is_confirmed
            and self._peer_configurations.knows_others
            and not self._peer_configurations.is_behind
        )

    @property
    def is_configuration_outdated(self) -> bool:
        """Whether a newer configuration should be in force on this VM by now.

        Another VM must have it in force, since a table may change without a newer
        configuration. News of the table comes earlier, and tells since when.
        """
        return (
            self._peer_configurations.is_newer_repeated
            and self.configuration_behind_for > self._outdated_after
        )

    @property
    def refreshes(self) -> tuple[Callable[[], None], ...]:
        """Functions that read the tables again."""
        return tuple(follower.refresh for follower in self.followers)

    def add_peer_table(
        self, name: str, update_since: Callable[[StoreVersion], TableUpdate]
    ) -> None:
        """Let other VMs fetch another table from this one."""
        self._update_since_by_table[name] = update_since

    def begin(self) -> None:
        """Start to follow the tables."""
        for follower in self.followers:
            follower.begin()

    def end_startup_delay(self) -> None:
        """Read the tables now, if nothing is known of them yet."""
        for follower in self.followers:
            follower.end_startup_delay()

    def on_heartbeat(self, address: str, heartbeat: Heartbeat) -> None:
        """Catch up with the tables of the VM at ``address`` if needed."""
        self.configuration.on_peer_version(address, decode_version(heartbeat.version))
        self.instances.on_peer_version(address, decode_version(heartbeat.list_revision))
        self._peer_configurations.on_peer_version(address, heartbeat.version_in_force)

    def on_notice(self, address: str, notice: TableNotice) -> None:
        """Handle news of a table that the VM at ``address`` has read."""
        is_configuration = notice.table == self._names.configuration
        follower = self.configuration if is_configuration else self.instances
        rows = self._prepare_rows(notice.table, notice.rows)
        follower.on_notice(address, notice._replace(rows=rows))
        self._peer_configurations.on_peer_version(address, notice.version_in_force)

    def respond_to_peer(self, request: JsonRequest) -> JsonResponse:
        """Answer another VM's request for a table."""
        return respond_to_peer(self._update_since_by_table, request)

    def describe_configuration_age(self) -> dict[str, Any]:
        """Return the fields of a log line on the age of the configuration."""
        return {
            "is_configuration_behind": self.is_configuration_behind,
            "configuration_confirmed_ago_ms": int(self.configuration.confirmed_ago),
        }

    def dump_configuration(self) -> dict[str, Any]:
        """Return the state of the configuration's table as JSON data."""
        return {"version": self._routes.version} | _dump(self.configuration)

    def dump_instances(self) -> dict[str, Any]:
        """Return the state of the instances' table as JSON data."""
        return _dump(self.instances)

    def _send_notice(self, notice: TableNotice) -> None:
        version = self._routes.version
        self._fleet.send_notice(notice._replace(version_in_force=version))

    def _on_configuration_change(self, rows: tuple[TableRow, ...]) -> None:
        table = self.configuration
        self._on_configuration_rows(rows, table.source, table.was_behind_for)

    def _on_configuration_rows(
        self, rows: tuple[TableRow, ...], source: str, behind_for: Millis
    ) -> None:
        self._configuration_updater.on_change(rows, source, behind_for)
        self._listeners.on_configuration()

    def _instances_availability(self) -> StoreAvailability:
        return StoreAvailability(
            self.instances.outages.is_away,
            self.instances.outages.back_at,
            self.instances.unchanged_until,
        )

    def _fetch_from_peer(
        self, address: str, table: str, after: StoreVersion, done: Any
    ) -> None:
        def prepare(update: TableUpdate) -> TableUpdate:
            return update._replace(rows=self._prepare_rows(table, update.rows))

        fetch_from_peer(
            self._loop, address, table, after, lambda result: done(result.map(prepare))
        )

    def _prepare_rows(
        self, table: str, rows: tuple[TableRow, ...]
    ) -> tuple[TableRow, ...]:
        """Return rows of another VM, which may be of an earlier build."""
        if table == IN_FORCE_TABLE:
            table = self._names.configuration
        return tuple(self._prepare_row(table, row) for row in rows)


def _check_timing(table: str, timing: PollTiming, bound: Millis) -> PollTiming:
    """Return the times of the reads of a table; log if they don't meet the bound."""
    if not timing.meets(bound):
        log.warning(
            "changes of a table may become known too late",
            table=table,
            bound_ms=bound,
            longest_ms=timing.longest_without_news,
        )
    return timing


def _dump(follower: TableFollower) -> dict[str, Any]:
    return {
        "store_version": follower.version.counter,
        "store_era": follower.version.era,
        "store_away": follower.is_store_unavailable,
    }
