"""Slot ownership: which VM uses which slots of an instance first.

An instance processes a limited number of requests at a time, its slots, and has fewer
slots than there are VMs. If each VM sent requests to any instance that seemed free,
several would compete for the same slots and be shed. So every slot has an owner, which
all VMs compute identically from the list of live VMs and the list of instances: the
slots of a zone's instances are assigned round-robin to the VMs of that zone. Ownership
is a hint, not a lease: a VM may borrow slots, and while the lists differ between VMs
some requests are shed.
"""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from .messages import Instance


class Vm(NamedTuple):
    """A live VM of the fleet and its availability zone."""

    address: str
    zone: str


def owned_slots(
    me: Vm, vms: Sequence[Vm], service: str, instances: Sequence[Instance], slots: int
) -> dict[str, int]:
    """Return how many slots of each instance this VM owns, by address.

    Parameters
    ----------
    me : Vm
    vms : sequence of Vm
        All live VMs, this one included.
    service : str
    instances : sequence of Instance
        The instances of the service that accept requests.
    slots : int
        Number of slots of an instance.

    Notes
    -----
    Instances in a zone without live VMs are divided between all VMs.
    """
    zones = {vm.zone for vm in vms}
    owned: dict[str, int] = {}
    for zone in sorted(zones) + [""]:
        zone_instances = [
            i for i in instances if (i.zone if i.zone in zones else "") == zone
        ]
        owners = [vm for vm in vms if vm.zone == zone or not zone]
        if me in owners:
            _assign_slots(me, owners, service, zone_instances, slots, owned)
    return owned


def _assign_slots(
    me: Vm,
    owners: Sequence[Vm],
    service: str,
    instances: Sequence[Instance],
    slots: int,
    owned: dict[str, int],
) -> None:
    """Assign the slots of ``instances`` round-robin to ``owners``.

    The slots of ``me`` are added to ``owned``.
    """
    order = sorted(owners, key=lambda vm: _hash(service, vm.address))
    own_index = order.index(me)
    ranked = sorted(instances, key=lambda i: _hash(service, i.address))
    slot_index = 0
    for _ in range(slots):
        for instance in ranked:
            if slot_index % len(order) == own_index:
                owned[instance.address] = owned.get(instance.address, 0) + 1
            slot_index += 1


def _hash(service: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}\n{address}".encode())
