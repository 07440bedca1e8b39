"""Fingerprints of requests, which are equal for repeats of a request."""

import xxhash

# Ends each part, so that parts of different lengths don't run together.
_SEPARATOR = b"\x00"


def compute(*parts: bytes, body: bytes | bytearray = b"") -> int:
    """Returns a hash of what makes a request the same as an earlier one.

    Ids, deadlines and other headers that differ between the attempts of a
    caller are left out by the callers of this function.

    Args:
        *parts: Method, host, target, key and the caller's identity.
        body: The body.
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
        digest.update(_SEPARATOR)
    digest.update(body)
    return digest.intdigest()


def to_text(fingerprint: int) -> str:
    """Returns a fingerprint as 16 hexadecimal digits, for logs and names."""
    return f"{fingerprint:016x}"


def from_text(text: str) -> int | None:
    """Returns the fingerprint that `to_text` wrote; None if it is none."""
    try:
        return int(text, 16) if len(text) == 16 else None
    except ValueError:
        return None
