"""Divides a route's requests among its services by weight, evenly at any moment."""

from larkpost.fleet.configuration import Route, ServiceName


class ShareChooser:
    """Smooth weighted round robin, for each route on its own."""

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Returns the service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.setdefault(route.name, {})
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
