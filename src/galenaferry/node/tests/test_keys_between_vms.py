"""Keys of workspaces in what VMs keep and give each other."""

from galenaferry.discovery.messages import NO_VERSION, TableNotice, TableRow
from galenaferry.node.configuration import IN_FORCE_TABLE
from galenaferry.node.tests.configuration_fleet import ConfigurationFleet
from galenaferry.workspaces.tests.builders import KEY, keys_in, tenant, tenants_json


def kept_and_given(vm):
    """Return the rows that a VM has in memory and those that it gives to others."""
    given = vm.tables._update_since_by_table
    return [
        vm.tables.configuration.value_by_key["config"],
        *(
            row.value
            for table in ("op", IN_FORCE_TABLE)
            for row in given[table](NO_VERSION).rows
        ),
    ]


def be_earlier(vm):
    """Let a VM keep rows as they are, like a build that knows no tenants."""
    vm.tables._prepare_row = lambda table, row: row
    vm.tables.configuration._reads._source._prepare_row = lambda table, row: row


def test_no_key_is_kept_or_given_to_other_vms(monkeypatch):
    """Guards against keys in memory and on the wire, also beside VMs of another build."""
    fleet = ConfigurationFleet(monkeypatch, vms=6)
    earlier, *others = fleet.vms
    be_earlier(earlier)
    fleet.store.refused = {vm.host for vm in others}
    fleet.store.put(tenants_json(tenant(), version="00000002"))
    fleet.run(4_000.0)
    assert keys_in(kept_and_given(earlier)[0]) == [KEY]
    notice = TableNotice(
        others[0].tables.configuration.version,
        others[0].tables.configuration.version._replace(counter=9),
        (TableRow("config", tenants_json(tenant(), version="00000003")),),
        table="op",
    )
    others[0].on_notice(earlier.member, notice)
    for vm in others:
        values = kept_and_given(vm)
        assert len(values) == 3
        assert [keys_in(value) for value in values] == [[]] * 3
        found = vm.routes.access_rules().directory
        assert found.digest(KEY.encode()) in found.by_digest
    assert [vm.routes.version for vm in others] == [3, 2, 2, 2, 2]
