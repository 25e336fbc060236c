"""The shares of batches in the engines of a service: equal among tenants, then among their batches.

A pure rule for whoever gives batches places; it knows neither engines nor queues.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.fairness.water_filling import fair_level

Batch = TypeVar("Batch")


class BatchDemand(NamedTuple):
    """What one batch wants.

    Attributes:
        tenant: whose batch it is; None for nobody's, which all count as one tenant.
        places: places that it could use now.
    """

    tenant: TenantName | None
    places: int


def share_among_batches(demands: Mapping[Batch, BatchDemand], places: float) -> dict[Batch, float]:
    """Returns the places of each batch; together they are the places, or all that is wanted.

    Args:
        demands: what each batch of one urgency wants.
        places: places for all of them.
    """
    by_tenant: dict[TenantName | None, dict[Batch, int]] = {}
    for batch, demand in demands.items():
        by_tenant.setdefault(demand.tenant, {})[batch] = demand.places
    wanted = {tenant: sum(batches.values()) for tenant, batches in by_tenant.items()}
    tenant_level = fair_level(wanted.values(), places)
    shares: dict[Batch, float] = {}
    for tenant, batches in by_tenant.items():
        level = fair_level(batches.values(), min(wanted[tenant], tenant_level))
        shares |= {batch: min(demand, level) for batch, demand in batches.items()}
    return shares
