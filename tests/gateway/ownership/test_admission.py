"""Tests of the shares of requests for busy servers."""

from berylweir.gateway import messages
from berylweir.gateway.ownership import admission

_SLOTS = 6
_CAPACITY = 10.0  # requests a second
_ROUND_S = 0.5


class Server:
    """A server with a queue, and VMs that keep to the shares."""

    def __init__(self) -> None:
        self.admission = admission.Admission()
        self.queue = 0.0
        self.queues: list[float] = []
        self.served = 0.0
        self._now_s = 0.0
        self._left = 0.0

    def run(self, rate: float, seconds: float) -> None:
        """Offers a rate of requests for some time."""
        for _ in range(int(seconds / _ROUND_S)):
            self._now_s += _ROUND_S
            share = self.admission.shares.get("s", 1.0)
            self.queue += share * rate * _ROUND_S
            served = min(self.queue, _CAPACITY * _ROUND_S)
            self.queue -= served
            self.served += served
            self._left += served
            use = messages.ServerUse(int(self._left), 0, 600.0, self.queue)
            self._left -= int(self._left)
            self.admission.add({"s": use})
            self.admission.update({"s": rate}, {"s": _SLOTS}, self._now_s)
            self.queues.append(self.queue)


class TestAdmission:
    """What the VMs are told of one server."""

    def test_a_server_that_bears_its_load_gets_all(self):
        """Guards against refusals beside free slots."""
        server = Server()
        server.run(0.9 * _CAPACITY, 20.0)
        assert server.admission.shares == {}

    def test_an_overloaded_server_keeps_a_short_queue_and_stays_busy(self):
        """Guards against responses that all come too late."""
        for overload in (1.3, 2.0, 4.0):
            server = Server()
            server.run(overload * _CAPACITY, 20.0)
            server.queues.clear()
            server.served = 0.0
            server.run(overload * _CAPACITY, 20.0)
            assert max(server.queues) < 2.5 * _SLOTS
            assert server.served > 0.8 * _CAPACITY * 20.0

    def test_the_limit_ends_with_the_overload(self):
        """Guards against refusals long after the keys have moved."""
        server = Server()
        server.run(3.0 * _CAPACITY, 10.0)
        assert server.admission.shares
        server.run(0.5 * _CAPACITY, 5.0)
        assert server.admission.shares == {}

    def test_a_server_that_is_gone_has_no_share(self):
        """Guards against shares that pile up as servers come and go."""
        server = Server()
        server.run(3.0 * _CAPACITY, 10.0)
        server.admission.update({}, {}, 10.0)
        assert server.admission.shares == {}
