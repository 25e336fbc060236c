"""Queues of client requests that found no free slot, one for each service.

`fair_order` defines the order. A request leaves its queue when its turn to try the servers comes,
or as soon as its forecast becomes infeasible.

A queue is dispatched when a request of this daemon ends at the service, and by a timer, as a daemon
is not notified when requests of other daemons end. For each kind of work, a dispatch permits as
many attempts as slots are estimated free, and at least one.

Waiting requests count towards the shares of flows only during a persistent shortage of slots.

Owns the queues; relies on `slot_counting` for the slots of a service and on `forecast`.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.fairness.share_rule import estimate_share_wait
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.fair_order import AttemptPermits, FairOrder, Rank
from larkpost.gateway.proxy.forecast import Forecast, make_forecast
from larkpost.gateway.proxy.shortage_detector import ShortageDetector
from larkpost.gateway.proxy.slot_counting import SlotCounts
from larkpost.gateway.proxy.waiter import Waiter

POLL_INTERVAL_SECONDS = 0.02
"""Interval between dispatches while servers are full."""
LARGE_SERVICE_SLOTS = 2000
"""Above this many slots a queue is dispatched less often, as each dispatch counts all of them."""
BLOCKED_LIFETIME_SECONDS = 1.0
"""How long a service counts as blocked after a request last found no free slot."""

SlotCounter = Callable[[ServiceName, Work], SlotCounts]


def poll_interval(total_slots: int) -> float:
    """Returns the seconds between two polls of a queue whose service has ``total_slots`` slots."""
    return POLL_INTERVAL_SECONDS * max(1.0, total_slots / LARGE_SERVICE_SLOTS)


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """The forecast of a new request.

    Attributes:
        must_wait: whether other requests precede it.
        is_over_share: whether its flow is over its share while others wait below theirs.
        slot_counts: the slots of its service that the forecast is based on.
    """

    forecast: Forecast
    must_wait: bool
    is_over_share: bool
    slot_counts: SlotCounts


@dataclass(slots=True)
class _Queue:
    """The requests that wait for one service; times are in steady time.

    Attributes:
        blocked_since: when a request first found no free slot after one was last seen free.
        blocked_seen_at: when a request last found no free slot.
        total_slots: slots of the service at the last poll.
    """

    waiters: list[Waiter] = field(default_factory=list)
    blocked_since: float = float("-inf")
    blocked_seen_at: float = float("-inf")
    total_slots: int = 0
    poller: asyncio.Task | None = None


class _RequestsAhead:
    """The requests that precede another one in its queue, at one moment.

    Args:
        blocked_seconds: seconds for which requests have found no free slot; 0 if none found so
            recently.
    """

    def __init__(self, now: float, blocked_seconds: float) -> None:
        self.length = 0
        self._count_by_flow: Counter[Flow] = Counter()
        self._now = now
        self._blocked_seconds = blocked_seconds

    def add(self, waiter: Waiter) -> None:
        """Appends a request."""
        self.length += 1
        self._count_by_flow[waiter.flow] += 1

    def forecast(
        self, waiter: Waiter, rank: Rank, slot_counts: SlotCounts, waiting_elsewhere: int
    ) -> Forecast:
        """Returns the forecast of a request behind these; sets its `flow_share` if over its share.

        Args:
            waiting_elsewhere: requests of its flow that precede it at other daemons.
        """
        share_wait = 0.0
        if rank.is_over_share:
            waiter.flow_share = rank.flow_share
            service_time = slot_counts.service_time or waiter.deadlines.default_service_time
            flow_ahead = self._count_by_flow[waiter.flow] + waiting_elsewhere
            share_wait = estimate_share_wait(rank.flow_share, flow_ahead, service_time)
        return make_forecast(
            slot_counts, waiter.deadlines, self._now, self.length, self._blocked_seconds, share_wait
        )


class RequestQueues:
    """The queues of all services.

    Args:
        ledger: usage by flow, from which the shares are computed.
    """

    def __init__(self, clock: Clock, count_slots: SlotCounter, ledger: FlowLedger) -> None:
        self._clock = clock
        self._count_slots = count_slots
        self._ledger = ledger
        self._shortage = ShortageDetector(clock)
        self._queues: dict[ServiceName, _Queue] = {}

    def __len__(self) -> int:
        return sum(len(queue.waiters) for queue in self._queues.values())

    def forecast(self, waiter: Waiter, slot_counts: SlotCounts | None = None) -> QueueForecast:
        """Returns the forecast of a request that is not in its queue.

        Args:
            slot_counts: the slots of its service, if they have just been counted.
        """
        now = self._clock.now()
        slot_counts = slot_counts or self._count_slots(waiter.service, waiter.work)
        queue = self._queues.get(waiter.service, _Queue())
        order = FairOrder(self._ledger, now)
        rank = order.rank(waiter, slot_counts)
        requests_ahead = _RequestsAhead(now, self._blocked_seconds(queue, now))
        for other in queue.waiters:
            if order.rank(other, slot_counts).key < rank.key:
                requests_ahead.add(other)
        waiting_elsewhere = self._waiting_elsewhere(waiter, rank)
        forecast = requests_ahead.forecast(waiter, rank, slot_counts, waiting_elsewhere)
        if forecast.is_infeasible and slot_counts.total and now < waiter.deadlines.expires_at:
            self._record_missed(waiter)
        must_wait = not slot_counts.is_mostly_free and (
            requests_ahead.length > 0 or rank.is_over_share
        )
        return QueueForecast(forecast, must_wait, rank.is_over_share, slot_counts)

    async def wait_for_turn(self, waiter: Waiter) -> Forecast:
        """Waits until a request may try the servers or its forecast becomes infeasible."""
        queue = self._queues.setdefault(waiter.service, _Queue())
        now = self._clock.now()
        if now - queue.blocked_seen_at > BLOCKED_LIFETIME_SECONDS:
            queue.blocked_since = now
        queue.blocked_seen_at = now
        forecast = self.forecast(waiter).forecast
        if forecast.is_infeasible:
            return forecast
        waiter.turn = asyncio.get_running_loop().create_future()
        queue.waiters.append(waiter)
        if queue.poller is None or queue.poller.done():
            queue.poller = asyncio.create_task(self._poll(queue))
        self._count_in_shortage(waiter)
        try:
            return await waiter.turn
        finally:
            self._stop_counting(waiter)
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def record_accepted(self, service: ServiceName) -> None:
        """Records that a server of a service accepted a request."""
        self._shortage.record_slot_granted(service)
        queue = self._queues.get(service)
        if queue is not None:
            queue.blocked_since = queue.blocked_seen_at = float("-inf")

    def record_release(self, service: ServiceName) -> None:
        """Dispatches a queue when a request of this daemon ends at its service.

        The queue of a large service waits for its next poll, as each dispatch counts all slots.
        """
        queue = self._queues.get(service)
        if queue is not None and queue.waiters and queue.total_slots <= LARGE_SERVICE_SLOTS:
            self._dispatch(queue)

    async def _poll(self, queue: _Queue) -> None:
        while queue.waiters:
            await self._clock.sleep(poll_interval(queue.total_slots))
            self._dispatch(queue)

    def _dispatch(self, queue: _Queue) -> None:
        """Wakes the requests that may try the servers now, and those that became infeasible."""
        now = self._clock.now()
        self._update_shortage(queue, now)
        counts_by_work = {
            work: self._count_slots(service, work)
            for service, work in {(waiter.service, waiter.work) for waiter in queue.waiters}
        }
        queue.total_slots = max(
            (slot_counts.total for slot_counts in counts_by_work.values()), default=0
        )
        order = FairOrder(self._ledger, now)
        permits = {
            work: AttemptPermits(slot_counts.free, now)
            for work, slot_counts in counts_by_work.items()
        }
        ranks = {
            waiter: order.rank(waiter, counts_by_work[waiter.work]) for waiter in queue.waiters
        }
        requests_ahead = _RequestsAhead(now, self._blocked_seconds(queue, now))
        for waiter in sorted(queue.waiters, key=lambda other: ranks[other].key):
            slot_counts, rank = counts_by_work[waiter.work], ranks[waiter]
            # On average, half of those that wait at other daemons precede this one.
            waiting_elsewhere = self._waiting_elsewhere(waiter, rank) // 2
            forecast = requests_ahead.forecast(waiter, rank, slot_counts, waiting_elsewhere)
            if forecast.is_infeasible:
                self._record_missed(waiter)
            else:
                requests_ahead.add(waiter)
            if forecast.is_infeasible or permits[waiter.work].claim(waiter, rank):
                queue.waiters.remove(waiter)
                if not waiter.turn.done():
                    waiter.turn.set_result(forecast)

    def _count_in_shortage(self, waiter: Waiter) -> None:
        """Enters a waiting request in the ledger once the shortage of slots is persistent."""
        if waiter.ledger_entry is None and self._shortage.is_persistent(waiter.service):
            waiter.ledger_entry = ExitStack()
            waiter.ledger_entry.enter_context(self._ledger.waiting(waiter.flow))

    def _stop_counting(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits from the ledger."""
        if waiter.ledger_entry is not None:
            waiter.ledger_entry.close()
            waiter.ledger_entry = None

    def _update_shortage(self, queue: _Queue, now: float) -> None:
        """Records requests that missed their objective; enters all in the ledger in a shortage."""
        for waiter in queue.waiters:
            if now > waiter.deadlines.objective_at:
                self._record_missed(waiter)
            self._count_in_shortage(waiter)

    def _record_missed(self, waiter: Waiter) -> None:
        """Records, once per request, that it gets no slot within its objective."""
        if waiter.missed_objective:
            return
        waiter.missed_objective = True
        self._shortage.record_missed(waiter.service)
        if self._shortage.is_persistent(waiter.service):
            self._ledger.record_shortage(waiter.service)

    def _waiting_elsewhere(self, waiter: Waiter, rank: Rank) -> int:
        """Returns how many requests of the flow wait at other daemons, as last reported."""
        if rank.flow_share is None:
            return 0
        return rank.flow_share.waiting - self._ledger.own_use(waiter.flow).waiting

    def _blocked_seconds(self, queue: _Queue, now: float) -> float:
        if now - queue.blocked_seen_at > BLOCKED_LIFETIME_SECONDS:
            return 0.0
        return now - queue.blocked_since
