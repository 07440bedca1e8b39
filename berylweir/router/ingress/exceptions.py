"""Failures of a request on the side of its caller."""

from berylweir.refusals import models as refusals


class ResponseCut(Exception):  # noqa: N818
    """The response broke off after its head was sent to the caller.

    The caller's connection is cut when this is raised, so a part is never
    taken for the whole.
    """


class RequestIncomplete(Exception):  # noqa: N818
    """The rest of the request will not arrive."""

    def __init__(self, refusal: refusals.Refusal) -> None:
        """Creates the failure with the refusal to answer with."""
        super().__init__(type(refusal).__name__)
        self.refusal = refusal
