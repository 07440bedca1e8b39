"""Protects the decoding of JSON from single values that can't be decoded.

The decoder raises an error for all of a document if one value in it is nested
more deeply than the interpreter's limit, or isn't valid, such as a string with
half of a surrogate pair.
"""

import re

import msgspec

# Errors of the decoder that a document from another writer may cause.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
# Depth within an item above which it is dropped. Known ones have less than 10.
_MAX_DEPTH = 100
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def drop_undecodable_items(document: bytes, depth: int) -> bytes:
    """Replaces items that can't be decoded by `null`.

    Items that are neither objects nor arrays are left as they are.

    Args:
        document: JSON document.
        depth: Number of arrays and objects around each item.
    """
    parts: list[bytes] = []
    copied_to = 0
    current_depth = 0
    item_start = 0
    deepest = 0
    for token in _TOKENS.finditer(document):
        match token[0]:
            case b"[" | b"{":
                if current_depth == depth:
                    item_start = token.start()
                    deepest = depth
                current_depth += 1
                deepest = max(deepest, current_depth)
            case b"]" | b"}":
                current_depth -= 1
                if current_depth == depth and not _is_decodable(
                    document[item_start : token.end()], deepest - depth
                ):
                    parts += (document[copied_to:item_start], b"null")
                    copied_to = token.end()
            case _:
                pass  # A string may contain brackets.
    parts.append(document[copied_to:])
    return b"".join(parts)


def _is_decodable(item: bytes, depth: int) -> bool:
    if depth > _MAX_DEPTH:
        return False
    try:
        msgspec.json.decode(item)
    except DECODE_ERRORS:
        return False
    return True
