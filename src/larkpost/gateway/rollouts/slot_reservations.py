"""Slots that migrating runs have reserved at faster engines, until their items run there.

However a run ends, its reservation stays here until it is taken or released, so that each slot is
released exactly once.
"""

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.model import Item, ItemId


class SlotReservations:
    """The reserved slots of one batch; an item has one at most."""

    def __init__(self, engine_selector: EngineSelector, balancer: Balancer) -> None:
        self._engine_selector = engine_selector
        self._balancer = balancer
        self._engines: dict[ItemId, InstanceInfo] = {}

    def __contains__(self, item: ItemId) -> bool:
        return item in self._engines

    def add(self, item: ItemId, engine: InstanceInfo) -> None:
        """Records that an item has a slot at an engine; it already counts as occupied."""
        self.release(item)
        self._engines[item] = engine

    def take(self, item: Item) -> InstanceInfo | None:
        """Returns the engine of an item's slot, which the caller releases; None without one.

        Releases the slot instead if the item's route no longer leads to the engine.
        """
        engine = self._engines.get(item.id)
        if engine is not None and not self._engine_selector.is_served_by(item, engine):
            self.release(item.id)
        return self._engines.pop(item.id, None)

    def release(self, item: ItemId) -> None:
        """Releases an item's slot, if it has one."""
        engine = self._engines.pop(item, None)
        if engine is not None:
            self._balancer.release(engine.id)
