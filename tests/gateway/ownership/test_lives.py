"""Tests of which lives have ended."""

from berylweir.gateway import models
from berylweir.gateway.ownership import lives


def server(name: str, born_ms: int, port: int) -> models.BackendServer:
    """Returns an entry."""
    return models.BackendServer(
        name, born_ms, "g", "10.0.0.1", port, "a", 3, False, 0.0, 1
    )


class TestEnded:
    """Addresses that pass from one server to another."""

    def test_the_former_server_of_an_address_has_ended(self):
        """Guards against waiting for a server that doesn't exist any more."""
        former, later = server("a", 1000, 1), server("b", 60_000, 1)
        for order in ([former, later], [later, former]):
            assert lives.ended(order) == {former.instance}

    def test_servers_that_started_together_are_not_told_apart(self):
        """Guards against a clock that is a little ahead."""
        assert not lives.ended([server("a", 1000, 1), server("b", 3000, 1)])

    def test_servers_at_their_own_addresses_live(self):
        """Guards against losing keys of a server that holds them."""
        assert not lives.ended([server("a", 1000, 1), server("b", 60_000, 2)])
