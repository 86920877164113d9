"""VMs that are cut off from all instances, and what their callers get."""

import socket
import struct
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from galenaferry.clock import Millis

Address = tuple[str, int]

GRACE_MS = 3_000.0
"""Time after the start of a cut from which requests at its VMs count."""
SERVED_SHARE = 2.0 / 3.0
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1.0 / 50.0
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NETLINK_HEAD_BYTES = 16
ALL_STATES = 0xFFFF_FFFF
INODE_OFFSET = 84
"""Offset of ``idiag_inode`` of ``struct inet_diag_msg``, behind the message head."""


class ProcessOwner(Protocol):
    """A VM whose process owns sockets."""

    front_address: Address

    @property
    def pid(self) -> int:
        """Id of the process, 0 if it does not run."""


class Cuts:
    """The VMs that are cut off now.

    All VMs reach an instance through the same proxy, from the same address; whose
    connection it is follows from the process that owns the client's socket.
    """

    def __init__(self, vms: list[ProcessOwner]) -> None:
        self._vms = vms
        self._started_at_by_vm: dict[Address, Millis] = {}
        self._is_cut_by_request: dict[str, bool] = {}
        self._sent: Counter[bool] = Counter()
        self._served: Counter[bool] = Counter()

    @property
    def is_empty(self) -> bool:
        """Whether no VM is cut off."""
        return not self._started_at_by_vm

    def start(self, vms: list[ProcessOwner], now: Millis) -> None:
        """Cut VMs off, unless others are."""
        if self.is_empty:
            self._started_at_by_vm = {vm.front_address: now for vm in vms}

    def end(self) -> None:
        """End the cut."""
        self._started_at_by_vm = {}

    def is_cut(self, client: Address, server: Address) -> bool:
        """Whether the client of a connection is a VM that is cut off."""
        if self.is_empty:
            return False
        inode = _find_inode(client, server)
        cut = (vm for vm in self._vms if vm.front_address in self._started_at_by_vm)
        return any(_owns(vm.pid, inode) for vm in cut)

    def on_sent(
        self,
        request: str,
        vm: Address,
        now: Millis,
        is_in_touch: Callable[[Address, Millis], bool],
    ) -> None:
        """Count a request of a caller, if it was sent late enough in a cut.

        While no VM that reaches instances is in touch there is nothing to compare with,
        and nobody to pass requests on to.
        """
        cut = self._started_at_by_vm
        if now < max(cut.values(), default=now) + GRACE_MS:
            return
        others = {other.front_address for other in self._vms} - cut.keys()
        if not any(is_in_touch(other, now) for other in others):
            return
        is_cut = vm in cut
        self._is_cut_by_request[request] = is_cut
        self._sent[is_cut] += 1

    def on_excused(self, request: str) -> None:
        """Leave out a request that another fault has hit."""
        is_cut = self._is_cut_by_request.pop(request, None)
        if is_cut is not None:
            self._sent[is_cut] -= 1

    def on_served(self, request: str) -> None:
        """Count a request that was served."""
        is_cut = self._is_cut_by_request.pop(request, None)
        if is_cut is not None:
            self._served[is_cut] += 1

    def find_violation(self) -> str:
        """Return what callers of VMs that were cut off missed, empty if nothing."""
        sent, served = self._sent[True], self._served[True]
        failed = sent - served
        if failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * sent:
            return ""
        share_of_others = self._served[False] / max(1, self._sent[False])
        if served >= SERVED_SHARE * share_of_others * sent:
            return ""
        return (
            f"VMs that were cut off served {served} of {sent} requests, "
            f"the others {self._served[False]} of {self._sent[False]}"
        )

    def __str__(self) -> str:
        return f"{self._served[True]}/{self._sent[True]} served in cuts"


def _find_inode(local: Address, remote: Address) -> int:
    """Return the inode of a connected socket, 0 if there is none."""
    addresses = b"".join(
        socket.inet_aton(host).ljust(16, b"\0") for host, _ in (local, remote)
    )
    ports = struct.pack("!HH", local[1], remote[1])
    any_interface_and_cookie = bytes(4) + b"\xff" * 8
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES)
    request += ports + addresses + any_interface_and_cookie
    head = struct.pack(
        "=IHHII", NETLINK_HEAD_BYTES + len(request), SOCK_DIAG_BY_FAMILY, 1, 0, 0
    )
    family = socket.AF_NETLINK
    with socket.socket(family, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(head + request)
        reply = sock.recv(4096)
    _, kind = struct.unpack_from("=IH", reply)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from("=I", reply, INODE_OFFSET)[0])


def _owns(pid: int, inode: int) -> bool:
    """Whether a process has a socket open."""
    if not pid or not inode:
        return False
    try:
        entries = list(Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        # The process has ended.
        return False
    return any(_link_name(entry) == f"socket:[{inode}]" for entry in entries)


def _link_name(entry: Path) -> str:
    """Return what an open file links to, empty if it was closed meanwhile."""
    try:
        return entry.readlink().name
    except OSError:
        return ""
