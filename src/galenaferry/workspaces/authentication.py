"""Decides to which workspace a request belongs."""

from typing import Final, NamedTuple

from ..framing.messages import RequestHead
from ..routing.table import Route
from .directory import AccessRules, WorkspaceDirectory
from .messages import RelayedWorkspace, Workspace

NO_KEY: Final = "the request has no key of a workspace"
SEVERAL_KEYS: Final = "the request has more than one key"
UNKNOWN_KEY: Final = "the key belongs to no workspace"
AMBIGUOUS_KEY: Final = "the key belongs to more than one workspace"
MAY_LACK_KEY: Final = "this VM may lack changes of the keys of workspaces"


class Authenticated(NamedTuple):
    """The request belongs to a workspace."""

    workspace: Workspace


class Public(NamedTuple):
    """The request needs no workspace."""


class Unauthorized(NamedTuple):
    """The request has no key that is valid, for the given reason."""

    reason: str


class Undecided(NamedTuple):
    """This VM can't tell whether the request has a valid key, for the given reason."""

    reason: str


Authentication = Authenticated | Public | Unauthorized | Undecided


def authenticate(
    head: RequestHead,
    route: Route,
    directory: WorkspaceDirectory | None,
    is_certain: bool,
    key_header: bytes,
) -> Authentication:
    """Return the workspace of a caller's request, or why it has none.

    ``is_certain`` says whether this VM is sure to have the newest configuration, and
    ``key_header`` is the name of the header with the key.
    """
    if directory is None or route.is_public:
        return Public()
    match [value for name, value in head.headers if name == key_header]:
        case [key] if key:
            return _find(directory.digest(key), directory, is_certain)
        case [] | [_]:
            return _refuse(NO_KEY, directory, is_certain)
    return _refuse(SEVERAL_KEYS, directory, is_certain)


def authenticate_relayed(
    relayed: RelayedWorkspace, route: Route, rules: AccessRules
) -> Authentication:
    """Return the workspace of a request that another VM has authenticated.

    A newer configuration of the other VM may have keys and routes that this VM lacks.
    """
    directory = rules.directory
    if directory is None or route.is_public:
        return Public()
    if relayed.version <= rules.version:
        return _find(relayed.digest, directory, rules.is_certain)
    if not relayed.name:
        return Public()
    known = directory.by_name.get(relayed.name)
    return Authenticated(Workspace(relayed.name) if known is None else known)


def _find(
    digest: bytes, directory: WorkspaceDirectory, is_certain: bool
) -> Authentication:
    workspace = directory.by_digest.get(digest)
    if workspace is not None:
        return Authenticated(workspace)
    if digest in directory.ambiguous_digests:
        return Undecided(AMBIGUOUS_KEY)
    return _refuse(UNKNOWN_KEY, directory, is_certain)


def _refuse(
    reason: str, directory: WorkspaceDirectory, is_certain: bool
) -> Authentication:
    if is_certain and directory.is_complete:
        return Unauthorized(reason)
    return Undecided(MAY_LACK_KEY)
