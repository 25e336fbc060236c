"""Routes of a batch's items in the current configuration, and the expiry of items."""

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
        """Returns the route of an item; None if there is no such route or no configuration."""
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(self._head.host, item.path.partition("?")[0].encode())

    def is_expired(self, route: Route | None) -> bool:
        """Returns whether the queue lifetime of a route's items is certainly over.

        Nothing expires while the store's time or the route is unknown. The estimate of the store's
        time may be too high now, as it may have been too low when the batch was accepted.
        """
        store_time = self._services.store_time()
        if store_time is None or route is None:
            return False
        earliest = store_time - self._services.store_time_error()
        return is_past_lifetime(earliest - self._head.created_at, route.queue_lifetime)
