"""Tests of route matching and traffic splitting."""

import collections

from berylweir.gateway import models
from berylweir.gateway.routing import decisions


def route(
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


def router(*routes: models.Route) -> decisions.RouteTable:
    """Returns the route table of a configuration with some routes."""
    return decisions.RouteTable(
        models.Configuration("1", 1, routes, {}, models.CallerLimits())
    )


class TestRouter:
    """From host and path to a route."""

    def test_the_longest_prefix_wins(self):
        """Guards against a general route that hides a special one."""
        found = router(
            route("all", "/"), route("b", "/a/b/"), route("a", "/a/")
        )
        assert found.match("h", "/a/b/c").name == "b"
        assert found.match("h", "/a/c").name == "a"
        assert found.match("h", "/c").name == "all"

    def test_a_prefix_ends_at_a_slash(self):
        """Guards against /ab/ taken by the route of /a/."""
        assert router(route("a", "/a/")).match("h", "/ab/c") is None

    def test_hosts_are_apart(self):
        """Guards against requests for another host."""
        assert router(route("a", "/a/")).match("other", "/a/b") is None


class TestSplitter:
    """Parts of a route by weight."""

    def test_parts_get_their_weight(self):
        """Guards against a part that gets too much or nothing."""
        found = decisions.TrafficSplitter()
        split = route("r", "/", ("a", 90), ("b", 10))
        counts = collections.Counter(
            found.choose_group(split) for _ in range(200)
        )
        assert counts == {"a": 180, "b": 20}

    def test_new_weights_hold_at_once(self):
        """Guards against weights of a former configuration."""
        found = decisions.TrafficSplitter()
        for _ in range(50):
            found.choose_group(route("r", "/", ("a", 90), ("b", 10)))
        turned = route("r", "/", ("b", 100), ("c", 0))
        counts = collections.Counter(
            found.choose_group(turned) for _ in range(100)
        )
        assert counts["b"] >= 99
