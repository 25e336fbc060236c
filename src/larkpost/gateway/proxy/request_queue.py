"""Client requests that found no place, in one queue for each service.

`fair_order` says who comes first. A request is called when its turn has come to try the servers, or
at once if its forecast has turned hopeless.

A queue moves when a request of this daemon ends at the service, and by a timer, as the requests of
others end without notice. Then one request tries, or as many as there are places believed free.

A request counts for the shares of tenants only while its service's shortage lasts.

Owns the queues; relies on a survey for the places of a service and on `forecast` for the rules.
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
"""Between two tries at servers that were full: a tenth of the shortest objectives, and less than
what requests take there."""
SLOTS_PER_POLL = 2000
"""Beyond so many places of a service its queue is polled less often: each poll counts them all."""
BLOCKED_LIFETIME_SECONDS = 1.0
"""How long it is believed, without a further attempt, that no place comes free."""

Survey = Callable[[ServiceName, Work], SlotCounts]


def poll_interval(slot_counts: int) -> float:
    """Returns the seconds between two polls of the queue of a service with so many places."""
    return POLL_INTERVAL_SECONDS * max(1.0, slot_counts / SLOTS_PER_POLL)


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """What a request that has just come may expect.

    Attributes:
        must_wait: whether others come before it.
        is_over: whether it is beyond its flow's share, and others wait below theirs.
        places: those of its service that the forecast is made from.
    """

    forecast: Forecast
    must_wait: bool
    is_over_share: bool
    slot_counts: SlotCounts


@dataclass(slots=True)
class _Queue:
    """The requests that wait for one service; times are steady.

    Attributes:
        blocked_since: when a request first found no place, since one was last seen to be free.
        seen_at: when that was last found to be so.
        places: of the service, at the last poll.
    """

    waiters: list[Waiter] = field(default_factory=list)
    blocked_since: float = float("-inf")
    seen_at: float = float("-inf")
    slot_counts: int = 0
    poller: asyncio.Task | None = None


class _Line:
    """Those that come before a request at one moment.

    Args:
        blocked_for: seconds for which no place was seen to come free.
    """

    def __init__(self, now: float, blocked_seconds: float) -> None:
        self.length = 0
        self._of_flow: Counter[Flow] = Counter()
        self._now = now
        self._blocked_for = blocked_seconds

    def add(self, waiter: Waiter) -> None:
        """Adds a request at the end."""
        self.length += 1
        self._of_flow[waiter.flow] += 1

    def forecast(
        self, waiter: Waiter, rank: Rank, slot_counts: SlotCounts, waiting_elsewhere: int
    ) -> Forecast:
        """Returns the forecast of a request at the end; it remembers where its flow stands.

        Args:
            elsewhere: requests of its flow that come before it at other daemons.
        """
        share_wait = 0.0
        if rank.is_over_share:
            waiter.flow_share = rank.flow_share
            service_time = slot_counts.service_time or waiter.deadlines.default_service_time
            of_flow = self._of_flow[waiter.flow] + waiting_elsewhere
            share_wait = estimate_share_wait(rank.flow_share, of_flow, service_time)
        return make_forecast(
            slot_counts, waiter.deadlines, self._now, self.length, self._blocked_for, share_wait
        )


class RequestQueues:
    """The queues of all services.

    Args:
        ledger: use by flow, which shares are worked out from.
    """

    def __init__(self, clock: Clock, count_slots: Survey, ledger: FlowLedger) -> None:
        self._clock = clock
        self._survey = count_slots
        self._ledger = ledger
        self._shortage = ShortageDetector(clock)
        self._queues: dict[ServiceName, _Queue] = {}

    def __len__(self) -> int:
        return sum(len(queue.waiters) for queue in self._queues.values())

    def forecast(self, waiter: Waiter, slot_counts: SlotCounts | None = None) -> QueueForecast:
        """Returns what a request may expect that is not in its queue.

        Args:
            places: those of its service, if they were counted at this moment.
        """
        now = self._clock.now()
        slot_counts = slot_counts or self._survey(waiter.service, waiter.work)
        queue = self._queues.get(waiter.service, _Queue())
        order = FairOrder(self._ledger, now)
        rank = order.rank(waiter, slot_counts)
        line = _Line(now, self._blocked_for(queue, now))
        for other in queue.waiters:
            if order.rank(other, slot_counts).key < rank.key:
                line.add(other)
        waiting_elsewhere = self._waiting_elsewhere(waiter, rank)
        forecast = line.forecast(waiter, rank, slot_counts, waiting_elsewhere)
        if forecast.is_infeasible and slot_counts.total and now < waiter.deadlines.expires_at:
            self._record_missed(waiter)
        must_wait = not slot_counts.is_mostly_free and (line.length > 0 or rank.is_over_share)
        return QueueForecast(forecast, must_wait, rank.is_over_share, slot_counts)

    async def wait_for_turn(self, waiter: Waiter) -> Forecast:
        """Waits until a request may try the servers, or is hopeless."""
        queue = self._queues.setdefault(waiter.service, _Queue())
        now = self._clock.now()
        if now - queue.seen_at > BLOCKED_LIFETIME_SECONDS:
            queue.blocked_since = now
        queue.seen_at = now
        forecast = self.forecast(waiter).forecast
        if forecast.is_infeasible:
            return forecast
        waiter.turn = asyncio.get_running_loop().create_future()
        queue.waiters.append(waiter)
        if queue.poller is None or queue.poller.done():
            queue.poller = asyncio.create_task(self._poll(queue))
        self._count_if_short(waiter)
        try:
            return await waiter.turn
        finally:
            self._end_count(waiter)
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def record_slot_found(self, service: ServiceName) -> None:
        """Records that a server of a service had a place."""
        self._shortage.record_slot_granted(service)
        queue = self._queues.get(service)
        if queue is not None:
            queue.blocked_since = queue.seen_at = float("-inf")

    def record_release(self, service: ServiceName) -> None:
        """Records that a request of this daemon has ended at a service.

        The queue of a large service waits for its next poll: each poll counts all places.
        """
        queue = self._queues.get(service)
        if queue is not None and queue.waiters and queue.slot_counts <= SLOTS_PER_POLL:
            self._move(queue)

    async def _poll(self, queue: _Queue) -> None:
        while queue.waiters:
            await self._clock.sleep(poll_interval(queue.slot_counts))
            self._move(queue)

    def _move(self, queue: _Queue) -> None:
        """Calls those whose turn it is, and those that have become hopeless."""
        now = self._clock.now()
        self._update_shortage(queue, now)
        surveys = {
            work: self._survey(service, work)
            for service, work in {(waiter.service, waiter.work) for waiter in queue.waiters}
        }
        queue.slot_counts = max((slot_counts.total for slot_counts in surveys.values()), default=0)
        order = FairOrder(self._ledger, now)
        turns = {
            work: AttemptPermits(slot_counts.free, now) for work, slot_counts in surveys.items()
        }
        ranks = {waiter: order.rank(waiter, surveys[waiter.work]) for waiter in queue.waiters}
        line = _Line(now, self._blocked_for(queue, now))
        for waiter in sorted(queue.waiters, key=lambda other: ranks[other].key):
            slot_counts, rank = surveys[waiter.work], ranks[waiter]
            # Of those that wait at other daemons, half came before this one on the average.
            waiting_elsewhere = self._waiting_elsewhere(waiter, rank) // 2
            forecast = line.forecast(waiter, rank, slot_counts, waiting_elsewhere)
            if forecast.is_infeasible:
                self._record_missed(waiter)
            else:
                line.add(waiter)
            if forecast.is_infeasible or turns[waiter.work].claim(waiter, rank):
                queue.waiters.remove(waiter)
                if not waiter.turn.done():
                    waiter.turn.set_result(forecast)

    def _count_if_short(self, waiter: Waiter) -> None:
        """Counts a waiting request for the shares once its service's places do not suffice."""
        if waiter.share_count is None and self._shortage.is_persistent(waiter.service):
            waiter.share_count = ExitStack()
            waiter.share_count.enter_context(self._ledger.waiting(waiter.flow))

    def _end_count(self, waiter: Waiter) -> None:
        """Ends the count of a request that waits no longer."""
        if waiter.share_count is not None:
            waiter.share_count.close()
            waiter.share_count = None

    def _update_shortage(self, queue: _Queue, now: float) -> None:
        """Records those whose objective is over, and counts those that wait in a shortage."""
        for waiter in queue.waiters:
            if now > waiter.deadlines.objective_at:
                self._record_missed(waiter)
            self._count_if_short(waiter)

    def _record_missed(self, waiter: Waiter) -> None:
        """Records, once, that a request finds no place in its time."""
        if waiter.missed_objective:
            return
        waiter.missed_objective = True
        self._shortage.record_missed(waiter.service)
        if self._shortage.is_persistent(waiter.service):
            self._ledger.record_shortage(waiter.service)

    def _waiting_elsewhere(self, waiter: Waiter, rank: Rank) -> int:
        """Returns the requests of the same flow that are known to wait at other daemons."""
        if rank.flow_share is None:
            return 0
        return rank.flow_share.waiting - self._ledger.own_use(waiter.flow).waiting

    def _blocked_for(self, queue: _Queue, now: float) -> float:
        if now - queue.seen_at > BLOCKED_LIFETIME_SECONDS:
            return 0.0
        return now - queue.blocked_since
