"""Exempts part of each flow's requests from its share, so that no flow is starved.

An equal share can be very little for a tenant that sends far more requests than the others. With
each of its requests, the credit of a flow grows by a third of the fraction of all requests that get
a slot. A credit of 1 exempts one request, and is refunded if that request gets no slot. So the
fraction of a flow's requests that is served is at least about a third of the overall fraction. Each
daemon enforces this by itself, without reports of the others.
"""

import random
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow

MIN_RELATIVE_SERVICE = 1 / 3
"""Minimum served fraction of a flow relative to that of all requests, without unit. A flow counts
as starved below a quarter; the margin allows for exempted requests that get no slot in time."""
MAX_CREDIT = 2.0
"""Maximum credit of a flow, in requests."""
WINDOW_SECONDS = 5.0
"""Length of a counting window; counts are halved with each new window."""
FORGET_SECONDS = 60.0
"""How long the credit of a flow without requests is kept; bounds memory."""


@dataclass(slots=True)
class _ServiceCounts:
    """Counts of the requests of a service; earlier windows count less.

    Attributes:
        window_started_at: steady time at which the current window began.
        requested: all requests.
        granted: requests that got a slot.
    """

    window_started_at: float
    requested: float = 0.0
    granted: float = 0.0

    def granted_fraction(self) -> float:
        """Returns the fraction of requests that got a slot, counting one additional success."""
        return min(1.0, (self.granted + 1.0) / (self.requested + 1.0))


@dataclass(slots=True)
class _Credit:
    """A flow's credit, and the steady time of its last request."""

    amount: float
    last_request_at: float

    def add(self, change: float) -> None:
        """Adds to the credit, within its bounds."""
        self.amount = min(MAX_CREDIT, max(0.0, self.amount + change))


class StarvationGuard:
    """The credits of all flows.

    Args:
        rng: random generator for the initial credit of a flow. If it were 0 at every daemon, a
            tenant with one request at each of many daemons would never be served.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._services: dict[ServiceName, _ServiceCounts] = {}
        self._credits: dict[Flow, _Credit] = {}
        """In the order of the flows' last requests, oldest first."""

    def record_request(self, flow: Flow, *, is_over_share: bool) -> bool:
        """Counts a request; returns whether it is exempted from its flow's share.

        Only a request whose flow is over its share can be exempted; this uses a credit.
        """
        counts = self._counts(flow.group.service)
        counts.requested += 1
        credit = self._touch_credit(flow)
        credit.add(MIN_RELATIVE_SERVICE * counts.granted_fraction())
        is_share_exempt = is_over_share and credit.amount >= 1.0
        if is_share_exempt:
            credit.add(-1.0)
        return is_share_exempt

    def record_slot_granted(self, flow: Flow, *, is_share_exempt: bool) -> None:
        """Counts a request that got a slot, and uses a credit unless its exemption already did."""
        self._counts(flow.group.service).granted += 1
        if not is_share_exempt and flow in self._credits:
            self._credits[flow].add(-1.0)

    def refund_credit(self, flow: Flow) -> None:
        """Refunds the credit of an exempted request that got no slot."""
        if flow in self._credits:
            self._credits[flow].add(1.0)

    def _counts(self, service: ServiceName) -> _ServiceCounts:
        """Returns the counts of a service; starts a new window if the current one is full."""
        now = self._clock.now()
        counts = self._services.setdefault(service, _ServiceCounts(now))
        if now - counts.window_started_at >= WINDOW_SECONDS:
            windows = int((now - counts.window_started_at) / WINDOW_SECONDS)
            counts.requested *= 0.5**windows
            counts.granted *= 0.5**windows
            counts.window_started_at = now
        return counts

    def _touch_credit(self, flow: Flow) -> _Credit:
        """Returns a flow's credit, moved to the end, and drops the oldest one if it expired."""
        now = self._clock.now()
        credit = self._credits.pop(flow, None) or _Credit(self._rng.random(), now)
        credit.last_request_at = now
        self._credits[flow] = credit
        oldest = next(iter(self._credits))
        if now - self._credits[oldest].last_request_at > FORGET_SECONDS:
            del self._credits[oldest]
        return credit
