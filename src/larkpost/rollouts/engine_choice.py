"""Where the items of a batch run: engines that fit, the fastest ones for the longest items."""

from larkpost.fleet.configuration import Route, RouteKind, ServiceName
from larkpost.fleet.directory import InstanceInfo
from larkpost.rollouts.attempt import Progress
from larkpost.rollouts.context import RunServices
from larkpost.rollouts.model import BatchHead, Item, ItemId

FASTER_RATIO = 1.12
"""An engine counts as faster than another by this factor of their paces."""
SLOW_RATIO = 1.7
"""A run moves away from an engine that is slower than another one by this factor."""
LONG_RUN_RATIO = 1.25
"""The same for an item that has made many events: such items are what a batch waits for."""
LONG_RUN_EVENTS = 30


class EngineChoice:
    """Chooses engines for the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._item_services: dict[ItemId, ServiceName] = {}

    def choose(self, item: Item, route: Route) -> InstanceInfo | None:
        """Returns an engine with a free place and a version that may make the item's tokens.

        Items come longest first, so that the longest ones get the fastest engines.
        """
        if route.kind is not RouteKind.BATCH:
            return None
        candidates = self._with_place(self._service(item, route))
        if not candidates:
            return None
        balancer = self._services.balancer
        best = candidates[0]
        for info in candidates[1:]:
            pace = balancer.pace(info.id)
            if pace and balancer.pace(best.id) > pace * FASTER_RATIO:
                best = info
        return best

    def is_outpaced(self, engine: InstanceInfo, progress: Progress) -> bool:
        """Tells whether an engine much faster than this one has a free place."""
        balancer = self._services.balancer
        pace = balancer.pace(engine.id)
        long = len(progress.events) >= LONG_RUN_EVENTS
        ratio = LONG_RUN_RATIO if long else SLOW_RATIO
        paces = [
            balancer.pace(info.id)
            for info in self._with_place(engine.service)
            if info.id != engine.id
        ]
        return any(other and pace > other * ratio for other in paces)

    def _service(self, item: Item, route: Route) -> ServiceName:
        """Returns the service of an item: chosen once by the route's weights, while it stands."""
        chosen = self._item_services.get(item.id)
        if chosen is None or all(share.service != chosen for share in route.shares):
            chosen = self._services.shares.choose(route)
            self._item_services[item.id] = chosen
        return chosen

    def _with_place(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the engines that fit and have a free place, the least occupied first."""
        balancer = self._services.balancer
        return [
            info
            for info in balancer.candidates(service, eligible=self._is_fit)
            if balancer.occupied(info) < max(1, info.slots)
        ]

    def _is_fit(self, info: InstanceInfo) -> bool:
        """Tells whether an engine has a version that will do and did not fail a moment ago."""
        if self._services.balancer.is_avoided(info.id):
            return False
        version = self._services.directory.version_of(info.id, self._head.model)
        return version >= self._head.minimum_version
