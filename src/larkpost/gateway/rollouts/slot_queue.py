"""Queue of the items of one batch that wait for a slot at an engine.

Items known to be long come first, as the training step waits for them; the others follow by
descending expected work. An item that runs at a slow engine may queue for a slot at a faster one
while it continues.

`engine_selector.py` selects the engine of an item, and the balancer counts the slot. A pass over
the queue searches the engines once for each slot that it assigns, however many items wait: when a
request finds no slot, the pass skips all further requests with the same service and placement
requirements, unless they allow a higher service time.
"""

import asyncio
import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.model import Item
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.slot_reservations import SlotReservations

PASS_INTERVAL_SECONDS = 0.03
"""Interval between two passes; slots freed by other daemons' requests are found by polling."""
MAX_SLOTS_PER_PASS = 8
"""Maximum number of slots assigned before the queue yields to the event loop, so that their items
are sent before further slots are assigned."""
SLOT_TIMEOUT_SECONDS = 0.5
"""How long an item waits for a slot before its route and lifetime are checked again."""
FAST_ENGINE_TIMEOUT_SECONDS = 0.1
"""How long an item with a service time limit waits for a slot; then it accepts any engine."""


@dataclass(frozen=True, slots=True)
class _SlotRequest:
    """Request of an item for a slot.

    Attributes:
        service_time_limit: maximum seconds per event of the engine; 0 for any engine.
        slot: future whose result is the engine.
        order: sort key; the lowest is served first.
    """

    item: Item
    route: Route
    service_time_limit: float
    slot: asyncio.Future[InstanceInfo]
    order: tuple[bool, float]


@dataclass(slots=True)
class _UnavailableSlots:
    """Requirements for which one pass has found no slot.

    Attributes:
        full: services and placement requirements for which no engine has a free slot.
        slow: highest service time limit that no engine with a free slot met, by service and
            placement requirements.
    """

    full: set[tuple[ServiceName, Work]] = field(default_factory=set)
    slow: dict[tuple[ServiceName, Work], float] = field(default_factory=dict)

    def rules_out(self, requirements: tuple[ServiceName, Work], service_time_limit: float) -> bool:
        """Returns whether a request finds no slot, as one with no lower limit has found none."""
        return requirements in self.full or 0 < service_time_limit <= self.slow.get(
            requirements, 0.0
        )

    def record(self, requirements: tuple[ServiceName, Work], service_time_limit: float) -> None:
        """Records that a request has found no slot."""
        if service_time_limit:
            self.slow[requirements] = max(self.slow.get(requirements, 0.0), service_time_limit)
        else:
            self.full.add(requirements)


class SlotQueue:
    """Assigns slots at engines to the waiting items of one batch.

    Args:
        report_error: called with an unexpected error of one item's request, which stays queued.

    Attributes:
        reservations: the slots that migrating runs have reserved.
    """

    def __init__(
        self,
        engine_selector: EngineSelector,
        balancer: Balancer,
        clock: Clock,
        report_error: Callable[[Exception], None] = lambda _: None,
    ) -> None:
        self._report_error = report_error
        self._engine_selector = engine_selector
        self._balancer = balancer
        self._clock = clock
        self.reservations = SlotReservations(engine_selector, balancer)
        self._waiting: list[_SlotRequest] = []
        self._serve_task: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def acquire(
        self, progress: Progress, route: Route, service_time_limit: float = 0.0
    ) -> InstanceInfo | None:
        """Waits for a slot and returns its engine; None after a timeout.

        The slot counts as occupied once it is assigned; the caller releases it.

        Args:
            progress: of the item that requests the slot.
            service_time_limit: maximum seconds per event of the engine; 0 for any engine.
        """
        slot = self.request(progress, route, service_time_limit)
        try:
            timeout = FAST_ENGINE_TIMEOUT_SECONDS if service_time_limit else SLOT_TIMEOUT_SECONDS
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
        """Requests a slot without waiting; see `acquire`. The caller must use or cancel it."""
        slot: asyncio.Future[InstanceInfo] = asyncio.get_running_loop().create_future()
        entry = _SlotRequest(progress.item, route, service_time_limit, slot, queue_order(progress))
        bisect.insort(self._waiting, entry, key=lambda waiting: waiting.order)
        if self._serve_task is None or self._serve_task.done():
            self._serve_task = asyncio.create_task(self._serve())
        return slot

    def cancel(self, slot: asyncio.Future[InstanceInfo]) -> None:
        """Cancels a request, and releases the slot if one was assigned meanwhile."""
        if slot.done():
            self._balancer.release(slot.result().id)
            return
        self._waiting = [entry for entry in self._waiting if entry.slot is not slot]

    def stop(self) -> None:
        """Stops assigning slots."""
        if self._serve_task is not None:
            self._serve_task.cancel()

    async def _serve(self) -> None:
        while self._waiting:
            while self._run_pass() == MAX_SLOTS_PER_PASS:
                await self._clock.sleep(0)
            await self._clock.sleep(PASS_INTERVAL_SECONDS)

    def _run_pass(self) -> int:
        """Assigns up to `MAX_SLOTS_PER_PASS` slots in queue order and returns their number."""
        unavailable = _UnavailableSlots()
        remaining: list[_SlotRequest] = []
        assigned = 0
        for entry in self._waiting:
            if assigned < MAX_SLOTS_PER_PASS and self._try_assign(entry, unavailable):
                assigned += 1
            else:
                remaining.append(entry)
        self._waiting = remaining
        return assigned

    def _try_assign(self, entry: _SlotRequest, unavailable: _UnavailableSlots) -> bool:
        """Assigns a slot to a request; an error of one request must not hold up the others."""
        try:
            return self._assign(entry, unavailable)
        except Exception as error:
            self._report_error(error)
            return False

    def _assign(self, entry: _SlotRequest, unavailable: _UnavailableSlots) -> bool:
        """Assigns a slot to a request and returns whether there was one."""
        service = self._engine_selector.item_work.service_of(entry.item, entry.route)
        if service is None:
            return False
        work = self._engine_selector.item_work.work_of(entry.item)
        requirements = (service, work)
        if unavailable.rules_out(requirements, entry.service_time_limit):
            return False
        engine = self._engine_selector.choose(service, entry.service_time_limit, work)
        if engine is None:
            unavailable.record(requirements, entry.service_time_limit)
            return False
        self._engine_selector.record_assigned(engine, work)
        self._balancer.occupy(engine.id)
        entry.slot.set_result(engine)
        return True


def queue_order(progress: Progress) -> tuple[bool, float]:
    """Returns the sort key of an item in the queue; the lowest is served first."""
    return (
        not progress.is_long,  # the training step waits for long items
        -progress.item.expected_work,  # in tokens; the longest items start first
    )
