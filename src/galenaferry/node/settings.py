"""Settings of one VM of the fleet."""

from typing import Final, NamedTuple

from ..attempts.fleet_budget import BudgetBounds
from ..callers.decisions import CallerBounds
from ..callers.shares import ListenerBounds, divide_bounds
from ..clock import Millis
from ..placing.settings import PlacementSettings
from ..quotas.messages import QuotaBounds

Address = tuple[str, int]

DEFAULT_CONFIGURATION_TIMEOUT_MS: Final[Millis] = 5_000.0


class NodeSettings(NamedTuple):
    """Addresses and limits of one VM; times in milliseconds.

    ``callers``, ``readiness`` and ``peers`` are the addresses that it listens on for
    requests, for the load balancer and operators, and for other VMs (TCP and UDP).
    ``relay`` is the address at which it takes requests of other VMs, None for none.
    ``seeds`` are the addresses of VMs to contact first, and ``store`` is the address
    of the platform's store. ``drain_timeout`` is the time after which a draining
    instance must get no new requests; the times of reads from the store are derived
    from it and from ``configuration_timeout``. ``grace_period`` is the time from the
    request to stop to the end of the process. ``floor_share`` is the share of a
    service's instances without recent failures that always stays eligible for requests.
    ``budget`` limits the retries of the whole fleet.
    ``is_first_start`` is set if the fleet as a whole has never run before.
    ``link_rate`` is the bandwidth of the VM's link in bytes per millisecond, 0 if it is
    not known. ``configuration_timeout`` is the time within which a change of the
    configuration must be in force. ``quota`` bounds the requests of limited workspaces,
    None if nothing is limited. ``has_admission_control`` says that requests are
    refused by their priority while a service lacks room. ``second_attempts_percent``
    is the number of second attempts at slow requests per 100 requests.
    ``caller_bounds`` limits what is held for clients at all listeners together.
    """

    name: str
    zone: str
    region: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    store: Address
    drain_timeout: Millis
    grace_period: Millis
    floor_share: float
    budget: BudgetBounds
    is_first_start: bool = False
    relay: Address | None = None
    link_rate: float = 0.0
    configuration_timeout: Millis = DEFAULT_CONFIGURATION_TIMEOUT_MS
    quota: QuotaBounds | None = None
    has_admission_control: bool = False
    second_attempts_percent: float = 0.0
    caller_bounds: CallerBounds = CallerBounds()

    @property
    def placement(self) -> PlacementSettings:
        """Settings of the placing of requests."""
        return PlacementSettings(self.zone, self.floor_share, self.drain_timeout)

    @property
    def listener_bounds(self) -> ListenerBounds:
        """Limits on what is held for clients at each listener."""
        return divide_bounds(self.caller_bounds)
