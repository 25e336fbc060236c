"""What the items of a batch ask of an engine: its service, and what the rules of placement ask.

Owns the service that each item was given, and what was worked out for the configuration in force.
"""

from dataclasses import replace

from larkpost.gateway.blackboard.configuration import Configuration, Route, RouteKind, ServiceName
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId


class ItemWork:
    """What the items of one batch ask."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._works: dict[str, Work] = {}
        """What is asked of the items of each path, by the configuration `_works_of`."""
        self._works_of: Configuration | None = None
        self._item_services: dict[ItemId, ServiceName] = {}

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
            route_path = path.partition("?")[0].encode()
            regions = configuration.allowed_regions_at(head.tenant, head.host, route_path)
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
