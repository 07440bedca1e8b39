"""Limits on the bytes that a server may send outside of a response's body."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on one response.

    A faulty server may send bytes without end where a head or the framing of a
    body is expected. Without limits they cost memory and processor time until
    the request's deadline.

    Attributes:
        max_head_bytes: Longest head, in bytes, including the heads of
            informational responses before it.
        max_framing_bytes: Bytes of chunk extensions, chunk sizes and trailers,
            in addition to `max_framing_ratio`.
        max_framing_ratio: Framing bytes allowed for each byte of the body. The
            smallest chunk has one byte of body and five of framing.
        max_skipped_bytes: Bytes of responses to earlier requests, which are
            skipped.
    """

    max_head_bytes: int = 65_536
    max_framing_bytes: int = 65_536
    max_framing_ratio: int = 8
    max_skipped_bytes: int = 16_777_216


class ResponseMeter:
    """Counts the received bytes of one response by their purpose."""

    def __init__(self, limits: ResponseLimits) -> None:
        """Creates a meter that has counted nothing.

        Args:
            limits: Limits of the response.
        """
        self._limits = limits
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0

    def count_head(self, received_bytes: int) -> str | None:
        """Counts bytes after which the head is still incomplete.

        Returns:
            Which limit is exceeded, or None.
        """
        self._head_bytes += received_bytes
        if self._head_bytes > self._limits.max_head_bytes:
            return f"the head exceeds {self._limits.max_head_bytes} bytes"
        return None

    def count_skipped(self, received_bytes: int) -> str | None:
        """Counts bytes of a response to an earlier request.

        Returns:
            Which limit is exceeded, or None.
        """
        self._skipped_bytes += received_bytes
        if self._skipped_bytes > self._limits.max_skipped_bytes:
            return (
                "responses to earlier requests exceed"
                f" {self._limits.max_skipped_bytes} bytes"
            )
        return None

    def count_body(self, received_bytes: int, body_bytes: int) -> str | None:
        """Counts bytes after the head.

        Args:
            received_bytes: Bytes received.
            body_bytes: Those of them that belong to the body.

        Returns:
            Which limit is exceeded, or None.
        """
        self._body_bytes += body_bytes
        self._framing_bytes += received_bytes - body_bytes
        limit = (
            self._limits.max_framing_bytes
            + self._limits.max_framing_ratio * self._body_bytes
        )
        if self._framing_bytes > limit:
            return f"chunk framing and trailers exceed {limit} bytes"
        return None
