"""Failures of forwarding."""

from berylweir import records


@records.record
class MalformedForward:
    """A request on the forward port isn't from a gateway.

    Attributes:
        reason: What is missing or wrong.
    """

    reason: str
