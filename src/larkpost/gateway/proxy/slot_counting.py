"""Counts the places of a service, and says how far they are taken.

Relies on the balancer for what is believed of each instance, and for which instances of a large
service stand for all; decides nothing itself.
"""

from dataclasses import dataclass, field

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer

MOSTLY_FREE_FRACTION = 0.5
"""While less than this share of the places is taken, nothing waits and nothing is refused: what is
known of the others' requests is a second old, and is not believed against so many free places."""


@dataclass(frozen=True, slots=True)
class SlotCounts:
    """The places of a service that a piece of work may take.

    Attributes:
        total: of all instances that placement allows, now or in a moment.
        taken: those believed taken; more than all if instances let requests wait.
        pace: seconds a request takes there; 0 if not known lately.
        closed: those of the taken that have no request: their instance failed, refused or is cold.
    """

    total: int
    taken: int
    service_time: float
    unavailable: int = field(default=0, compare=False)

    @property
    def free(self) -> int:
        """Places believed free."""
        return max(0, self.total - self.taken)

    @property
    def is_mostly_free(self) -> bool:
        """Whether so few are taken that nothing need wait."""
        return self.taken < self.total * MOSTLY_FREE_FRACTION

    @property
    def has_few_running(self) -> bool:
        """Whether so few have a request that instances which failed may well take another."""
        return self.taken - self.unavailable < self.total * MOSTLY_FREE_FRACTION


def count_slots(balancer: Balancer, service: ServiceName, work: Work) -> SlotCounts:
    """Counts the places of a service for a piece of work.

    An instance that failed or refused a moment ago, or that is cold, has no free place. Of a large
    service the places of some are counted, and scaled up to all.
    """
    total = taken = unavailable = 0
    paced_slots, rate = 0, 0.0
    candidate_pool = balancer.candidate_pool(service, work)
    for info in candidate_pool.instances:
        verdict = balancer.placement.evaluate(info, work)
        if not verdict.is_allowed and verdict is not PlacementDecision.COLD:
            continue
        slots = max(1, info.slots)
        occupied = balancer.occupied(info)
        is_closed = not verdict.is_allowed or balancer.is_avoided(info.id)
        total += slots
        taken += max(occupied, slots) if is_closed else occupied
        unavailable += max(0, slots - occupied) if is_closed else 0
        service_time = balancer.service_time(info.id)
        if service_time:
            paced_slots += slots
            rate += slots / service_time
    total, taken, unavailable = (
        round(count * candidate_pool.scale) for count in (total, taken, unavailable)
    )
    return SlotCounts(total, taken, paced_slots / rate if rate else 0.0, unavailable)
