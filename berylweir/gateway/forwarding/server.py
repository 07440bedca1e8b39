"""Answers requests that other gateways forward."""

from collections.abc import Awaitable
from collections.abc import Callable

from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.forwarding import codec

HandleRequest = Callable[[exchange.CallerRequest], Awaitable[exchange.Answer]]


def create_handler(handle_request: HandleRequest) -> HandleRequest:
    """Returns a handler whose answers tell the other gateway their kind.

    Args:
        handle_request: Returns the answer to a request.
    """

    async def handle_forwarded(
        request: exchange.CallerRequest,
    ) -> exchange.Answer:
        return codec.add_headers(await handle_request(request))

    return handle_forwarded
