"""Errors of request processing."""


class GatewayError(Exception):
    """Base class of the gateway's errors."""


class ResponseTruncatedError(GatewayError):
    """A response ended early after part of it was returned to the caller."""
