"""Fingerprints: what tells that two requests are the same one.

A caller that repeats a request gives it a new id. The repetitions have the caller, the
method, the host, the target and the body in common; other headers, their order and the
deadline may differ.
"""

import hashlib
from typing import Final

from ..framing.messages import RequestHead

PART_BYTES: Final = 8
"""Length of each half of a fingerprint: the digest of the head and that of the body."""


def head_digest(caller: str, head: RequestHead) -> bytes:
    """Return the first half of the fingerprints of requests with this head.

    The digest is cryptographic and covers the caller, so that no caller can make
    requests that have the fingerprints of another caller's.

    Parameters
    ----------
    caller : str
        IP address of the caller.
    head : RequestHead
    """
    digest = hashlib.blake2b(digest_size=PART_BYTES)
    for part in (
        caller.encode(),
        head.method,
        head.header(b"host") or b"",
        head.target,
    ):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


def body_digest(data: bytes) -> bytes:
    """Return the second half of a fingerprint, for the start of a body."""
    return hashlib.blake2b(data, digest_size=PART_BYTES).digest()
