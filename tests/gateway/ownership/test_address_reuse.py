"""Tests of which lives have ended."""

from berylweir.gateway import models
from berylweir.gateway.ownership import address_reuse


def server(name: str, born_ms: int, port: int) -> models.BackendServer:
    """Returns an entry."""
    return models.BackendServer(
        name, born_ms, "g", "10.0.0.1", port, "a", 3, False, 0.0, 1
    )


class TestReplacedInstances:
    """Addresses that pass from one server to another."""

    def test_the_earlier_server_of_an_address_is_replaced(self):
        """Guards against waiting for a server that doesn't exist any more."""
        earlier, later = server("a", 1000, 1), server("b", 60_000, 1)
        for order in ([earlier, later], [later, earlier]):
            assert address_reuse.replaced_instances(order) == {earlier.instance}

    def test_servers_that_started_close_together_are_not_replaced(self):
        """Guards against a clock that is a little ahead."""
        assert not address_reuse.replaced_instances(
            [server("a", 1000, 1), server("b", 3000, 1)]
        )

    def test_servers_at_different_addresses_are_not_replaced(self):
        """Guards against losing keys of a server that holds them."""
        assert not address_reuse.replaced_instances(
            [server("a", 1000, 1), server("b", 60_000, 2)]
        )
