"""Tenants and their API keys.

Keys are secrets. A key is hashed as soon as it enters the process, from a request or a
configuration. Only the digest is stored and compared, so that no log line, metric, error or row of
larkpost contains a key.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NewType

from larkpost.common.ids import RegionId

TenantName = NewType("TenantName", str)
KeyDigest = NewType("KeyDigest", bytes)


def digest_key(key: bytes) -> KeyDigest:
    """Returns the digest of a key from a request or a configuration."""
    return KeyDigest(hashlib.sha256(key).digest())


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests larkpost serves.

    Attributes:
        keys: digests of its API keys.
        priority: overrides the priority of the route, 0 is the highest; None for no override.
        regions: the only regions in which its requests may be served; None for all.
    """

    name: TenantName
    keys: frozenset[KeyDigest]
    priority: int | None = None
    regions: frozenset[RegionId] | None = None


def index_by_key(tenants: Iterable[Tenant]) -> Mapping[KeyDigest, Tenant]:
    """Returns the tenant of each key; a key of several tenants belongs to the first one."""
    by_key: dict[KeyDigest, Tenant] = {}
    for tenant in tenants:
        for key in tenant.keys:
            by_key.setdefault(key, tenant)
    return by_key


@dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated caller of a request.

    Attributes:
        tenant: tenant of the key in the request; None if there was no key.
        is_restricted: whether the caller sees only its own tenant's data; False if no tenants are
            configured.
    """

    tenant: TenantName | None = None
    is_restricted: bool = False

    def can_read(self, owner: TenantName | None) -> bool:
        """Returns whether the caller may read data of a tenant; None for data without a tenant."""
        return not self.is_restricted or owner is None or owner == self.tenant


UNRESTRICTED_CALLER = Caller()
"""The caller of every request if no tenants are configured."""
