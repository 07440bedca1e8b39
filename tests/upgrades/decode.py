"""Decodes messages and objects with the build of the work tree.

Run from the work tree of the build, with what `record.py` prints as its input:

    PYTHONPATH=. python PATH/tests/upgrades/decode.py < 926f86d.json

It prints the name of the type that each one was decoded as, or why it wasn't.
"""

import base64
from collections.abc import Callable
import json
import sys
from typing import Any

import msgspec
import result

from berylweir.gateway.peers import messages
from berylweir.platform import objects
from berylweir.platform import store

_OBJECT_NAMES = {
    "Vm": "vm.a",
    "Lease": "lease",
    "KeyTable": "g",
    "Entry": "quarantine.0000000000000007",
}


def decode_message(data: bytes) -> str:
    """Returns the type of a message, or why it can't be decoded."""
    outcomes = [messages.decode_request(data), messages.decode_reply(data)]
    return next(map(_describe, filter(_is_ok, outcomes)), str(outcomes))


def decode_object(kind: str, text: str) -> str:
    """Returns the type of an object, or why it can't be decoded."""
    stored = store.build_stored_object(
        _OBJECT_NAMES[kind], 5, msgspec.Raw(text.encode()), msgspec.Raw(b"null")
    )
    decode: Callable[[store.StoredObject], Any] = (
        objects.decode_table
        if kind == "KeyTable"
        else objects.decode_gateway_object
    )
    return _describe(decode(stored))


def _is_ok(outcome: result.Result[Any, Any]) -> bool:
    return isinstance(outcome, result.Ok)


def _describe(outcome: result.Result[Any, Any]) -> str:
    match outcome:
        case result.Ok(value):
            return type(value).__name__
        case failure:
            return str(failure)


if __name__ == "__main__":
    recorded = json.load(sys.stdin)
    json.dump(
        {
            name: decode_message(base64.b64decode(text))
            for name, text in recorded["messages"].items()
        }
        | {
            name: decode_object(name, text)
            for name, text in recorded["objects"].items()
        },
        sys.stdout,
    )
