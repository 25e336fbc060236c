"""Content digests of requests, which identify a retry that has a new request id.

A digest covers tenant, method, host, target and body. Log lines and rows contain the digest instead
of paths and bodies.
"""

import hashlib
from typing import NewType, Protocol

from larkpost.gateway.blackboard.tenants import TenantName

ContentDigest = NewType("ContentDigest", str)
"""Hexadecimal digest; equal for equal requests of the same tenant."""

DIGEST_BYTES = 12
"""96 bits: the probability of a collision among a million contents is below 1e-16."""
LENGTH_BYTES = 8
"""Size of the length prefix of each part, which keeps the hashed encoding unambiguous."""


class Request(Protocol):
    """The fields that a digest covers."""

    method: str
    host: bytes
    target: bytes
    body: bytes
    tenant: TenantName | None


def digest_request(request: Request) -> ContentDigest:
    """Returns the content digest of a request, independent of its id."""
    return digest_content(
        request.tenant, request.method, request.host, request.target, request.body
    )


def digest_content(
    tenant: TenantName | None, method: str, host: bytes, target: bytes, body: bytes
) -> ContentDigest:
    """Returns the content digest for the given fields; see `digest_request`."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = host.partition(b":")[0].lower()
    for part in ((tenant or "").encode(), method.encode(), name, target, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return ContentDigest(digest.hexdigest())
