"""Fleets in front of instances of one service, of which some leave."""

from galenaferry.node.tests.configuration_fleet import ConfigurationFleet
from galenaferry.platform.tests.builders import entry_json

STEP_MS = 200.0
REFUSED_MS = 1_000.0
"""Time in which the store answers some VMs with 503."""
SETTLE_MS = 6_000.0


def ids(count, first=0):
    return [f"i-{number}" for number in range(first, first + count)]


def list_instances(fleet, names, sequence):
    for name in names:
        status = {"state": "ready", "sequence": sequence, "coldRemainingMs": 0}
        address = f"10.128.0.{int(name[2:]) + 1}:8080"
        row = entry_json(address=address, status=status)
        fleet.store.put_row("servers", name, row)


def make_fleet(monkeypatch, bound, instances=8, zones=3):
    """Return a fleet of some zones that has ``instances`` of one service in use."""
    fleet = ConfigurationFleet(
        monkeypatch, vms=9, zones=zones, link_mbps=1_000.0, configuration_timeout=bound
    )
    fleet.change(1, 2)
    list_instances(fleet, ids(instances), 1)
    fleet.run(SETTLE_MS)
    assert all(vm.used_ids == set(ids(instances)) for vm in fleet.vms)
    return fleet


def used_after(fleet, names, acked_at, bound):
    """Return the VMs that use some instances ``bound`` ms after an acknowledgement."""
    fleet.run(acked_at + bound - fleet.clock.now())
    return {vm.host for vm in fleet.vms if vm.used_ids & set(names)}


def sweep_moments(fleet, bound, refused, leaving):
    """Return the VMs that use instances too long, by the moment of their leaving.

    The store refuses the calls of some hosts for ``REFUSED_MS``. The rows of instances
    are removed at a moment counted from the start of that.
    """
    late = {}
    moments = [STEP_MS * number for number in range(int(3_000.0 / STEP_MS))]
    for number, moment in enumerate(moments, start=2):
        starts_at = fleet.clock.now()
        fleet.store.refused = set(refused)
        fleet.run(min(moment, REFUSED_MS))
        if moment > REFUSED_MS:
            fleet.store.refused = set()
            fleet.run(moment - REFUSED_MS)
        fleet.store.remove_rows("servers", leaving)
        acked_at = fleet.clock.now()
        fleet.run(max(0.0, starts_at + REFUSED_MS - acked_at))
        fleet.store.refused = set()
        if hosts := used_after(fleet, leaving, acked_at, bound):
            late[moment] = hosts
        fleet.run(SETTLE_MS)
        list_instances(fleet, leaving, number)
        fleet.run(1_000.0)
    return late


def let_leases_expire(fleet, names, outage):
    """Let the store be away; meanwhile the rows of some instances are removed."""
    hosts = {vm.host for vm in fleet.vms}
    fleet.store.silence_connections(hosts)
    fleet.store.refused = hosts
    fleet.run(0.5 * outage)
    fleet.store.remove_rows("servers", names)
    fleet.run(0.5 * outage)
    fleet.store.refused = set()
    return fleet.clock.now()
