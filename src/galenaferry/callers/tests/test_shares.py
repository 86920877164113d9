"""How the listeners of a VM share its limits."""

import pytest

from galenaferry.callers.decisions import CallerBounds, derive_bounds
from galenaferry.callers.shares import divide_bounds

FILES = 200
LISTENERS_OF_STATUS = 2
"""Readiness checks and the metrics port."""


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(152, 1_535), (300, 4_100), (552, 8_192)]
)
def test_all_listeners_together_stay_within_the_limits_of_the_vm(
    memory_mb, descriptors
):
    whole = derive_bounds(memory_mb, descriptors)
    callers, status, peers = divide_bounds(whole)
    memory = callers.memory_bytes + LISTENERS_OF_STATUS * status.memory_bytes
    assert memory + peers.memory_bytes <= whole.memory_bytes
    # Each caller may need a connection to an instance.
    sockets = 2 * callers.connections + LISTENERS_OF_STATUS * status.connections
    assert sockets + peers.connections <= descriptors - FILES


def test_without_limits_only_the_interfaces_of_the_vm_have_some():
    callers, status, peers = divide_bounds(CallerBounds())
    assert callers == CallerBounds()
    assert status == peers and status.connections and status.memory_bytes
