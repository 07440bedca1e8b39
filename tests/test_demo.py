"""Tests of the demo's checks."""

import httpx

from berylweir import demo


class TestOrder:
    """The order that is sent through two entry VMs."""

    async def test_an_order_whose_slice_just_moved_gets_a_new_id(self):
        """Guards against a demo that fails if keys move before the order."""
        ids: list[str] = []

        def answer(request: httpx.Request) -> httpx.Response:
            ids.append(request.headers["idempotency-key"])
            if len(ids) <= 2:
                return httpx.Response(
                    409, headers={"berylweir-outcome": "unknown"}
                )
            return httpx.Response(200)

        async with httpx.AsyncClient(
            transport=httpx.MockTransport(answer)
        ) as client:
            order = await demo.place_order(client, "http://vm-0", "key-1")
        assert order.response.status_code == 200
        assert order.request_id == ids[-1]
        assert len(set(ids)) == 3

    async def test_an_order_that_stays_unknown_is_reported(self):
        """Guards against a demo that never ends."""

        def answer(_: httpx.Request) -> httpx.Response:
            return httpx.Response(409, headers={"berylweir-outcome": "unknown"})

        async with httpx.AsyncClient(
            transport=httpx.MockTransport(answer)
        ) as client:
            order = await demo.place_order(client, "http://vm-0", "key-1")
        assert order.response.status_code == 409
