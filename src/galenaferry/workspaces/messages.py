"""Workspaces as the configuration describes them."""

from typing import NamedTuple


class Workspace(NamedTuple):
    """A workspace of the configuration in force.

    ``priority`` takes precedence over the priority of the route, if it is not None; 0
    is the most urgent. ``rate_per_second`` and ``burst`` limit the requests of the
    whole fleet; a rate of 0 stands for no limit.
    """

    name: str
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0


class RelayedWorkspace(NamedTuple):
    """What another VM says of the workspace of a request that it passes on.

    ``version`` is that of its configuration. ``name`` and ``digest``, the one of the
    key, are empty on a public route.
    """

    version: int
    name: str = ""
    digest: bytes = b""


def effective_priority(workspace: Workspace | None, route_priority: int) -> int:
    """Return the priority of a request: its workspace's, otherwise its route's."""
    if workspace is None or workspace.priority is None:
        return route_priority
    return workspace.priority
