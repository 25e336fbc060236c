"""The items of one batch that wait for a place at an engine, served longest first.

Items that have shown themselves long come before all others: a step waits for them. One that runs
at a slow engine may wish for a place at a fast one, and goes on meanwhile.

One pass looks at the engines once for each item that it serves, however many wait: the first item
of a service that finds no place ends the pass for all items of that service and those regions.
"""

import asyncio
import bisect
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.engine_choice import EngineChoice
from larkpost.gateway.rollouts.model import Item

PASS_INTERVAL_SECONDS = 0.03
"""Places free up without notice when other daemons' requests end, so they are looked for."""
PLACES_AT_ONCE = 8
"""Places given before the loop turns: what is placed first, the longest items, is sent first."""
PATIENCE_SECONDS = 0.5
"""How long an item waits before its route and its time are looked at again."""
LIMITED_PATIENCE_SECONDS = 0.1
"""The same for an item that wants a fast engine; after that it takes any."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An item in the queue; ``place`` is answered with its engine.

    Attributes:
        pace_limit: the engine must be about as fast as this; 0 for any.
        order: the lowest is served first.
    """

    item: Item
    route: Route
    pace_limit: float
    place: asyncio.Future[InstanceInfo]
    order: tuple[bool, float]


class PlaceQueue:
    """Gives waiting items places at engines."""

    def __init__(self, engines: EngineChoice, balancer: Balancer, clock: Clock) -> None:
        self._engines = engines
        self._balancer = balancer
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._server: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def take(
        self, progress: Progress, route: Route, pace_limit: float = 0.0
    ) -> InstanceInfo | None:
        """Waits for a place; None if there was none for a while.

        The place counts as occupied from its assignment on; the caller releases it.

        Args:
            progress: of the item that wants the place.
            pace_limit: how fast the engine must be, in seconds for an event; 0 for any.
        """
        place = self.wish(progress, route, pace_limit)
        try:
            patience = LIMITED_PATIENCE_SECONDS if pace_limit else PATIENCE_SECONDS
            await asyncio.wait({place}, timeout=patience)
        except asyncio.CancelledError:
            self.withdraw(place)
            raise
        if place.done():
            return place.result()
        self.withdraw(place)
        return None

    def wish(
        self, progress: Progress, route: Route, pace_limit: float = 0.0
    ) -> asyncio.Future[InstanceInfo]:
        """Asks for a place without waiting; see `take`. It must be used, or withdrawn from."""
        place: asyncio.Future[InstanceInfo] = asyncio.get_running_loop().create_future()
        entry = _Waiting(progress.item, route, pace_limit, place, _order(progress))
        bisect.insort(self._waiting, entry, key=lambda waiting: waiting.order)
        if self._server is None or self._server.done():
            self._server = asyncio.create_task(self._serve())
        return place

    def withdraw(self, place: asyncio.Future[InstanceInfo]) -> None:
        """Gives up a wish; a place that was given meanwhile is free again."""
        if place.done():
            self._balancer.release(place.result().id)
            return
        self._waiting = [entry for entry in self._waiting if entry.place is not place]

    def cancel(self) -> None:
        """Stops serving."""
        if self._server is not None:
            self._server.cancel()

    async def _serve(self) -> None:
        while self._waiting:
            while self._pass() == PLACES_AT_ONCE:
                await self._clock.sleep(0)
            await self._clock.sleep(PASS_INTERVAL_SECONDS)

    def _pass(self) -> int:
        """Gives some places to the longest items, as long as there are any, and counts them."""
        full: set[tuple[ServiceName, Work]] = set()
        no_place_below: dict[tuple[ServiceName, Work], float] = {}
        left: list[_Waiting] = []
        given = 0
        for entry in self._waiting:
            if given == PLACES_AT_ONCE:
                left.append(entry)
                continue
            service = self._engines.service_of(entry.item, entry.route)
            if service is None:
                left.append(entry)
                continue
            wanted = (service, self._engines.work_of(entry.item))
            engine = None
            is_too_fast = 0 < entry.pace_limit <= no_place_below.get(wanted, 0.0)
            if wanted not in full and not is_too_fast:
                engine = self._engines.choose(service, entry.pace_limit, wanted[1])
            if engine is None:
                if entry.pace_limit:
                    known = no_place_below.get(wanted, 0.0)
                    no_place_below[wanted] = max(known, entry.pace_limit)
                else:
                    full.add(wanted)
                left.append(entry)
                continue
            self._balancer.occupy(engine.id)
            self._engines.record_given(engine)
            entry.place.set_result(engine)
            given += 1
        self._waiting = left
        return given


def _order(progress: Progress) -> tuple[bool, float]:
    """Returns an item's place in the queue: the lowest is served first."""
    return not progress.is_long, -progress.item.expected_work
