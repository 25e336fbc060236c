"""A run's request for a place at a faster engine, made while the run goes on where it is.

Owns the request of one run. `engine_rules.py` says whether the run is worth moving, and
`place_queue.py` assigns the place. No run leaves its engine for another one without a place there.
"""

import asyncio

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.slot_queue import SlotQueue


class MigrateRunError(Exception):
    """The run is to go on at a faster engine.

    Attributes:
        engine: where a place was taken for it.
    """

    def __init__(self, engine: InstanceInfo) -> None:
        super().__init__("a faster engine has a place")
        self.engine = engine


class FasterEngineRequest:
    """The request of a run at a slow engine for a place at a fast one."""

    def __init__(
        self, slot_queue: SlotQueue, engine_selector: EngineSelector, run: ItemRun
    ) -> None:
        self._slot_queue = slot_queue
        self._engine_selector = engine_selector
        self._run = run
        self._slot: asyncio.Future[InstanceInfo] | None = None

    def request_if_slow(self) -> None:
        """Requests a place if the engine is so slow for good that the run is worth moving."""
        if self._slot is not None:
            return
        run = self._run
        service_time = self._engine_selector.target_service_time(run)
        if service_time:
            self._slot = self._slot_queue.request(run.progress, run.route, service_time)

    def raise_if_assigned(self) -> None:
        """Ends the run once it has a place; a place that may be used no longer is given back.

        Raises:
            MoveAwayError: there is a place, which is the caller's from now on.
        """
        if self._slot is None or not self._slot.done():
            return
        engine = self._slot.result()
        if not self._engine_selector.may_migrate_to(engine, self._run):
            self.cancel()
            return
        self._slot = None
        raise MigrateRunError(engine)

    def cancel(self) -> None:
        """Cancels the request, if there is one."""
        if self._slot is not None:
            self._slot_queue.cancel(self._slot)
            self._slot = None
