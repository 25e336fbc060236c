"""Where the items of a batch run: engines that fit, the fastest ones for the longest items."""

from dataclasses import replace

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Configuration, Route, RouteKind, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId

FASTER_RATIO = 1.12
"""An engine counts as faster than another by this factor of their paces."""
SLOW_RATIO = 1.7
"""A run moves away from an engine that is slower than another one by this factor."""
LONG_RUN_RATIO = 1.25
"""The same for an item that has made many events: such items are what a batch waits for."""
PACE_TOLERANCE = 1.05
"""A moved run takes an engine whose pace is above its limit by no more than this factor."""
ALIKE_OCCUPIED = 1
"""Items by which a nearer engine may be fuller than the best one and still count as its like."""
OWN_ENGINES_SECONDS = 0.6
"""For so long a batch takes places at its model's own engines only: batches often come at the same
moment, and what the others take is known a heartbeat and its listing (0.25 s each) later."""
PACES_LIFETIME_SECONDS = 0.05
"""How long the paces of free engines serve: every run of a batch asks for them again and again."""


class EngineChoice:
    """Chooses engines for the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._began_at = services.clock.now()
        self._works: dict[str, Work] = {}
        """What is asked of the items of each path, by the configuration `_works_of`."""
        self._works_of: Configuration | None = None
        self._item_services: dict[ItemId, ServiceName] = {}
        self._paces: dict[
            tuple[ServiceName, Work], tuple[float, list[tuple[InstanceId, float]]]
        ] = {}

    def work_of(self, item: Item | None = None) -> Work:
        """Returns what the rules of placement ask of an item, as the configuration stands now.

        Args:
            item: None for what they ask of the batch's own path.
        """
        configuration = self._services.configuration.current
        if configuration is not self._works_of:
            self._works_of = configuration
            self._works.clear()
        path = item.path if item is not None else self._head.path
        if path not in self._works:
            self._works[path] = self._make_work(configuration, path)
        crashes = self._services.crashes
        if item is None or not crashes.has_suspects:
            return self._works[path]
        return replace(self._works[path], is_suspect=crashes.is_suspect(item.content(self._head)))

    def _make_work(self, configuration: Configuration | None, path: str) -> Work:
        head = self._head
        regions = None
        if configuration is not None:
            place = path.partition("?")[0].encode()
            regions = configuration.homes_at(head.tenant, head.host, place)
        return Work(WorkKind.ITEM, regions, head.model, head.minimum_version)

    def service_of(self, item: Item, route: Route) -> ServiceName | None:
        """Returns the service of an item, or None if its route takes no batches.

        It is chosen once by the route's weights and kept while it stands.
        """
        if route.kind is not RouteKind.BATCH:
            return None
        chosen = self._item_services.get(item.id)
        if chosen is None or all(share.service != chosen for share in route.shares):
            chosen = self._services.shares.choose(route)
            self._item_services[item.id] = chosen
        return chosen

    def choose(
        self, service: ServiceName, pace_limit: float = 0.0, work: Work | None = None
    ) -> InstanceInfo | None:
        """Returns an engine with a free place and a version that may make the batch's tokens.

        Items come longest first, so that the longest ones get the fastest engines.

        Args:
            pace_limit: the engine must be warm and known to be about as fast as this, in seconds
                for an event; 0 for any engine.
            work: what the rules of placement ask of the item; None for the batch's own.
        """
        balancer = self._services.balancer
        candidates = self._with_place(service, work or self.work_of())
        candidates = self._allowed(service, candidates)
        if pace_limit:
            slowest = pace_limit * PACE_TOLERANCE
            candidates = [
                info
                for info in candidates
                if 0 < balancer.pace(info.id) <= slowest and not balancer.is_cold(info)
            ]
        if not candidates:
            return None
        candidates = self._without_cold(self._without_loading(service, candidates))
        best = candidates[0]
        best_pace = balancer.pace(best.id)
        for info in candidates[1:]:
            pace = balancer.pace(info.id)
            if pace and best_pace > pace * FASTER_RATIO:
                best, best_pace = info, pace
        return self._nearest_like(best, candidates)

    def _nearest_like(self, best: InstanceInfo, candidates: list[InstanceInfo]) -> InstanceInfo:
        """Returns the nearest of the engines that are about as fast and loaded as the best one."""
        balancer = self._services.balancer
        pace, occupied = balancer.pace(best.id), balancer.occupied(best)
        alike = [
            info
            for info in candidates
            if balancer.distance(info) < balancer.distance(best)
            and balancer.occupied(info) <= occupied + ALIKE_OCCUPIED
            and balancer.pace(info.id) <= pace * FASTER_RATIO
            and bool(balancer.pace(info.id)) == bool(pace)
        ]
        return min(alike, key=balancer.distance, default=best)

    def _allowed(self, service: ServiceName, candidates: list[InstanceInfo]) -> list[InstanceInfo]:
        """Returns the engines that a batch may use now: at first only its model's own.

        If all of those are cold, as after the return of a zone, it need not wait for them.
        """
        is_new = self._services.clock.now() - self._began_at < OWN_ENGINES_SECONDS
        if not is_new:
            return candidates
        own = self._services.division.engines_of(service, self._head.model)
        directory, balancer = self._services.directory, self._services.balancer
        known = (info for name in own if (info := directory.get(name)) is not None)
        if all(balancer.is_cold(info) for info in known):
            return candidates
        return [info for info in candidates if info.id in own]

    def _without_loading(
        self, service: ServiceName, candidates: list[InstanceInfo]
    ) -> list[InstanceInfo]:
        """Leaves out the engines that load or are about to, unless there are no others."""
        loading = self._services.division.loading(service)
        return [info for info in candidates if info.id not in loading] or candidates

    def _without_cold(self, candidates: list[InstanceInfo]) -> list[InstanceInfo]:
        """Leaves out the engines that are cold, unless there are no others."""
        balancer = self._services.balancer
        return [info for info in candidates if not balancer.is_cold(info)] or candidates

    def record_given(self, engine: InstanceInfo) -> None:
        """Takes that a place at an engine was given to an item, which will send in a moment."""
        if self._services.cold is not None:
            self._services.cold.reserve(engine)

    def count_places(self, service: ServiceName) -> int:
        """Returns how many places the engines that fit are believed to have free."""
        work = self.work_of()
        fitting = self._with_place(service, work)
        return sum(self._places_at(info, work) for info in fitting)

    def _places_at(self, info: InstanceInfo, work: Work) -> int:
        """Returns an engine's free places; at a cold one, those that may be used now."""
        free = info.slots - self._services.balancer.occupied(info)
        cold = self._services.cold
        left = cold.sends_left(info, work) if cold is not None else None
        return free if left is None else min(free, left)

    def is_outpaced(self, engine: InstanceInfo, progress: Progress) -> bool:
        """Tells whether an engine much faster than this one has a free place.

        An engine whose weights are older than this one's is about to load and to refuse all work.
        """
        directory = self._services.directory
        version = directory.version_of(engine.id, self._head.model)
        pace = self._services.balancer.pace(engine.id)
        ratio = LONG_RUN_RATIO if progress.is_long else SLOW_RATIO
        return any(
            pace > other * ratio
            for name, other in self._free_paces(engine.service, self.work_of(progress.item))
            if name != engine.id and directory.version_of(name, self._head.model) >= version
        )

    def may_move_to(self, engine: InstanceInfo, item: Item) -> bool:
        """Tells whether a run may move to an engine where it was given a place a moment ago."""
        known = self._services.directory.get(engine.id)
        balancer = self._services.balancer
        if known is None or balancer.is_cold(known):
            return False
        return balancer.placement.allows(known, self.work_of(item))

    def fast_pace(self, engine: InstanceInfo, item: Item) -> float:
        """Returns the pace that a long run at an engine should go on at elsewhere; 0 if at none.

        Whether an engine of that pace has a free place is not asked.
        """
        balancer = self._services.balancer
        directory = self._services.directory
        work = self.work_of(item)
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
        best = min(paces, default=0.0)
        return best * FASTER_RATIO if balancer.pace(engine.id) > best * LONG_RUN_RATIO else 0.0

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
            for info in balancer.candidates(service, work, eligible=self._is_unspoiled)
            if balancer.has_place(info)
        ]

    def _is_unspoiled(self, info: InstanceInfo) -> bool:
        """Tells whether an engine did not fail a moment ago."""
        return not self._services.balancer.is_avoided(info.id)
