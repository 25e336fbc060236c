"""Client requests that found no place, in one queue for each service.

The more urgent kind comes first; among equals those that can still be in time, then those whose
time ends first. A request is called when its turn has come to try the servers, or at once if its
forecast has turned hopeless.

A queue moves when a request of this daemon ends at the service, and by a timer, as the requests of
others end without notice. Then one request tries, or as many as there are places believed free.

Owns the queues; relies on a survey for the places of a service and on `forecast` for the rules.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.forecast import Forecast, Limits, is_late_anyway, make_forecast
from larkpost.gateway.proxy.places import Places

POLL_INTERVAL_SECONDS = 0.02
"""Between two tries at servers that were full: a tenth of the shortest objectives, and less than
what requests take there."""
PLACES_PER_POLL = 2000
"""Beyond so many places of a service its queue is polled less often: each poll counts them all."""
BLOCKED_MEMORY_SECONDS = 1.0
"""How long it is believed, without a further attempt, that no place comes free."""

Survey = Callable[[ServiceName, Work], Places]


def poll_interval(places: int) -> float:
    """Returns the seconds between two polls of the queue of a service with so many places."""
    return POLL_INTERVAL_SECONDS * max(1.0, places / PLACES_PER_POLL)


@dataclass(eq=False, slots=True)
class Waiter:
    """One request that wants a place; it may come back into its queue.

    Attributes:
        priority: 0 is the most urgent.
        since: steady time at which the request was received.
        call: resolved with the forecast when its turn has come, or when it is hopeless.
    """

    service: ServiceName
    work: Work
    priority: int
    limits: Limits
    since: float
    call: asyncio.Future[Forecast] | None = None


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
    places: int = 0
    poller: asyncio.Task | None = None


class RequestQueues:
    """The queues of all services."""

    def __init__(self, clock: Clock, survey: Survey) -> None:
        self._clock = clock
        self._survey = survey
        self._queues: dict[ServiceName, _Queue] = {}

    def __len__(self) -> int:
        return sum(len(queue.waiters) for queue in self._queues.values())

    def forecast(self, waiter: Waiter) -> tuple[Forecast, bool]:
        """Returns the forecast of a request, and whether others come before it."""
        now = self._clock.now()
        places = self._survey(waiter.service, waiter.work)
        queue = self._queues.get(waiter.service)
        if queue is None:
            return make_forecast(places, waiter.limits, now), False
        key = self._rank(waiter, places, now)
        ahead = sum(self._rank(other, places, now) < key for other in queue.waiters)
        forecast = make_forecast(places, waiter.limits, now, ahead, self._blocked_for(queue, now))
        return forecast, ahead > 0 and not places.are_mostly_free

    async def wait_for_turn(self, waiter: Waiter) -> Forecast:
        """Waits until a request may try the servers, or is hopeless."""
        queue = self._queues.setdefault(waiter.service, _Queue())
        now = self._clock.now()
        if now - queue.seen_at > BLOCKED_MEMORY_SECONDS:
            queue.blocked_since = now
        queue.seen_at = now
        forecast, _ = self.forecast(waiter)
        if forecast.is_hopeless:
            return forecast
        waiter.call = asyncio.get_running_loop().create_future()
        queue.waiters.append(waiter)
        if queue.poller is None or queue.poller.done():
            queue.poller = asyncio.create_task(self._poll(queue))
        try:
            return await waiter.call
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def record_taken(self, service: ServiceName) -> None:
        """Records that a server of a service had a place."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.blocked_since = queue.seen_at = float("-inf")

    def record_end(self, service: ServiceName) -> None:
        """Records that a request of this daemon has ended at a service.

        The queue of a large service waits for its next poll: each poll counts all places.
        """
        queue = self._queues.get(service)
        if queue is not None and queue.waiters and queue.places <= PLACES_PER_POLL:
            self._move(queue)

    async def _poll(self, queue: _Queue) -> None:
        while queue.waiters:
            await self._clock.sleep(poll_interval(queue.places))
            self._move(queue)

    def _move(self, queue: _Queue) -> None:
        """Calls those whose turn it is, and those that have become hopeless."""
        now = self._clock.now()
        surveys = {
            work: self._survey(service, work)
            for service, work in {(waiter.service, waiter.work) for waiter in queue.waiters}
        }
        queue.places = max((places.total for places in surveys.values()), default=0)
        turns = {work: max(1, places.free) for work, places in surveys.items()}
        order = sorted(queue.waiters, key=lambda other: self._rank(other, surveys[other.work], now))
        ahead = 0
        for waiter in order:
            places = surveys[waiter.work]
            forecast = make_forecast(
                places, waiter.limits, now, ahead, self._blocked_for(queue, now)
            )
            ahead += not forecast.is_hopeless
            if forecast.is_hopeless or turns[waiter.work] > 0:
                turns[waiter.work] -= not forecast.is_hopeless
                queue.waiters.remove(waiter)
                if not waiter.call.done():
                    waiter.call.set_result(forecast)

    def _blocked_for(self, queue: _Queue, now: float) -> float:
        if now - queue.seen_at > BLOCKED_MEMORY_SECONDS:
            return 0.0
        return now - queue.blocked_since

    def _rank(self, waiter: Waiter, places: Places, now: float) -> tuple[int, bool, float, float]:
        """Returns where a request stands in its queue; the lowest comes first."""
        return (
            waiter.priority,
            is_late_anyway(places, waiter.limits, now),
            waiter.limits.end_at,
            waiter.since,
        )
