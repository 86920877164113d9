"""Membership entries that follow from the settings of a VM."""

from ..clock import Millis
from ..discovery.readers import link_class_of
from ..membership.messages import Member
from .settings import NodeSettings


def own_member(settings: NodeSettings, wall_time: Millis) -> Member:
    """Return the entry of a VM that starts at a Unix time in milliseconds."""
    address = f"{settings.peers[0]}:{settings.peers[1]}"
    return Member(
        address,
        int(wall_time),
        0,
        settings.zone,
        settings.region,
        False,
        0,
        relay_port=settings.relay[1] if settings.relay is not None else 0,
        link_class=link_class_of(settings.link_rate),
    )


def seed_members(settings: NodeSettings) -> tuple[Member, ...]:
    """Return the entries of the VMs to contact first."""
    return tuple(
        Member(f"{host}:{port}", 0, 0, "", settings.region, False, 0)
        for host, port in settings.seeds
    )
