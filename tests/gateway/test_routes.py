"""Tests of route matching and traffic splitting."""

import collections

from berylweir.gateway import models
from berylweir.gateway.routing import decisions


def create_route(
    name: str, prefix: str, *shares: tuple[str, float], host: str = "h"
) -> models.Route:
    """Returns a route with weighted shares."""
    return models.Route(
        name,
        host,
        prefix,
        models.Idempotency.IDEMPOTENT,
        False,
        1000,
        400,
        1,
        2,
        tuple(models.Share(*s) for s in shares),
    )


def create_route_table(*routes: models.Route) -> decisions.RouteTable:
    """Returns the route table of a configuration with some routes."""
    return decisions.RouteTable(
        models.Configuration("1", 1, routes, {}, models.CallerLimits())
    )


class TestRouteTable:
    """From host and path to a route."""

    def test_longest_prefix_is_matched(self):
        """Guards against a general route that hides a special one."""
        route_table = create_route_table(
            create_route("all", "/"),
            create_route("b", "/a/b/"),
            create_route("a", "/a/"),
        )
        assert route_table.match("h", "/a/b/c").name == "b"
        assert route_table.match("h", "/a/c").name == "a"
        assert route_table.match("h", "/c").name == "all"

    def test_prefix_matches_whole_path_segments(self):
        """Guards against /ab/ taken by the route of /a/."""
        assert (
            create_route_table(create_route("a", "/a/")).match("h", "/ab/c")
            is None
        )

    def test_host_must_match(self):
        """Guards against requests for another host."""
        assert (
            create_route_table(create_route("a", "/a/")).match("other", "/a/b")
            is None
        )


class TestTrafficSplitter:
    """Shares of a route's traffic by weight."""

    def test_groups_are_chosen_by_weight(self):
        """Guards against a group that gets too many requests or none."""
        splitter = decisions.TrafficSplitter()
        weighted_route = create_route("r", "/", ("a", 90), ("b", 10))
        counts = collections.Counter(
            splitter.choose_group(weighted_route) for _ in range(200)
        )
        assert counts == {"a": 180, "b": 20}

    def test_new_weights_take_effect_at_once(self):
        """Guards against keeping the weights of an earlier configuration."""
        splitter = decisions.TrafficSplitter()
        for _ in range(50):
            splitter.choose_group(create_route("r", "/", ("a", 90), ("b", 10)))
        new_route = create_route("r", "/", ("b", 100), ("c", 0))
        counts = collections.Counter(
            splitter.choose_group(new_route) for _ in range(100)
        )
        assert counts["b"] >= 99
