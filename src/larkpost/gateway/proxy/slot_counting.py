"""Counts the slots of a service and how many of them are taken.

Relies on the balancer for estimates about each instance, and for the sample of a large service.
"""

from dataclasses import dataclass, field

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer

MOSTLY_FREE_FRACTION = 0.5
"""While less than this fraction of the slots is taken, no request waits or is refused: reports
about other daemons' requests are too old to justify that."""


@dataclass(frozen=True, slots=True)
class SlotCounts:
    """The slots of a service that a piece of work may use.

    Attributes:
        total: slots of all instances that placement allows, now or once they are warm.
        taken: slots estimated taken; exceeds the total if instances queue requests.
        service_time: seconds that a request takes there, as the harmonic mean over the slots whose
            service time is known; 0 if none is.
        unavailable: slots counted as taken although they run no request, as their instance failed,
            refused or is cold.
    """

    total: int
    taken: int
    service_time: float
    unavailable: int = field(default=0, compare=False)

    @property
    def free(self) -> int:
        """Slots estimated free."""
        return max(0, self.total - self.taken)

    @property
    def is_mostly_free(self) -> bool:
        """Whether so few slots are taken that no request needs to wait."""
        return self.taken < self.total * MOSTLY_FREE_FRACTION

    @property
    def has_few_running(self) -> bool:
        """Whether so few slots run a request that instances that failed may be tried again."""
        return self.taken - self.unavailable < self.total * MOSTLY_FREE_FRACTION


def count_slots(balancer: Balancer, service: ServiceName, work: Work) -> SlotCounts:
    """Counts the slots of a service for a piece of work.

    An instance that failed or refused recently, or that is cold, has no free slot. Of a large
    service only a sample is counted, and scaled up to the whole.
    """
    total = taken = unavailable = 0
    measured_slots, rate = 0, 0.0
    candidate_pool = balancer.candidate_pool(service, work)
    for info in candidate_pool.instances:
        decision = balancer.placement.evaluate(info, work)
        if not decision.is_allowed and decision is not PlacementDecision.COLD:
            continue
        slots = max(1, info.slots)
        occupied = balancer.occupied(info)
        is_unavailable = not decision.is_allowed or balancer.is_avoided(info.id)
        total += slots
        taken += max(occupied, slots) if is_unavailable else occupied
        unavailable += max(0, slots - occupied) if is_unavailable else 0
        service_time = balancer.service_time(info.id)
        if service_time:
            measured_slots += slots
            rate += slots / service_time
    total, taken, unavailable = (
        round(count * candidate_pool.scale) for count in (total, taken, unavailable)
    )
    return SlotCounts(total, taken, measured_slots / rate if rate else 0.0, unavailable)
