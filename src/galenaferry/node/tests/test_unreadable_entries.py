"""VMs that read the table of the instances with an entry that can't be parsed."""

from random import Random

import pytest

from galenaferry.clock import FakeClock
from galenaferry.discovery.follower import TableFollower
from galenaferry.discovery.messages import StoreVersion, TableRow, TableUpdate
from galenaferry.discovery.registry import StoreAvailability
from galenaferry.discovery.settings import FollowerSettings
from galenaferry.discovery.tests.builders import FakeSource
from galenaferry.network.loop import Loop
from galenaferry.node.instances import InstanceUpdater
from galenaferry.platform.__main__ import make_adapter
from galenaferry.platform.settings import parse_node_file
from galenaferry.platform.tests.builders import NODE_FILE, entry_json
from galenaferry.platform.tests.test_foreign_entries import ODD_ENTRIES

SETTINGS = parse_node_file("local.toml", NODE_FILE).unwrap()


class ReadingVm:
    """A VM that has just started and reads the instances from the store."""

    def __init__(self):
        self.clock = FakeClock(1_000.0)
        self.loop = Loop(self.clock, is_fault_tolerant=True)
        self.source = FakeSource()
        self.names = set()
        updater = InstanceUpdater(
            self.loop,
            make_adapter(SETTINGS, self.loop),
            lambda: StoreAvailability(False, None),
            self._on_instances,
        )
        self.follower = TableFollower(
            self.loop,
            FollowerSettings("servers", 0.0),
            self.source,
            lambda *arguments: None,
            Random(1),
            updater.on_change,
        )
        self.follower.begin()

    def _on_instances(self, instances):
        self.names = {instance.id for instance in instances}

    def read(self, counter, *rows, is_snapshot=False):
        """Answer the pending read from an event of the loop, as the store does."""
        update = TableUpdate(StoreVersion(0, counter), rows, is_snapshot)
        self.loop.call_soon(lambda: self.source.answer(update))
        for _ in range(300):
            self.loop.poll(0.0)
            self.clock.advance(1.0)


def instance_row(number):
    return TableRow(f"i-{number}", entry_json(address=f"10.128.0.{number}:80"))


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_a_vm_that_starts_serves_in_spite_of_an_entry_that_cannot_be_parsed(name):
    """Guards against a restarted fleet that is ready and serves nothing (review/2)."""
    vm = ReadingVm()
    odd = TableRow("odd", ODD_ENTRIES[name])
    vm.read(5, instance_row(1), odd, instance_row(2), is_snapshot=True)
    assert vm.names == {"i-1", "i-2"}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_instances_that_join_after_an_entry_that_cannot_be_parsed_get_work(name):
    """Guards against news of instances that end with an odd entry (review/2)."""
    vm = ReadingVm()
    vm.read(5, instance_row(1), is_snapshot=True)
    vm.read(6, TableRow("odd", ODD_ENTRIES[name]))
    vm.read(7, instance_row(2))
    assert vm.names == {"i-1", "i-2"}
    assert vm.loop.failed_callback_count == 0
