"""Divides the slots of a service among batches: equally among tenants, then among their batches.

Pure functions without knowledge of engines or queues.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.fairness.water_filling import fair_level

Batch = TypeVar("Batch")


class BatchDemand(NamedTuple):
    """The demand of one batch.

    Attributes:
        tenant: owner of the batch; batches without an owner (None) count as one tenant.
        slots: number of slots that it could use now.
    """

    tenant: TenantName | None
    slots: int


def share_among_batches(demands: Mapping[Batch, BatchDemand], slots: float) -> dict[Batch, float]:
    """Returns the slots of each batch; they add up to all slots, or to the total demand if less.

    Args:
        demands: demand of each batch of one urgency.
        slots: number of slots to divide.
    """
    by_tenant: dict[TenantName | None, dict[Batch, int]] = {}
    for batch, demand in demands.items():
        by_tenant.setdefault(demand.tenant, {})[batch] = demand.slots
    tenant_demands = {tenant: sum(batches.values()) for tenant, batches in by_tenant.items()}
    tenant_level = fair_level(tenant_demands.values(), slots)
    shares: dict[Batch, float] = {}
    for tenant, batches in by_tenant.items():
        level = fair_level(batches.values(), min(tenant_demands[tenant], tenant_level))
        shares |= {batch: min(demand, level) for batch, demand in batches.items()}
    return shares
