"""The routes of a batch's items, by the configuration in force, and whether their time is over."""

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item
from larkpost.gateway.rollouts.retry_rules import is_past_lifetime


class ItemRoutes:
    """Finds the routes of the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services

    def route_of(self, item: Item) -> Route | None:
        """Returns an item's route; None if the configuration has none, or is not known."""
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(self._head.host, item.path.partition("?")[0].encode())

    def is_expired(self, route: Route | None) -> bool:
        """Returns whether the time is over in which an item of a route must be kept trying.

        While the store's time or the route is not known, no item is given up.
        """
        store_time = self._services.store_time()
        if store_time is None or route is None:
            return False
        return is_past_lifetime(store_time - self._head.created_at, route.queue_lifetime)
