"""Divides a route's requests among its services by smooth weighted round robin.

Owns the state of each route; daemons do not coordinate.
"""

import random

from larkpost.gateway.blackboard.configuration import Route, ServiceName

MAX_INITIAL_OFFSET = 97
"""Upper bound (exclusive) of the random number of choices that are skipped initially on a route."""


class ServiceSelector:
    """Selects services by smooth weighted round robin, separately for each route.

    Args:
        rng: random generator for the starting point of each route. With a common one, the first
            requests of all daemons would go to the same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Returns the service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        if route.name not in self._credits:
            self._credits[route.name] = {}
            for _ in range(self._rng.randrange(MAX_INITIAL_OFFSET)):
                self._select_next(route)
        return self._select_next(route)

    def _select_next(self, route: Route) -> ServiceName:
        credits = self._credits[route.name]
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
