"""Reloading of settings while a VM runs."""

from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.findings import Finding
from galenaferry.network.loop import Loop
from galenaferry.node.reload import SettingsReloader
from galenaferry.platform.settings import parse_node_file
from galenaferry.platform.tests.builders import NODE_FILE

SETTINGS = parse_node_file("local.toml", NODE_FILE).unwrap()


class FakeSettingsFile:
    def __init__(self):
        self.result = Ok(SETTINGS)
        self.applied = []
        self.reload = SettingsReloader(
            Loop(FakeClock()), SETTINGS, lambda: self.result, self.applied.append
        )


def test_an_unchanged_file_changes_nothing():
    file = FakeSettingsFile()
    file.reload.check()
    assert file.applied == []


def test_changed_settings_are_applied_once():
    file = FakeSettingsFile()
    file.result = Ok(SETTINGS._replace(store=("10.9.9.9", 1)))
    file.reload.check()
    file.reload.check()
    assert [settings.store for settings in file.applied] == [("10.9.9.9", 1)]


def test_an_invalid_file_leaves_the_settings_in_force():
    file = FakeSettingsFile()
    file.result = Err([Finding("local.toml", "", "zone", 0, "a value is needed")])
    file.reload.check()
    assert file.applied == []
