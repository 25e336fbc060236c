"""Port for ordering servers from the platform."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.controllers.leases import Lease


class ScalingMode(StrEnum):
    """What a daemon does with a plan."""

    ANNOUNCE = "announce"  # only logs the orders
    REPLACE = "replace"  # orders replacements of lost servers


class ServerKind(StrEnum):
    """Whether the platform may preempt a server."""

    ON_DEMAND = "on_demand"  # runs until it is released
    PREEMPTIBLE = "preemptible"  # cheaper; all servers of a zone may be preempted at short notice


@dataclass(frozen=True, slots=True)
class ScalingOrder:
    """The desired number of servers of one kind in a zone, not the change."""

    service: ServiceName
    zone: ZoneId
    kind: ServerKind
    desired: int


class ScalingOutcome(StrEnum):
    """Outcome of an order."""

    TAKEN = "taken"
    REFUSED = "refused"  # a higher fencing token was seen, or no such servers are available
    NOT_TAKEN = "not_taken"  # temporarily refused
    UNKNOWN = "unknown"  # no response; it may still be accepted, even seconds later


class ScalingPort(Protocol):
    """Accepts orders for servers."""

    async def order_servers(
        self, order: ScalingOrder, holder: str, lease: Lease, timeout: float
    ) -> ScalingOutcome:
        """Sends an order under a lease; an exact repeat has no effect."""
