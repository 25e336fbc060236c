"""Tenants: who may call, and the keys by which they are known.

A key is a secret. It is turned into a digest where it enters the process, in a request or in a
configuration; only the digest is kept and compared, so that no log line, metric, error or row of
larkpost's own can hold a key.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NewType

from larkpost.common.ids import RegionId

TenantName = NewType("TenantName", str)
KeyDigest = NewType("KeyDigest", bytes)


def digest_key(key: bytes) -> KeyDigest:
    """Returns the digest of a key as a caller sent it or an operator wrote it."""
    return KeyDigest(hashlib.sha256(key).digest())


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests larkpost serves.

    Attributes:
        priority: its rank, 0 highest, which goes before its route's; None if it has none.
        keys: digests of the keys that it may call with.
        regions: the only regions in which its requests may be served; None for all.
    """

    name: TenantName
    keys: frozenset[KeyDigest]
    priority: int | None = None
    regions: frozenset[RegionId] | None = None


def index_by_key(tenants: Iterable[Tenant]) -> Mapping[KeyDigest, Tenant]:
    """Returns the tenant that holds each key; a key of several tenants is the first one's."""
    by_key: dict[KeyDigest, Tenant] = {}
    for tenant in tenants:
        for key in tenant.keys:
            by_key.setdefault(key, tenant)
    return by_key


@dataclass(frozen=True, slots=True)
class Caller:
    """On whose behalf a call is made.

    Attributes:
        tenant: the tenant whose key came with the call; None if it came without one.
        is_restricted: whether the caller sees only what is its tenant's own. It is not where the
            configuration knows no tenants.
    """

    tenant: TenantName | None = None
    is_restricted: bool = False

    def can_read(self, owner: TenantName | None) -> bool:
        """Returns whether the caller may see what belongs to a tenant, or to none (None)."""
        return not self.is_restricted or owner is None or owner == self.tenant


UNRESTRICTED_CALLER = Caller()
"""A caller where no tenants are known."""
