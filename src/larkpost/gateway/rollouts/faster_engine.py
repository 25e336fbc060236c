"""Migration of a run to a faster engine.

The run requests a slot and continues where it is until the slot is assigned. `engine_rules.py`
decides whether migrating is worthwhile, and `slot_queue.py` assigns the slot. A run never leaves
its engine without a slot at the other one.
"""

import asyncio

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.slot_queue import SlotQueue


class MigrateRunError(Exception):
    """Ends a run that continues at a faster engine.

    Attributes:
        engine: the engine where a slot is reserved for the item.
    """

    def __init__(self, engine: InstanceInfo) -> None:
        super().__init__("a faster engine has a free slot")
        self.engine = engine


class FasterEngineRequest:
    """Request of a run at a slow engine for a slot at a faster one."""

    def __init__(
        self, slot_queue: SlotQueue, engine_selector: EngineSelector, run: ItemRun
    ) -> None:
        self._slot_queue = slot_queue
        self._engine_selector = engine_selector
        self._run = run
        self._slot: asyncio.Future[InstanceInfo] | None = None

    def request_if_slow(self) -> None:
        """Requests a slot if the engine is so slow that migrating is worthwhile."""
        if self._slot is not None:
            return
        run = self._run
        service_time = self._engine_selector.target_service_time(run)
        if service_time:
            self._slot = self._slot_queue.request(run.progress, run.route, service_time)

    def raise_if_assigned(self) -> None:
        """Ends the run if a slot was assigned; releases the slot if it is no longer usable.

        Raises:
            MigrateRunError: a slot was assigned, and is reserved for the item from now on.
        """
        if self._slot is None or not self._slot.done():
            return
        engine = self._slot.result()
        selector, run = self._engine_selector, self._run
        if not (selector.is_served_by(run.item, engine) and selector.may_migrate_to(engine, run)):
            self.cancel()
            return
        self._slot = None
        self._slot_queue.reservations.add(run.item.id, engine)
        raise MigrateRunError(engine)

    def cancel(self) -> None:
        """Cancels the request, if there is one."""
        if self._slot is not None:
            self._slot_queue.cancel(self._slot)
            self._slot = None
