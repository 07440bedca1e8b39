"""Exceptions raised by an HTTP exchange over a connection."""


class ExchangeError(Exception):
    """Base class of the exceptions of this package."""


class ConnectionCut(ExchangeError):  # noqa: N818
    """The connection ended before the whole response arrived."""


class MalformedResponse(ExchangeError):  # noqa: N818
    """The response is not valid HTTP, or its length can't be determined."""

    def __init__(self, reason: str) -> None:
        """Creates the exception.

        Args:
            reason: What is wrong with the response.
        """
        super().__init__(reason)
        self.reason = reason
