"""Tests of the detection of reused addresses."""

from berylweir.gateway import models
from berylweir.gateway.ownership import address_reuse


def server(name: str, born_ms: int, port: int) -> models.BackendServer:
    """Returns a backend server at a port of one host."""
    return models.BackendServer(
        name, born_ms, "g", "10.0.0.1", port, "a", 3, False, 0.0, 1
    )


class TestReplacedInstances:
    """Servers whose store entries have the same address."""

    def test_the_earlier_server_of_an_address_is_replaced(self):
        """Guards against waiting until grants of an ended server expire."""
        earlier, later = server("a", 1000, 1), server("b", 60_000, 1)
        for order in ([earlier, later], [later, earlier]):
            assert address_reuse.replaced_instances(order) == {earlier.instance}

    def test_servers_that_started_close_together_are_not_replaced(self):
        """Guards against a wrong order of starts due to clock differences."""
        assert not address_reuse.replaced_instances(
            [server("a", 1000, 1), server("b", 3000, 1)]
        )

    def test_servers_at_different_addresses_are_not_replaced(self):
        """Guards against moving the keys of a running server without a wait."""
        assert not address_reuse.replaced_instances(
            [server("a", 1000, 1), server("b", 60_000, 2)]
        )
