"""Failures of an exchange."""


class GatewayError(Exception):
    """Base of the failures of the gateway."""


class ResponseTruncatedError(GatewayError):
    """The rest of a response that was partly returned will not arrive."""
