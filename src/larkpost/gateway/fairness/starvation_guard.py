"""Lets part of each flow's requests count as within its share, however far beyond it the flow is.

An equal share can be next to nothing for a tenant that asks far more than the others. Each flow
has a credit that grows with each of its requests, by a third of the part of all requests that find
a place; a whole credit lets one request pass, and is given back if that one finds no place. So a
flow is served at least about a third as often as all, and that holds on each daemon by itself,
without news of the others.
"""

import random
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow

MIN_RELATIVE_SERVICE = 1 / 3
"""How often a flow is served at least, in relation to all. The bound that users count as starving
is a quarter; the rest is for requests that pass and find no place in their time."""
MAX_CREDIT = 2.0
"""Requests for which a flow has credit at most."""
WINDOW_SECONDS = 5.0
"""Time in which what was asked and found a place is counted; it counts half in the next window."""
FORGET_SECONDS = 60.0
"""How long the credit of a flow without requests is kept; it only bounds memory."""


@dataclass(slots=True)
class _ServiceCounts:
    """Requests of a service; what came in earlier windows counts less and less.

    Attributes:
        began: steady time at which the current window began.
    """

    began: float
    requested: float = 0.0
    granted: float = 0.0

    def granted_fraction(self) -> float:
        """Returns which part of the requests found a place; as if one more had."""
        return min(1.0, (self.granted + 1.0) / (self.requested + 1.0))


@dataclass(slots=True)
class _Credit:
    """A flow's credit, and the steady time of its last request."""

    amount: float
    at: float

    def add(self, change: float) -> None:
        """Changes the credit within its bounds."""
        self.amount = min(MAX_CREDIT, max(0.0, self.amount + change))


class StarvationGuard:
    """The credits of all flows.

    Args:
        chance: draws the credit with which a flow begins. If every daemon began with none, a
            tenant with a request at each of many daemons would never be served.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._chance = rng
        self._services: dict[ServiceName, _ServiceCounts] = {}
        self._credits: dict[Flow, _Credit] = {}
        """The flow whose last request is the oldest comes first."""

    def admit(self, flow: Flow, *, is_over_share: bool) -> bool:
        """Counts a request, and returns whether it passes though its flow is beyond its share."""
        counts = self._counts(flow.group.service)
        counts.requested += 1
        credit = self._take_credit(flow)
        credit.add(MIN_RELATIVE_SERVICE * counts.granted_fraction())
        is_share_exempt = is_over_share and credit.amount >= 1.0
        if is_share_exempt:
            credit.add(-1.0)
        return is_share_exempt

    def record_slot_granted(self, flow: Flow, *, is_share_exempt: bool) -> None:
        """Counts a request that found a place; one that was not let through takes up credit now."""
        self._counts(flow.group.service).granted += 1
        if not is_share_exempt and flow in self._credits:
            self._credits[flow].add(-1.0)

    def refund_credit(self, flow: Flow) -> None:
        """Gives the credit back of a request that was let through and found no place."""
        if flow in self._credits:
            self._credits[flow].add(1.0)

    def _counts(self, service: ServiceName) -> _ServiceCounts:
        """Returns the counts of a service, in a new window if the current one is full."""
        now = self._clock.now()
        counts = self._services.setdefault(service, _ServiceCounts(now))
        if now - counts.began >= WINDOW_SECONDS:
            windows = int((now - counts.began) / WINDOW_SECONDS)
            counts.requested *= 0.5**windows
            counts.granted *= 0.5**windows
            counts.began = now
        return counts

    def _take_credit(self, flow: Flow) -> _Credit:
        """Returns a flow's credit, moved to the end, and drops one that was not used for long."""
        now = self._clock.now()
        credit = self._credits.pop(flow, None) or _Credit(self._chance.random(), now)
        credit.at = now
        self._credits[flow] = credit
        oldest = next(iter(self._credits))
        if now - self._credits[oldest].at > FORGET_SECONDS:
            del self._credits[oldest]
        return credit
