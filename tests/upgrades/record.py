"""Records the messages and objects that a build writes.

Run from the work tree of the build, with its name:

    PYTHONPATH=. python PATH/tests/upgrades/record.py 0254d82 > 0254d82.json
"""

import base64
import enum
import json
import sys
import types
import typing

import msgspec

from berylweir.crash_suspects import quarantine
from berylweir.gateway import models
from berylweir.gateway.peers import messages
from berylweir.platform import objects

_SAMPLES = {str: "text", int: 7, float: 1.5, bool: True, bytes: b"data"}


def build_sample(kind: typing.Any) -> typing.Any:
    """Returns a value of a type, with all optional parts present."""
    if kind in _SAMPLES:
        return _SAMPLES[kind]
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return build_sample(next(a for a in arguments if a is not type(None)))
    if origin is typing.Annotated:
        return build_sample(arguments[0])
    if origin is list:
        return [build_sample(arguments[0])]
    if origin is tuple:
        return (build_sample(arguments[0]),)
    if origin is frozenset:
        return frozenset({build_sample(arguments[0])})
    if origin is dict:
        return {build_sample(arguments[0]): build_sample(arguments[1])}
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    hints = typing.get_type_hints(kind)
    return kind(**{name: build_sample(hint) for name, hint in hints.items()})


def message_types() -> list[type]:
    """Returns the types of all messages between gateways."""
    kinds = (
        *typing.get_args(messages.Request),
        *typing.get_args(messages.Reply),
    )
    return sorted(set(kinds), key=lambda kind: kind.__name__)


def record() -> dict[str, dict[str, str]]:
    """Returns the encoded messages and objects by the names of their types."""
    encoders = {
        models.Vm: objects.encode_vm,
        models.Lease: objects.encode_lease,
        models.KeyTable: objects.encode_table,
        quarantine.Entry: objects.encode_quarantine_entry,
    }
    return {
        "messages": {
            kind.__name__: _to_text(messages.encode(build_sample(kind)))
            for kind in message_types()
        },
        "objects": {
            kind.__name__: encode(build_sample(kind)).decode()
            for kind, encode in encoders.items()
        },
    }


def field_lists() -> dict[str, list[str]]:
    """Returns the fields of each message and object, and of their parts.

    What the platform writes into the store isn't part of it.
    """
    fields: dict[str, list[str]] = {}
    written = [v for n, v in vars(objects).items() if n.endswith("Spec")]
    for kind in (*vars(messages).values(), *written):
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            hints = typing.get_type_hints(kind)
            fields[kind.__name__] = [
                f"{field.name}: {_describe(hints[field.name])}"
                + ("" if field.required else " (optional)")
                for field in msgspec.structs.fields(kind)
            ]
    return fields


def _describe(hint: typing.Any) -> str:
    text = str(hint) if typing.get_args(hint) else hint.__name__
    for module in (messages, objects):
        text = text.replace(f"{module.__name__}.", "")
    return text


def _to_text(data: bytes) -> str:
    return base64.b64encode(data).decode()


if __name__ == "__main__":
    json.dump({"build": sys.argv[1], **record()}, sys.stdout, indent=1)
