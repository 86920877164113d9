"""Ports of the harness on the loopback address."""

import socket

HARNESS_IP = "127.0.0.1"
FIRST_PORT, LAST_PORT = 20_000, 29_000


def find_free_port_block() -> int:
    """Return the first port of a block of 100 that no other run uses.

    Offsets in a block: 0 to 2 for callers, readiness and peers of the VMs, each VM on
    an IP address of its own, 5 for the store's proxy, 6 for the store, and 11 and
    above for the instances' proxies. A block counts as used if the port of the store
    can't be bound.

    Raises
    ------
    OSError
        When all blocks are in use.
    """
    for port in range(FIRST_PORT, LAST_PORT, 100):
        with socket.socket() as probe:
            try:
                probe.bind((HARNESS_IP, port + 6))
            except OSError:
                continue
            return port
    raise OSError("no free ports for the soak")


def is_listening(address: tuple[str, int]) -> bool:
    """Whether a process listens on an address."""
    with socket.socket() as probe:
        return probe.connect_ex(address) == 0
