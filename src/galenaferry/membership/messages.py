"""Messages of the gossip membership protocol between VMs."""

from typing import NamedTuple


class Member(NamedTuple):
    """Gossiped state of one entry VM, set by that VM and relayed by others.

    An entry VM runs the proxy; the other VMs of the platform run backend servers.

    Attributes
    ----------
    address : str
        IP:PORT of the VM's peer socket.
    incarnation : int
        Grows with every start of the VM. A higher incarnation replaces a lower
        one.
    counter : int
        Grows with every heartbeat of one incarnation.
    zone, region : str
    is_leaving : bool
        Whether the VM is about to stop.
    version : int
        Version of the configuration in force on the VM.
    is_platform_down : bool
        Whether the VM's latest reads from the platform failed.
    relay_port : int
        Port at which the VM takes requests of other VMs, 0 if it takes none.
    is_cut_off : bool
        Whether the VM reaches no instance of a backend server.
    link_class : int
        Class of the VM's link; higher ones are faster, 0 is unknown, as for VMs of an
        earlier version.
    """

    address: str
    incarnation: int
    counter: int
    zone: str
    region: str
    is_leaving: bool
    version: int
    is_platform_down: bool = False
    relay_port: int = 0
    is_cut_off: bool = False
    link_class: int = 0


class Freshness(NamedTuple):
    """Age of a VM's information about the platform, in milliseconds.

    ``read_age`` is the age of the latest successful read of the configuration,
    by this VM or reported by another one.
    """

    read_age: int


class Heartbeat(NamedTuple):
    """Message that a VM sends to a few others at short intervals.

    Attributes
    ----------
    version : int
        Version of the sender's configuration. In heartbeats of ``node.component.Node``
        it is the version of the store at the latest change of the configuration, as
        ``StoreVersion.encode`` returns it.
    digest : str
        Digest of that configuration.
    freshness : Freshness
    list_revision : int
        Revision of the sender's copy of the VM list, or in heartbeats of ``Node`` the
        version of the store at the latest change of the instances table, encoded.
    sample : tuple of Member
        Other members whose counter advanced recently.
    version_in_force : int
        Version of the configuration in force on the sender, which may be newer than
        the one that the store has after a restore; 0 if unknown.
    """

    version: int
    digest: str
    freshness: Freshness
    list_revision: int
    sample: tuple[Member, ...]
    version_in_force: int = 0
