"""The port to whoever starts and ends servers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from larkpost.fleet.configuration import ServiceName
from larkpost.fleet.leases import Lease
from larkpost.ids import ZoneId


@dataclass(frozen=True, slots=True)
class SizeOrder:
    """How many servers of one kind a service is to have in a zone.

    Attributes:
        preemptible: whether they cost less and may be taken away; the others are counted apart.
    """

    service: ServiceName
    zone: ZoneId
    servers: int
    preemptible: bool


class SizeOutcome(StrEnum):
    """What became of an order."""

    TAKEN = "taken"
    REFUSED = "refused"  # none to be had there now, or a higher fencing token was seen
    NOT_TAKEN = "not_taken"  # not now
    UNKNOWN = "unknown"  # no answer; it may be taken, even seconds later


class SizePort(Protocol):
    """Takes orders of servers."""

    async def order_size(
        self, order: SizeOrder, holder: str, lease: Lease, timeout: float
    ) -> SizeOutcome:
        """Orders servers under a lease; the same order again does no harm."""
