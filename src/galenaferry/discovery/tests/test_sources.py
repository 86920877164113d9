"""Choice of the VM that is asked for changes of a table."""

from random import Random

from galenaferry.discovery.sources import EXCLUDED_MS, MAX_SOURCES, PeerSources
from galenaferry.discovery.tests.builders import at

NEAR = ("n1", "n2", "n3")


def make_sources(*addresses, version=12, seed=1):
    sources = PeerSources(lambda address: address in NEAR, Random(seed))
    for address in addresses:
        sources.on_version(address, at(version))
    return sources


def test_only_vms_with_newer_versions_are_asked():
    sources = make_sources("n1", version=12)
    assert sources.choose(at(12), 0.0) is None
    assert sources.choose(at(11), 0.0) == "n1"


def test_near_vms_share_the_load_and_come_before_others():
    sources = make_sources("n1", "far", "n2")
    chosen = {sources.choose(at(11), 0.0) for _ in range(50)}
    assert chosen == {"n1", "n2"}


def test_a_vm_that_did_not_answer_is_asked_only_if_there_is_no_other():
    sources = make_sources("n1", "far")
    sources.on_failure("n1", 0.0)
    assert sources.choose(at(11), 10.0) == "far"
    sources.on_failure("far", 10.0)
    assert sources.choose(at(11), 20.0) == "n1"
    assert sources.choose(at(11), 10.0 + EXCLUDED_MS) == "n1"


def test_the_newest_version_is_preferred():
    sources = make_sources("n1", version=12)
    sources.on_version("n2", at(14))
    assert sources.choose(at(11), 0.0) == "n2"


def test_remembered_vms_are_bounded():
    sources = make_sources(*(f"vm-{number}" for number in range(1_000)))
    chosen = {sources.choose(at(11), 0.0) for _ in range(2_000)}
    assert len(chosen) <= MAX_SOURCES
