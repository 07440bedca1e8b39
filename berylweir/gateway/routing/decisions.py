"""Matches requests to routes and splits a route's traffic between groups."""

from collections.abc import Mapping

from berylweir.gateway import models


class RouteTable:
    """Matches requests to the routes of one configuration."""

    def __init__(self, configuration: models.Configuration) -> None:
        """Indexes the routes by host, the longest prefixes first.

        Args:
            configuration: Configuration that holds the routes.
        """
        routes_by_host: dict[str, list[models.Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        self._routes_by_host: Mapping[str, list[models.Route]] = routes_by_host
        self._configuration = configuration

    @property
    def configuration(self) -> models.Configuration:
        """Configuration whose routes are matched."""
        return self._configuration

    def match(self, host: str, path: str) -> models.Route | None:
        """Returns the route with the longest prefix that matches, if any.

        Args:
            host: Host name of the request, in lower case.
            path: Path of the request.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TrafficSplitter:
    """Splits the requests of each route between its groups by weight.

    Uses smooth weighted round robin: each request adds to each group's
    current weight the group's weight, chooses the group with the highest
    current weight, and subtracts the sum of all weights from that one.
    """

    def __init__(self) -> None:
        """Creates a splitter whose current weights are all 0."""
        self._current_weights: dict[str, dict[str, float]] = {}

    def choose_group(self, route: models.Route) -> str:
        """Returns the server group for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].group
        current_weights = self._current_weights.setdefault(route.name, {})
        for share in route.shares:
            current_weights[share.group] = (
                current_weights.get(share.group, 0.0) + share.weight
            )
        chosen = max(route.shares, key=lambda s: current_weights[s.group])
        current_weights[chosen.group] -= sum(s.weight for s in route.shares)
        return chosen.group
