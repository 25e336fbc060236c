"""The port to whoever starts and ends servers, and what is ordered by it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.controllers.leases import Lease


class ScalingMode(StrEnum):
    """What a daemon does with a plan."""

    ANNOUNCE = "announce"  # says what it would order
    REPLACE = "replace"  # orders in place of servers that were lost


class ServerKind(StrEnum):
    """On which terms a server runs."""

    ON_DEMAND = "on_demand"  # stays until it is given back
    PREEMPTIBLE = "preemptible"  # cheaper; all of a zone may be taken away at short notice


@dataclass(frozen=True, slots=True)
class ScalingOrder:
    """How many servers of one kind a service is to have in a zone; not by how many to change."""

    service: ServiceName
    zone: ZoneId
    kind: ServerKind
    desired: int


class ScalingOutcome(StrEnum):
    """What became of an order."""

    TAKEN = "taken"
    REFUSED = "refused"  # a higher fencing token was seen, or there are no such servers now
    NOT_TAKEN = "not_taken"  # refused for the moment
    UNKNOWN = "unknown"  # no response; it may be taken, even seconds later


class ScalingPort(Protocol):
    """Takes orders of servers."""

    async def order_servers(
        self, order: ScalingOrder, holder: str, lease: Lease, timeout: float
    ) -> ScalingOutcome:
        """Sends an order under a lease; an exact repeat does no harm."""
