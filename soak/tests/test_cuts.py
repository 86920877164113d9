"""The check of what callers of VMs get that reach no instance."""

import os
import socket
from typing import NamedTuple

import pytest

from soak.cuts import GRACE_MS, Cuts, _find_inode, _owns

VM, OTHER = ("127.0.0.2", 1), ("127.0.0.3", 1)


class FakeVm(NamedTuple):
    front_address: tuple[str, int]
    pid: int = 0


def run_cut(served, failed, excused=0, sent_at=GRACE_MS, in_touch=(VM, OTHER)):
    cuts = Cuts([FakeVm(VM), FakeVm(OTHER)])
    cuts.start([FakeVm(VM)], 0.0)

    def is_in_touch(vm, now):
        assert now == sent_at
        return vm in in_touch

    for number in range(50):
        cuts.on_sent(f"other-{number}", OTHER, sent_at, is_in_touch)
        cuts.on_served(f"other-{number}")
    for number in range(served + failed + excused):
        cuts.on_sent(f"cut-{number}", VM, sent_at, is_in_touch)
        if number < served:
            cuts.on_served(f"cut-{number}")
        elif number < served + excused:
            cuts.on_excused(f"cut-{number}")
    return cuts.find_violation()


@pytest.mark.parametrize(
    ("served", "failed", "is_violation"),
    [(0, 30, True), (30, 30, True), (40, 5, False), (0, 10, False)],
)
def test_a_cut_vm_that_serves_far_less_is_found(served, failed, is_violation):
    assert bool(run_cut(served, failed)) == is_violation


def test_requests_that_other_faults_hit_or_that_came_early_do_not_count():
    assert not run_cut(0, 5, excused=40)
    assert not run_cut(0, 40, sent_at=GRACE_MS - 1.0)


def test_requests_count_only_while_a_vm_that_reaches_instances_is_in_touch():
    assert run_cut(0, 40, in_touch=(OTHER,))
    assert not run_cut(0, 40, in_touch=(VM,))


def test_the_owner_of_a_connection_is_found():
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        with socket.create_connection(address) as client:
            inode = _find_inode(client.getsockname(), address)
            assert inode and _owns(os.getpid(), inode)
            assert not _owns(os.getppid(), inode)
    assert not _find_inode(("127.0.0.1", 1), address)
