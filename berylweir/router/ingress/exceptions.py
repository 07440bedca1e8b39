"""Exceptions for requests and responses that end early."""

from berylweir.refusals import models as refusals


class ResponseCut(Exception):  # noqa: N818
    """The response ended early, after its head was sent to the caller.

    The connection to the caller is then aborted, so that the caller does not
    take the partial response for a complete one.
    """


class RequestIncomplete(Exception):  # noqa: N818
    """The rest of the request will not arrive."""

    def __init__(self, refusal: refusals.Refusal) -> None:
        """Creates the exception with the refusal to send to the caller."""
        super().__init__(type(refusal).__name__)
        self.refusal = refusal
