"""Finds the engines that fit an item of a batch, and applies the rules of the choice to them.

Items come longest first, so that the longest ones get the fastest engines. The module owns what is
known of one batch: when it began, and the paces as of a moment ago. It relies on the balancer for
loads, paces and the rules of placement, on `item_work.py` for what an item asks, and on
`engine_rules.py` for the choice.
"""

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_rules import (
    EngineState,
    choose_engine,
    is_fast_enough,
    is_outpaced_by,
    move_ratio,
    pace_to_move_to,
)
from larkpost.gateway.rollouts.item_work import ItemWork
from larkpost.gateway.rollouts.model import BatchHead, Item
from larkpost.gateway.rollouts.progress import Progress

OWN_ENGINES_SECONDS = 0.6
"""For so long a batch takes places at its model's own engines only. Batches often come at the same
moment, and what the others take is known a heartbeat and its listing (0.25 s each) later."""
PACES_LIFETIME_SECONDS = 0.05
"""How long the paces of free engines are reused: each run of a batch asks for them at every few
events. About the time of one event."""


class EngineChoice:
    """Chooses engines for the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._began_at = services.clock.now()
        self.items = ItemWork(head, services)
        self._paces: dict[
            tuple[ServiceName, Work], tuple[float, list[tuple[InstanceId, float]]]
        ] = {}

    def choose(
        self, service: ServiceName, pace_limit: float = 0.0, work: Work | None = None
    ) -> InstanceInfo | None:
        """Returns an engine with a free place and a version that may make the batch's tokens.

        Args:
            pace_limit: the engine must be warm and known to be about as fast as this, in seconds
                for an event; 0 for any engine.
            work: what the rules of placement ask of the item; None for the batch's own.
        """
        balancer = self._services.balancer
        candidates = self._with_place(service, work or self.items.work_of())
        only = self._only_engines(service)
        if only is not None:
            candidates = [info for info in candidates if info.id in only]
        if pace_limit:
            candidates = [
                info
                for info in candidates
                if is_fast_enough(balancer.pace(info.id), balancer.is_cold(info), pace_limit)
            ]
        chosen = choose_engine(self._states(service, candidates))
        return chosen.info if chosen is not None else None

    def _only_engines(self, service: ServiceName) -> frozenset[InstanceId] | None:
        """Returns the only engines that the batch may use now; None for any.

        At first those are its model's own. If all of them are cold, as after the return of a zone,
        the batch need not wait for them.
        """
        if self._services.clock.now() - self._began_at >= OWN_ENGINES_SECONDS:
            return None
        own = self._services.division.engines_of(service, self._head.model)
        directory, balancer = self._services.directory, self._services.balancer
        known = (info for name in own if (info := directory.get(name)) is not None)
        return None if all(balancer.is_cold(info) for info in known) else own

    def _states(self, service: ServiceName, candidates: list[InstanceInfo]) -> list[EngineState]:
        """Returns what is known of engines, in the same order."""
        if not candidates:
            return []
        balancer = self._services.balancer
        loading = self._services.division.loading(service)
        return [
            EngineState(
                info,
                pace=balancer.pace(info.id),
                occupied=balancer.occupied(info),
                distance=balancer.distance(info),
                is_loading=info.id in loading,
                is_cold=balancer.is_cold(info),
            )
            for info in candidates
        ]

    def record_assigned(self, engine: InstanceInfo) -> None:
        """Records that an item was assigned a place at an engine, and will send in a moment."""
        if self._services.cold is not None:
            self._services.cold.reserve(engine)

    def count_places(self, service: ServiceName) -> int:
        """Returns how many places the engines that fit are believed to have free."""
        work = self.items.work_of()
        fitting = self._with_place(service, work)
        return sum(self._places_at(info, work) for info in fitting)

    def _places_at(self, info: InstanceInfo, work: Work) -> int:
        """Returns an engine's free places; at a cold one, those that may be used now."""
        free = info.slots - self._services.balancer.occupied(info)
        cold = self._services.cold
        left = cold.sends_left(info, work) if cold is not None else None
        return free if left is None else min(free, left)

    def is_outpaced(self, engine: InstanceInfo, progress: Progress) -> bool:
        """Returns whether an engine much faster than this one has a free place.

        An engine whose weights are older than this one's is about to load and to refuse all work.
        """
        directory = self._services.directory
        version = directory.version_of(engine.id, self._head.model)
        pace = self._services.balancer.pace(engine.id)
        ratio = move_ratio(progress.is_long)
        return any(
            is_outpaced_by(pace, other, ratio)
            for name, other in self._free_paces(engine.service, self.items.work_of(progress.item))
            if name != engine.id and directory.version_of(name, self._head.model) >= version
        )

    def may_move_to(self, engine: InstanceInfo, item: Item) -> bool:
        """Returns whether a run may still move to the place that it was assigned at an engine."""
        known = self._services.directory.get(engine.id)
        balancer = self._services.balancer
        if known is None or balancer.is_cold(known):
            return False
        return balancer.placement.allows(known, self.items.work_of(item))

    def fast_pace(self, engine: InstanceInfo, item: Item) -> float:
        """Returns the pace that a long run at an engine should go on at elsewhere; 0 if at none.

        Whether an engine of that pace has a free place is not asked.
        """
        balancer = self._services.balancer
        directory = self._services.directory
        work = self.items.work_of(item)
        version = directory.version_of(engine.id, self._head.model)
        paces = [
            pace
            for info in directory.of_service(engine.service)
            if (pace := balancer.pace(info.id))
            and not balancer.is_cold(info)
            and directory.version_of(info.id, self._head.model) >= version
            and not balancer.is_avoided(info.id)
            and balancer.placement.allows(info, work)
        ]
        return pace_to_move_to(balancer.pace(engine.id), min(paces, default=0.0))

    def _free_paces(self, service: ServiceName, work: Work) -> list[tuple[InstanceId, float]]:
        """Returns the known paces of the engines with a free place, as of a moment ago."""
        now = self._services.clock.now()
        known = self._paces.get((service, work))
        if known is not None and now - known[0] < PACES_LIFETIME_SECONDS:
            return known[1]
        balancer = self._services.balancer
        paces = [
            (info.id, pace)
            for info in self._with_place(service, work)
            if (pace := balancer.pace(info.id)) and not balancer.is_cold(info)
        ]
        self._paces[service, work] = (now, paces)
        return paces

    def _with_place(self, service: ServiceName, work: Work) -> list[InstanceInfo]:
        """Returns the engines that fit and have a free place, the least occupied first."""
        balancer = self._services.balancer
        return [
            info
            for info in balancer.candidates(service, work, eligible=self._has_not_failed)
            if balancer.has_place(info)
        ]

    def _has_not_failed(self, info: InstanceInfo) -> bool:
        """Returns whether an engine did not fail a moment ago."""
        return not self._services.balancer.is_avoided(info.id)
