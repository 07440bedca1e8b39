"""Protects the decoding of JSON from single values that can't be decoded.

The decoder raises an error for all of a document if one value in it is nested
more deeply than the interpreter's limit, or isn't valid, such as a string with
half of a surrogate pair.
"""

from collections.abc import Sequence
import contextlib
import re

import msgspec

# Errors of the decoder that a document from another writer may cause.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
# Depth within an item above which it is dropped. Known ones have less than 10.
_MAX_DEPTH = 100
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_COLON = re.compile(rb"\s*:")


def drop_undecodable_items(
    document: bytes, depth: int, name_path: Sequence[bytes]
) -> bytes:
    """Replaces items that can't be decoded by their names.

    Items that are neither objects nor arrays are left as they are.

    Args:
        document: JSON document.
        depth: Number of arrays and objects around each item.
        name_path: Members that lead to the name of an item. An item without
            one is replaced by `null`.
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
                    item = document[item_start : token.end()]
                    name = msgspec.json.encode(find_name(item, name_path))
                    parts += (document[copied_to:item_start], name)
                    copied_to = token.end()
            case _:
                pass  # A string may contain brackets.
    parts.append(document[copied_to:])
    return b"".join(parts)


def find_name(item: bytes, name_path: Sequence[bytes]) -> str | None:
    """Returns the name of an item, of which other parts can't be decoded.

    Args:
        item: JSON object.
        name_path: Members that lead to the name, from the outermost one.

    Returns:
        The first string at that place; None if there is none.
    """
    depth = 0
    members: list[bytes] = []
    for token in _TOKENS.finditer(item):
        match token[0]:
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
                del members[depth:]
            case text if _COLON.match(item, token.end()):
                members[depth - 1 :] = [text[1:-1]]
            case text if depth == len(name_path) and members == [*name_path]:
                with contextlib.suppress(*DECODE_ERRORS):
                    return msgspec.json.decode(text, type=str)
                return None
    return None


def _is_decodable(item: bytes, depth: int) -> bool:
    if depth > _MAX_DEPTH:
        return False
    try:
        msgspec.json.decode(item)
    except DECODE_ERRORS:
        return False
    return True
