"""Objects of the store on their way between gateways, compressed.

Objects of a kind resemble each other, so those of a message are compressed
together: bytes between zones are charged.
"""

from collections.abc import Iterable
import logging
import zlib

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway.followers import messages
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)


class _Object(msgspec.Struct, frozen=True, array_like=True):
    """An object of the store, its contents still encoded."""

    name: str
    revision: int
    spec: bytes
    status: bytes
    is_removed: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_OBJECTS = msgspec.msgpack.Decoder(list[_Object])


def pack(changes: Iterable[store.ObjectChange]) -> peers.CompressedChanges:
    """Returns changes as a part of a message."""
    plain = [
        _Object(
            change.object.name,
            change.object.revision,
            bytes(change.object.spec),
            bytes(change.object.status),
            change.is_removed,
        )
        for change in changes
    ]
    return zlib.compress(_ENCODER.encode(plain))


def pack_objects(
    found: Iterable[store.StoredObject],
) -> peers.CompressedChanges:
    """Returns objects as a part of a message."""
    return pack(
        store.ObjectChange(stored, is_removed=False) for stored in found
    )


def receive(
    source: models.Vm, told: peers.KindChanges
) -> result.Result[messages.Received, exceptions.UndecodableMessage]:
    """Returns what another gateway told of a kind."""
    return _unpack(told.changes).map(
        lambda changes: messages.Received(
            source, told.revision, told.is_whole, told.returned_s, changes
        )
    )


def receive_objects(
    packed: peers.CompressedChanges,
) -> list[store.StoredObject]:
    """Returns the objects that a message brought; none if it is broken."""
    match _unpack(packed):
        case result.Ok(changes):
            return [change.object for change in changes]
        case result.Err(failure):
            _LOGGER.warning("undecodable message", extra={"failure": failure})
            return []


def _unpack(
    packed: peers.CompressedChanges,
) -> result.Result[
    tuple[store.ObjectChange, ...], exceptions.UndecodableMessage
]:
    try:
        plain = _OBJECTS.decode(zlib.decompress(packed))
    except (zlib.error, msgspec.MsgspecError) as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))
    return result.Ok(
        tuple(
            store.ObjectChange(
                store.build_stored_object(
                    found.name,
                    found.revision,
                    msgspec.Raw(found.spec),
                    msgspec.Raw(found.status),
                ),
                found.is_removed,
            )
            for found in plain
        )
    )
