"""For whom and for what body memory is used."""

from berylweir import records


@records.record
class ServerResponses:
    """Responses of one backend server.

    Attributes:
        server: Name of the server.
    """

    server: str


@records.record
class GatewayResponses:
    """Responses of another gateway to forwarded requests.

    Attributes:
        vm: Name of its VM.
    """

    vm: str


@records.record
class RouteRequests:
    """Request bodies of one route.

    Attributes:
        route: Name of the route; empty if no route matches.
    """

    route: str


Source = ServerResponses | GatewayResponses | RouteRequests


@records.record
class Retryable:
    """A response is held whole, so that the request can still be retried."""


@records.record
class Streamed:
    """A part of a response is on its way to a caller that reads slowly."""


@records.record
class Upload:
    """A request body is held until the request has been answered."""


Use = Retryable | Streamed | Upload
