"""Client requests that found no place, in one line for each service.

The more urgent kind comes first; among equals those that can still be in time, then those whose
time ends first. A request is called when its turn has come to try the servers. It is told at once
if its forecast has turned hopeless.

A line moves when a request of this daemon ends at the service, and by a timer, as the requests of
others end without notice. Then one request tries, or as many as there are places believed free.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.forecast import Forecast, Limits, Places, foresee, is_late_anyway

LOOK_INTERVAL_SECONDS = 0.02
"""Between two tries at servers that were full: a tenth of the shortest objectives, and less than
what requests take there."""
PLACES_PER_LOOK = 2000
"""Beyond so many places of a service its line is looked at less often, as a look counts them all:
17.6 ms of processor time for 3,200 servers of 8 slots, then every 256 ms."""
BLOCKED_MEMORY_SECONDS = 1.0
"""How long it is believed, without a further try, that no place comes free."""

Survey = Callable[[ServiceName, Work], Places]


def look_interval(places: int) -> float:
    """Returns the seconds between two looks at the line of a service with so many places."""
    return LOOK_INTERVAL_SECONDS * max(1.0, places / PLACES_PER_LOOK)


@dataclass(eq=False, slots=True)
class Waiter:
    """One request that wants a place; it may come back into its line.

    Attributes:
        priority: 0 is the most urgent.
        since: steady time at which the request was received.
        call: answered with the forecast when its turn has come, or when it is hopeless.
    """

    service: ServiceName
    work: Work
    priority: int
    limits: Limits
    since: float
    call: asyncio.Future[Forecast] | None = None


@dataclass(slots=True)
class _Line:
    """The requests that wait for one service.

    Attributes:
        blocked_since: when a request first found no place, since one was last seen to be free.
        seen_at: when that was last found to be so.
        places: of the service, at the last look.
    """

    waiters: list[Waiter] = field(default_factory=list)
    blocked_since: float = float("-inf")
    seen_at: float = float("-inf")
    places: int = 0
    watch: asyncio.Task | None = None


class WaitingLines:
    """The lines of all services."""

    def __init__(self, clock: Clock, survey: Survey) -> None:
        self._clock = clock
        self._survey = survey
        self._lines: dict[ServiceName, _Line] = {}

    def __len__(self) -> int:
        return sum(len(line.waiters) for line in self._lines.values())

    def foresee(self, waiter: Waiter) -> tuple[Forecast, bool]:
        """Foresees a request that has just come, and tells whether others come before it."""
        now = self._clock.now()
        places = self._survey(waiter.service, waiter.work)
        line = self._lines.get(waiter.service)
        if line is None:
            return foresee(places, waiter.limits, now), False
        key = self._rank(waiter, places, now)
        ahead = sum(self._rank(other, places, now) < key for other in line.waiters)
        forecast = foresee(places, waiter.limits, now, ahead, self._blocked_for(line, now))
        return forecast, ahead > 0 and not places.are_mostly_free

    async def turn(self, waiter: Waiter) -> Forecast:
        """Waits until a request may try the servers, or is hopeless."""
        line = self._lines.setdefault(waiter.service, _Line())
        now = self._clock.now()
        if now - line.seen_at > BLOCKED_MEMORY_SECONDS:
            line.blocked_since = now
        line.seen_at = now
        forecast, _ = self.foresee(waiter)
        if forecast.is_hopeless:
            return forecast
        waiter.call = asyncio.get_running_loop().create_future()
        line.waiters.append(waiter)
        if line.watch is None or line.watch.done():
            line.watch = asyncio.create_task(self._watch(line))
        try:
            return await waiter.call
        finally:
            if waiter in line.waiters:
                line.waiters.remove(waiter)

    def record_taken(self, service: ServiceName) -> None:
        """Takes that a server of a service had a place."""
        line = self._lines.get(service)
        if line is not None:
            line.blocked_since = line.seen_at = float("-inf")

    def record_end(self, service: ServiceName) -> None:
        """Takes that a request of this daemon has ended at a service.

        The line of a large service waits for its next look: each look counts all places.
        """
        line = self._lines.get(service)
        if line is not None and line.waiters and line.places <= PLACES_PER_LOOK:
            self._move(line)

    async def _watch(self, line: _Line) -> None:
        while line.waiters:
            await self._clock.sleep(look_interval(line.places))
            self._move(line)

    def _move(self, line: _Line) -> None:
        """Calls those whose turn it is, and those that have become hopeless."""
        now = self._clock.now()
        surveys = {
            work: self._survey(service, work)
            for service, work in {(waiter.service, waiter.work) for waiter in line.waiters}
        }
        line.places = max((places.total for places in surveys.values()), default=0)
        turns = {work: max(1, places.free) for work, places in surveys.items()}
        order = sorted(line.waiters, key=lambda other: self._rank(other, surveys[other.work], now))
        ahead = 0
        for waiter in order:
            places = surveys[waiter.work]
            forecast = foresee(places, waiter.limits, now, ahead, self._blocked_for(line, now))
            ahead += not forecast.is_hopeless
            if forecast.is_hopeless or turns[waiter.work] > 0:
                turns[waiter.work] -= not forecast.is_hopeless
                line.waiters.remove(waiter)
                if not waiter.call.done():
                    waiter.call.set_result(forecast)

    def _blocked_for(self, line: _Line, now: float) -> float:
        if now - line.seen_at > BLOCKED_MEMORY_SECONDS:
            return 0.0
        return now - line.blocked_since

    def _rank(self, waiter: Waiter, places: Places, now: float) -> tuple[int, bool, float, float]:
        late = is_late_anyway(places, waiter.limits, now)
        return waiter.priority, late, waiter.limits.end_at, waiter.since
