"""The items of one batch that wait for a place at an engine: which item is served next.

Items that have shown themselves long come before all others, as a step waits for them; then the
items come by falling expected work. An item that runs at a slow engine may request a place at a
fast one too, and goes on meanwhile.

The module owns the queue; `engine_choice.py` says which engine an item gets, and the balancer
counts the place. One pass over the queue checks the engines once for each item that it serves,
however many wait: the first item of a service that finds no place ends the pass for all items of
that service and those regions.
"""

import asyncio
import bisect
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.model import Item
from larkpost.gateway.rollouts.progress import Progress

PASS_INTERVAL_SECONDS = 0.03
"""Pause between two passes: places free up without notice when other daemons' requests end. About
the time that one event takes."""
MAX_SLOTS_PER_PASS = 8
"""Places assigned before the loop turns: what is placed first, the longest items, is sent first."""
TIMEOUT_SECONDS = 0.5
"""How long an item waits before its route and its time are checked again."""
FAST_ENGINE_TIMEOUT_SECONDS = 0.1
"""The same for an item that wants a fast engine; after that it takes any. Some three passes."""


@dataclass(frozen=True, slots=True)
class _SlotRequest:
    """An item in the queue; ``place`` gets its engine as result.

    Attributes:
        pace_limit: the engine must be about as fast as this, in seconds for an event; 0 for any.
        order: the lowest is served first.
    """

    item: Item
    route: Route
    service_time_limit: float
    slot: asyncio.Future[InstanceInfo]
    order: tuple[bool, float]


@dataclass(slots=True)
class _UnavailableSlots:
    """What one pass has learnt of places that there are not.

    Attributes:
        full: services, and what is asked of their engines, without any place.
        slow: the greatest pace limit that no engine with a place has met.
    """

    full: set[tuple[ServiceName, Work]] = field(default_factory=set)
    slow: dict[tuple[ServiceName, Work], float] = field(default_factory=dict)

    def rules_out(self, wanted: tuple[ServiceName, Work], service_time_limit: float) -> bool:
        """Returns whether a request needs no check, as one easier to serve has found no place."""
        return wanted in self.full or 0 < service_time_limit <= self.slow.get(wanted, 0.0)

    def record(self, wanted: tuple[ServiceName, Work], service_time_limit: float) -> None:
        """Records that a request has found no place."""
        if service_time_limit:
            self.slow[wanted] = max(self.slow.get(wanted, 0.0), service_time_limit)
        else:
            self.full.add(wanted)


class SlotQueue:
    """Gives waiting items places at engines."""

    def __init__(self, engine_selector: EngineSelector, balancer: Balancer, clock: Clock) -> None:
        self._engine_selector = engine_selector
        self._balancer = balancer
        self._clock = clock
        self._waiting: list[_SlotRequest] = []
        self._serve_task: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def acquire(
        self, progress: Progress, route: Route, service_time_limit: float = 0.0
    ) -> InstanceInfo | None:
        """Waits for a place; None if there was none for a while.

        The place counts as occupied from its assignment on; the caller releases it.

        Args:
            progress: of the item that wants the place.
            pace_limit: how fast the engine must be, in seconds for an event; 0 for any.
        """
        slot = self.request(progress, route, service_time_limit)
        try:
            timeout = FAST_ENGINE_TIMEOUT_SECONDS if service_time_limit else TIMEOUT_SECONDS
            await asyncio.wait({slot}, timeout=timeout)
        except asyncio.CancelledError:
            self.cancel(slot)
            raise
        if slot.done():
            return slot.result()
        self.cancel(slot)
        return None

    def request(
        self, progress: Progress, route: Route, service_time_limit: float = 0.0
    ) -> asyncio.Future[InstanceInfo]:
        """Requests a place without waiting; see `take`. It must be used, or cancelled."""
        slot: asyncio.Future[InstanceInfo] = asyncio.get_running_loop().create_future()
        entry = _SlotRequest(progress.item, route, service_time_limit, slot, queue_order(progress))
        bisect.insort(self._waiting, entry, key=lambda waiting: waiting.order)
        if self._serve_task is None or self._serve_task.done():
            self._serve_task = asyncio.create_task(self._serve())
        return slot

    def cancel(self, slot: asyncio.Future[InstanceInfo]) -> None:
        """Cancels a request; a place that was assigned meanwhile is free again."""
        if slot.done():
            self._balancer.release(slot.result().id)
            return
        self._waiting = [entry for entry in self._waiting if entry.slot is not slot]

    def stop(self) -> None:
        """Stops serving."""
        if self._serve_task is not None:
            self._serve_task.cancel()

    async def _serve(self) -> None:
        while self._waiting:
            while self._pass() == MAX_SLOTS_PER_PASS:
                await self._clock.sleep(0)
            await self._clock.sleep(PASS_INTERVAL_SECONDS)

    def _pass(self) -> int:
        """Assigns at most `PLACES_AT_ONCE` places, the longest items first, and counts them."""
        unavailable = _UnavailableSlots()
        left: list[_SlotRequest] = []
        assigned = 0
        for entry in self._waiting:
            if assigned < MAX_SLOTS_PER_PASS and self._assign(entry, unavailable):
                assigned += 1
            else:
                left.append(entry)
        self._waiting = left
        return assigned

    def _assign(self, entry: _SlotRequest, unavailable: _UnavailableSlots) -> bool:
        """Gives an item a place if there is one, and returns whether there is."""
        service = self._engine_selector.items.service_of(entry.item, entry.route)
        if service is None:
            return False
        work = self._engine_selector.items.work_of(entry.item)
        wanted = (service, work)
        if unavailable.rules_out(wanted, entry.service_time_limit):
            return False
        engine = self._engine_selector.choose(service, entry.service_time_limit, work)
        if engine is None:
            unavailable.record(wanted, entry.service_time_limit)
            return False
        self._balancer.occupy(engine.id)
        self._engine_selector.record_assigned(engine)
        entry.slot.set_result(engine)
        return True


def queue_order(progress: Progress) -> tuple[bool, float]:
    """Returns an item's rank in the queue, by these criteria; the lowest is served first."""
    return (
        not progress.is_long,  # a step waits for items that have shown themselves long
        -progress.item.expected_work,  # tokens; what takes longest begins first
    )
