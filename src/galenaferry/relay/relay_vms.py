"""Choice of the VM by way of which a request goes, without network or clock."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Final, NamedTuple

from ..clock import Millis

MAX_IN_FLIGHT: Final = 16
"""Requests of this VM in flight by way of one other VM."""
REMOTE_ZONE_COST: Final = 4
"""Cost of another zone, in requests in flight."""
EXCLUDED_MS: Final[Millis] = 1_000.0
"""Time without requests for a VM that could not be reached."""
DOUBT_MS: Final[Millis] = 1_000.0
DOUBT_COST: Final = 8
"""Cost of a VM whose answer was overdue or broken, in requests in flight, for
``DOUBT_MS``. The instance that it chose may be at fault, so it is not excluded."""
REFUSED_MS: Final[Millis] = 5_000.0
REFUSED_COST: Final = 2 * MAX_IN_FLIGHT
"""Cost of a VM that refused a request of the same route, in requests in flight, for
``REFUSED_MS``: it comes after all others. It may have an older configuration."""


class RelayVm(NamedTuple):
    """A VM that takes requests of others; ``address`` is IP:PORT for them."""

    address: str
    zone: str


class RelayVms:
    """VMs that lately failed to take a request, refused it or failed to answer it."""

    def __init__(self) -> None:
        self._excluded_until_by_address: dict[str, Millis] = {}
        self._doubted_until_by_address: dict[str, Millis] = {}
        self._refused_until_by_address_and_route: dict[tuple[str, str], Millis] = {}

    def on_unreachable(self, address: str, now: Millis) -> None:
        """Exclude a VM for some time."""
        self._excluded_until_by_address[address] = now + EXCLUDED_MS

    def on_doubt(self, address: str, now: Millis) -> None:
        """Prefer other VMs for some time."""
        self._doubted_until_by_address[address] = now + DOUBT_MS

    def on_refused(self, address: str, route: str, now: Millis) -> None:
        """Prefer other VMs for requests of a route for some time."""
        until_by_key = self._refused_until_by_address_and_route
        until_by_key.pop((address, route), None)
        until_by_key[address, route] = now + REFUSED_MS
        oldest = next(iter(until_by_key))
        if until_by_key[oldest] <= now:
            del until_by_key[oldest]

    def choose(
        self,
        vms: Iterable[RelayVm],
        route: str,
        zone: str,
        in_flight_by_address: Mapping[str, int],
        random: Random,
        now: Millis,
    ) -> RelayVm | None:
        """Return the VM with the fewest requests of this one, near ones first.

        Parameters
        ----------
        vms : iterable of RelayVm
            VMs that reach instances, as far as they say.
        route : str
            Name of the route of the request.
        zone : str
            Availability zone of this VM.
        in_flight_by_address : mapping
            Requests that this VM has in flight by way of each VM.
        random : Random
        now : float
            Monotonic time in milliseconds.
        """
        best: tuple[float, RelayVm] | None = None
        for vm in vms:
            in_flight = in_flight_by_address.get(vm.address, 0)
            is_excluded = self._excluded_until_by_address.get(vm.address, now) > now
            if is_excluded or in_flight >= MAX_IN_FLIGHT:
                continue
            cost = in_flight + random.random()
            cost += REMOTE_ZONE_COST * (vm.zone != zone)
            is_doubted = self._doubted_until_by_address.get(vm.address, now) > now
            cost += DOUBT_COST * is_doubted
            key = vm.address, route
            refused_until = self._refused_until_by_address_and_route.get(key, now)
            cost += REFUSED_COST * (refused_until > now)
            if best is None or cost < best[0]:
                best = cost, vm
        return None if best is None else best[1]
