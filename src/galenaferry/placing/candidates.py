"""Properties of instances that change only with the list of instances or of VMs.

In a large fleet the list of live VMs changes all the time, while a VM sends two
requests per second. What is computed for a service is therefore proportional to the
VMs of one zone and to the instances of the service, not to their product.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import xxhash

from ..backends.messages import Instance
from ..backends.ownership import Vm, owned_slots
from ..health.posteriors import Posterior

PROBERS_PER_INSTANCE: Final = 2
"""VMs that probe an instance that may have recovered, before the others send it
requests that are not idempotent (see ``decisions``)."""


class StaticCandidate(NamedTuple):
    """Properties of an instance that change only with the instance or VM list."""

    instance: Instance
    name: str
    posterior: Posterior
    is_prober: bool
    has_owned_slot: bool
    is_remote_zone: bool


class StaticCandidates:
    """Static properties of the instances of each service, computed when needed.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._me = Vm("", zone)
        self._vms: tuple[Vm, ...] = (self._me,)
        self._vms_by_zone: dict[str, list[Vm]] = {zone: [self._me]}
        self._by_service: dict[str, list[StaticCandidate]] = {}

    @property
    def vm_count(self) -> int:
        """Number of live VMs, this one included."""
        return len(self._vms)

    def set_live_vms(self, me: Vm, vms: tuple[Vm, ...]) -> None:
        """Replace the live VMs, which include this one."""
        if vms == self._vms:
            return
        self._me = me
        self._vms = vms
        self._vms_by_zone = {}
        for vm in vms:
            self._vms_by_zone.setdefault(vm.zone, []).append(vm)
        self.clear()

    def clear(self) -> None:
        """Forget what was computed, after the list of instances has changed."""
        self._by_service.clear()

    def of_service(
        self,
        service: str,
        instances: Sequence[Instance],
        slots: int,
        posterior_of: Callable[[Instance], Posterior],
    ) -> list[StaticCandidate]:
        """Return the static properties of a service's instances.

        Parameters
        ----------
        service : str
        instances : sequence of Instance
        slots : int
            Number of slots of an instance.
        posterior_of : callable
            Returns the posterior of an instance.
        """
        candidates = self._by_service.get(service)
        if candidates is None:
            owned = owned_slots(self._me, self._vms, service, instances, slots)
            candidates = self._by_service[service] = [
                StaticCandidate(
                    instance,
                    instance.name,
                    posterior_of(instance),
                    self._is_prober(instance),
                    instance.address in owned,
                    instance.zone != self._zone,
                )
                for instance in instances
            ]
        return candidates

    def _is_prober(self, instance: Instance) -> bool:
        """Whether this VM probes an instance, by rendezvous hashing.

        The probers are VMs in the zone of the instance, of any zone if it has none.
        The search ends once as many VMs rank before this one: after a few of them, for
        nearly all VMs.
        """
        vms = self._vms_by_zone.get(instance.zone)
        if vms is None:
            vms = list(self._vms)
        elif instance.zone != self._me.zone:
            return False
        own_rank = rank(self._me, instance)
        better_count = 0
        for vm in vms:
            if rank(vm, instance) < own_rank:
                better_count += 1
                if better_count >= PROBERS_PER_INSTANCE:
                    return False
        return True


def rank(vm: Vm, instance: Instance) -> int:
    """Return the rank of a VM for an instance in rendezvous hashing, lowest first."""
    return xxhash.xxh64_intdigest(f"{vm.address}\n{instance.name}".encode())
