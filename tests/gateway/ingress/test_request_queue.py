"""Tests of the queue of a connection's requests."""

import contextlib

from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import request_queue
from berylweir.platform import requests


class RecordedLimits(ingress.PendingRequest):
    """A request that records how its time is limited."""

    def __init__(self, deadline_ms: float, limits: list[float]) -> None:
        head = requests.decode_request(
            "GET",
            b"/r/1",
            [(b"host", b"h"), (b"deadline-ms", b"%d" % deadline_ms)],
        )
        super().__init__(
            exchange.CallerRequest(head, b"", 0.0),
            keep_alive=True,
            is_idempotent=True,
            stack=contextlib.ExitStack(),
        )
        self.limits = limits

    def limit_answer(self, next_deadline_s: float) -> None:
        """Records a limit."""
        self.limits.append(next_deadline_s)


class TestRequestQueue:
    """Limits on the time of the oldest request."""

    def test_oldest_request_is_limited_by_those_behind_it(self):
        """Guards against a limit that is lost when an answer is written."""
        queue = request_queue.RequestQueue()
        limits: list[list[float]] = [[], [], [], []]
        for deadline_ms, recorded in zip(
            (9000, 8000, 3000, 5000), limits, strict=True
        ):
            queue.append(RecordedLimits(deadline_ms, recorded))
        assert limits == [[8.0, 3.0, 5.0], [], [], []]
        queue.remove_oldest()
        queue.remove_oldest()
        assert limits == [[8.0, 3.0, 5.0], [3.0], [5.0], []]
        queue.remove_oldest()
        assert limits[3] == []

    def test_dropped_request_limits_those_in_front_of_it(self):
        """Guards against a caller that leaves because of a dropped request."""
        queue = request_queue.RequestQueue()
        limits: list[list[float]] = [[], []]
        for recorded in limits:
            queue.append(RecordedLimits(9000, recorded))
        queue.limit_by_dropped(3.0)
        queue.remove_oldest()
        assert limits == [[9.0, 3.0], [3.0]]

    def test_each_request_costs_the_same(self):
        """Guards against a long series that keeps the event loop busy."""
        queue = request_queue.RequestQueue()
        limits: list[float] = []
        for number in range(1000):
            queue.append(RecordedLimits(9000 - number, limits))
        assert len(limits) == 999
