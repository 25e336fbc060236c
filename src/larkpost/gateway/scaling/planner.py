"""Plans the servers of a service from its current servers, demand and prices.

Lost servers are replaced in the zone that lost them, which keeps the operator's spread across
zones. Preemptible servers are preferred where they are cheap enough, but limited to a share of each
zone, because all of them may be preempted at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.scaling.port import ScalingOrder, ServerKind

PREEMPTIBLE_SHARE = 0.5
"""Largest share of a zone's servers that is preemptible; the zone keeps serving when they are
lost."""
MAX_PREEMPTIBLE_PRICE = 0.6
"""Highest price of a preemptible server that is accepted, relative to an on-demand one; the saving
must exceed the cost of lost runs and weights."""
HEADROOM = 1.25
"""Planned capacity as a multiple of the demand, because batches arrive in bursts."""


@dataclass(frozen=True, slots=True)
class ZoneServers:
    """The servers of one service in one zone.

    Attributes:
        on_demand: serving on-demand servers.
        preemptible: serving preemptible servers.
        usual_count: largest number of servers that recently served at the same time.
        missing_for: seconds since there were at least that many; 0 if there are.
        is_evacuated: whether the operator has evacuated the zone.
    """

    on_demand: int
    preemptible: int
    usual_count: int
    missing_for: float
    is_evacuated: bool = False

    @property
    def count(self) -> int:
        """Servers of both kinds."""
        return self.on_demand + self.preemptible


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The demand for a service.

    Attributes:
        rate: tokens per second demanded; 0 if unknown.
        server_rate: tokens per second that one server generates; 0 if unknown.
    """

    rate: float = 0.0
    server_rate: float = 0.0

    @property
    def servers(self) -> int:
        """Servers that the demand requires; 0 if unknown."""
        if not self.rate or not self.server_rate:
            return 0
        return -int(-self.rate * HEADROOM // self.server_rate)


@dataclass(frozen=True, slots=True)
class Plan:
    """The planned size of a service.

    Attributes:
        needed: servers that the demand requires; 0 if unknown.
        orders: the orders to place.
    """

    needed: int
    orders: tuple[ScalingOrder, ...]


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """Inputs for the plan of one service.

    Attributes:
        zones: the service's current servers; zones without a price are ignored.
        lost_after: seconds after which a missing server is considered lost.
        without_preemptible: zones that currently offer no preemptible servers.
    """

    service: ServiceName
    terms: ScalingTerms
    zones: Mapping[ZoneId, ZoneServers]
    demand: ServiceDemand
    lost_after: float
    without_preemptible: frozenset[ZoneId] = frozenset()

    @property
    def present(self) -> int:
        """Current servers of the service in all zones."""
        return sum(known.count for known in self.zones.values())


def plan_servers(inputs: PlanInputs) -> Plan:
    """Returns the plan that replaces servers that are missing and needed, cheapest zones first."""
    needed = inputs.demand.servers
    if needed and inputs.present >= needed:
        return Plan(needed, ())  # the demand is covered without the missing servers
    prices = inputs.terms.zone_prices
    priced = sorted((zone for zone in inputs.zones if zone in prices), key=prices.__getitem__)
    orders = (_order(inputs, zone) for zone in priced)
    return Plan(needed, tuple(order for order in orders if order is not None))


def _missing_count(known: ZoneServers, lost_after: float) -> int:
    """Returns how many servers a zone has lost and may get back."""
    if known.is_evacuated or known.missing_for < lost_after:
        return 0
    return max(0, known.usual_count - known.count)


def _order(inputs: PlanInputs, zone: ZoneId) -> ScalingOrder | None:
    """Returns the order for one zone; None if none is needed or allowed by the zone's limits."""
    service, terms, known = inputs.service, inputs.terms, inputs.zones[zone]
    if not _missing_count(known, inputs.lost_after):
        return None
    wanted = max(terms.minimum, min(known.usual_count, terms.maximum))
    if wanted <= known.count:
        return None
    if zone not in inputs.without_preemptible and is_preemptible_worthwhile(terms):
        preemptible_count = min(wanted - known.on_demand, int(wanted * PREEMPTIBLE_SHARE))
        if preemptible_count > known.preemptible:
            return ScalingOrder(service, zone, ServerKind.PREEMPTIBLE, preemptible_count)
    return ScalingOrder(service, zone, ServerKind.ON_DEMAND, wanted - known.preemptible)


def is_preemptible_worthwhile(terms: ScalingTerms) -> bool:
    """Returns whether preemptible servers are cheap enough for the risk of preemption."""
    price = terms.preemptible_price
    return price is not None and price <= MAX_PREEMPTIBLE_PRICE
