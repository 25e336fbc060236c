"""What servers a service should have, worked out from what it has, needs and pays.

Servers that were lost for good are replaced in the zone that lost them, so that a service stays
spread as its operator laid it out. Preemptible servers come first where they are cheap enough, but
never more than a share of a zone: all of them may go at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.scaling.port import ScalingOrder, ServerKind

PREEMPTIBLE_SHARE = 0.5
"""Most of a zone's servers that are preemptible: the zone serves on when all of them go."""
MAX_PREEMPTIBLE_PRICE = 0.6
"""Highest price of a preemptible server, as a share of one on demand, at which one is taken: what
is lost with it, its runs and its weights, must cost less than it saves."""
HEADROOM = 1.25
"""Servers are planned for this multiple of the demand: batches come in bursts."""


@dataclass(frozen=True, slots=True)
class ZoneServers:
    """The servers of one service in one zone.

    Attributes:
        on_demand: those that serve now and are on demand.
        preemptible: those that serve now and are preemptible.
        usual: most that served at once within the last while.
        lost_for: seconds since there were as many as usual; 0 if there are.
        is_evacuated: whether the operator wants the zone to get nothing.
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
    """What is asked of a service.

    Attributes:
        work: tokens wanted a second; 0 if nothing is known.
        server_rate: tokens that one server makes a second; 0 if it is not known.
    """

    work: float = 0.0
    server_rate: float = 0.0

    @property
    def servers(self) -> int:
        """Servers that the demand takes; 0 if it is not known."""
        if not self.work or not self.server_rate:
            return 0
        return -int(-self.work * HEADROOM // self.server_rate)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a service should have.

    Attributes:
        needed: servers that the demand takes; 0 if it is not known.
        orders: what is to be ordered for that.
    """

    needed: int
    orders: tuple[ScalingOrder, ...]


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What the plan of one service follows from.

    Attributes:
        zones: what the service has; zones without a price are passed over.
        lost_after: seconds after which a missing server is considered lost for good.
        refused: zones that have no preemptible servers at the moment.
    """

    service: ServiceName
    terms: ScalingTerms
    zones: Mapping[ZoneId, ZoneServers]
    demand: ServiceDemand
    lost_after: float
    refused: frozenset[ZoneId] = frozenset()

    @property
    def present(self) -> int:
        """Servers that the service has, in all zones."""
        return sum(known.count for known in self.zones.values())


def plan_servers(inputs: PlanInputs) -> Plan:
    """Returns the orders that replace what is missing and needed, the cheapest zones first."""
    needed = inputs.demand.servers
    if needed and inputs.present >= needed:
        return Plan(needed, ())  # what is missing is not needed: it would cost more than it serves
    prices = inputs.terms.zone_prices
    priced = sorted((zone for zone in inputs.zones if zone in prices), key=prices.__getitem__)
    orders = (_order(inputs, zone) for zone in priced)
    return Plan(needed, tuple(order for order in orders if order is not None))


def _missing_count(known: ZoneServers, lost_after: float) -> int:
    """Returns how many servers a zone has lost for good and may have back."""
    if known.is_evacuated or known.missing_for < lost_after:
        return 0
    return max(0, known.usual_count - known.count)


def _order(inputs: PlanInputs, zone: ZoneId) -> ScalingOrder | None:
    """Returns the order for one zone; None if nothing is missing or its limits leave no room."""
    service, terms, known = inputs.service, inputs.terms, inputs.zones[zone]
    if not _missing_count(known, inputs.lost_after):
        return None
    wanted = max(terms.minimum, min(known.usual_count, terms.maximum))
    if wanted <= known.count:
        return None
    if zone not in inputs.refused and is_preemptible_worthwhile(terms):
        preemptible_count = min(wanted - known.on_demand, int(wanted * PREEMPTIBLE_SHARE))
        if preemptible_count > known.preemptible:
            return ScalingOrder(service, zone, ServerKind.PREEMPTIBLE, preemptible_count)
    return ScalingOrder(service, zone, ServerKind.ON_DEMAND, wanted - known.preemptible)


def is_preemptible_worthwhile(terms: ScalingTerms) -> bool:
    """Returns whether preemptible servers are cheap enough for the chance that they go."""
    price = terms.preemptible_price
    return price is not None and price <= MAX_PREEMPTIBLE_PRICE
