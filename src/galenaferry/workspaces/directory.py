"""The workspaces of one version of the configuration, by the digests of their keys."""

import hashlib
from collections.abc import Callable
from typing import Final, NamedTuple

from .messages import Workspace

DIGEST_BYTES: Final = 16
MAX_FLEET_KEY_BYTES: Final = 64
"""Longest key of BLAKE2b."""
PURPOSE: Final = b"workspace key"
"""Separates digests of keys from the codes of messages, which have the same key."""


class WorkspaceDirectory(NamedTuple):
    """Workspaces of one version of the configuration.

    ``ambiguous_digests`` are those of keys that more than one workspace has.
    ``is_complete`` is False if a name or a key could not be read. ``digest`` returns
    the digest of a key.
    """

    by_digest: dict[bytes, Workspace]
    by_name: dict[str, Workspace]
    ambiguous_digests: frozenset[bytes]
    is_complete: bool
    digest: Callable[[bytes], bytes]


class AccessRules(NamedTuple):
    """Who may use the routes that are not public.

    ``directory`` is None if no key is needed. ``is_certain`` says whether this VM is
    sure that no newer configuration has other keys or routes.
    """

    version: int
    directory: WorkspaceDirectory | None
    is_certain: bool


NO_ACCESS_RULES: Final = AccessRules(0, None, False)


def make_digest(fleet_key: bytes) -> Callable[[bytes], bytes]:
    """Return the function that digests keys; it does not show the fleet's key."""

    def digest(key: bytes) -> bytes:
        return hashlib.blake2b(
            key,
            digest_size=DIGEST_BYTES,
            key=fleet_key[:MAX_FLEET_KEY_BYTES],
            person=PURPOSE,
        ).digest()

    return digest
