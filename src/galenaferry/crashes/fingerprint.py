"""Fingerprints: what tells that two requests are the same one.

A caller that repeats a request gives it a new id. The repetitions have the caller, the
method, the host, the target and the body in common; other headers, their order and the
deadline may differ. The first two parts of a fingerprint, its kind, are the same for
all requests with the same host, path and body, whoever sends them.
"""

import hashlib
from typing import Final

from ..framing.messages import RequestHead

PART_BYTES: Final = 8
"""Length of each part: the digests of the path, of the body and of the variant."""
KIND_BYTES: Final = 2 * PART_BYTES


def path_digest(head: RequestHead) -> bytes:
    """Return the first part, for the host and the path without the query."""
    return _digest(head.header(b"host") or b"", head.target.partition(b"?")[0])


def body_digest(data: bytes) -> bytes:
    """Return the second part, for the start of a body."""
    return hashlib.blake2b(data, digest_size=PART_BYTES).digest()


def variant_digest(caller: str, head: RequestHead) -> bytes:
    """Return the third part, for the caller's IP address, the method and the query.

    The digest is cryptographic, so that no caller can make requests that have the
    fingerprints of another caller's.
    """
    return _digest(caller.encode(), head.method, head.target.partition(b"?")[2])


def path_part(fingerprint: bytes) -> bytes:
    """Return the digest of the path that a fingerprint or a kind starts with."""
    return fingerprint[:PART_BYTES]


def kind_of(fingerprint: bytes) -> bytes:
    """Return the kind of a request, the part that all variants have in common."""
    return fingerprint[:KIND_BYTES]


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=PART_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
