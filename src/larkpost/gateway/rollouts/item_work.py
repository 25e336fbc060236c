"""Service and placement requirements of the items of a batch.

Caches the service selected for each item, and the requirements under the current configuration.
"""

from larkpost.gateway.blackboard.configuration import Configuration, Route, RouteKind, ServiceName
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId


class ItemWork:
    """Determines the service and placement requirements of the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._work_by_path: dict[str, Work] = {}
        """Placement requirements by item path, under the configuration `_cached_configuration`."""
        self._cached_configuration: Configuration | None = None
        self._item_services: dict[ItemId, ServiceName] = {}

    def work_of(self, item: Item | None = None) -> Work:
        """Returns the placement requirements of an item under the current configuration.

        Args:
            item: None for the requirements of the batch's own path.
        """
        configuration = self._services.configuration.current
        if configuration is not self._cached_configuration:
            self._cached_configuration = configuration
            self._work_by_path.clear()
        path = item.path if item is not None else self._head.path
        if path not in self._work_by_path:
            self._work_by_path[path] = self._make_work(configuration, path)
        return self._work_by_path[path]

    def _make_work(self, configuration: Configuration | None, path: str) -> Work:
        head = self._head
        regions = None
        if configuration is not None:
            route_path = path.partition("?")[0].encode()
            regions = configuration.allowed_regions_at(head.tenant, head.host, route_path)
        return Work(WorkKind.ITEM, regions, head.model, head.minimum_version)

    def service_of(self, item: Item, route: Route) -> ServiceName | None:
        """Returns the service of an item; None if its route does not serve batches.

        The service is selected once by the route's weights, and kept while the route has it.
        """
        if route.kind is not RouteKind.BATCH:
            return None
        chosen = self._item_services.get(item.id)
        if chosen is None or all(share.service != chosen for share in route.shares):
            chosen = self._services.service_selector.choose(route)
            self._item_services[item.id] = chosen
        return chosen
