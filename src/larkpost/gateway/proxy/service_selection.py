"""Divides a route's requests among its services by weight, evenly at any moment.

Owns each route's place in its round; two daemons need not know of each other.
"""

import random

from larkpost.gateway.blackboard.configuration import Route, ServiceName

MAX_INITIAL_OFFSET = 97
"""A route begins as if a random number of requests, below this, had come before."""


class ServiceSelector:
    """Smooth weighted round robin, for each route on its own.

    Args:
        chance: draws the place in the round at which a route begins. If every daemon began at the
            same one, the first requests of all daemons would go to one service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._chance = rng
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Returns the service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        if route.name not in self._credits:
            self._credits[route.name] = {}
            for _ in range(self._chance.randrange(MAX_INITIAL_OFFSET)):
                self._next(route)
        return self._next(route)

    def _next(self, route: Route) -> ServiceName:
        credits = self._credits[route.name]
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
