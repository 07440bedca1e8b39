"""Which route a request takes, and which part of a split."""

from collections.abc import Mapping

from berylweir.gateway import models


class RouteTable:
    """Finds routes of one configuration."""

    def __init__(self, configuration: models.Configuration) -> None:
        """Prepares the look-up."""
        routes_by_host: dict[str, list[models.Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        self._routes_by_host: Mapping[str, list[models.Route]] = routes_by_host
        self._configuration = configuration

    @property
    def configuration(self) -> models.Configuration:
        """The configuration."""
        return self._configuration

    def match(self, host: str, path: str) -> models.Route | None:
        """Returns the route with the longest prefix of `path`, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TrafficSplitter:
    """Spreads the requests of each route by the weights of its parts.

    Smooth weighted round robin: each part earns its weight with each request,
    the richest is chosen and pays the sum.
    """

    def __init__(self) -> None:
        """Creates a splitter that has seen no request."""
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
