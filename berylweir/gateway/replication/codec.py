"""Encoding of the store's objects and changes in messages between gateways.

Traffic between zones is charged by the byte, so messages are compressed. The
objects of a kind resemble each other, so those of a message are compressed
together.
"""

from collections.abc import Iterable
import logging
import zlib

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import messages
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)


class _EncodedChange(msgspec.Struct, frozen=True, array_like=True):
    """An object of the store, or its removal, with the contents as JSON."""

    name: str
    revision: int
    spec: bytes
    status: bytes
    is_removed: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[_EncodedChange])


def encode_changes(
    changes: Iterable[store.ObjectChange],
) -> peers.CompressedChanges:
    """Returns the encoded changes."""
    entries = [
        _EncodedChange(
            change.object.name,
            change.object.revision,
            bytes(change.object.spec),
            bytes(change.object.status),
            change.is_removed,
        )
        for change in changes
    ]
    return zlib.compress(_ENCODER.encode(entries))


def encode_objects(
    stored_objects: Iterable[store.StoredObject],
) -> peers.CompressedChanges:
    """Returns objects encoded as changes that write them."""
    return encode_changes(
        store.ObjectChange(stored, is_removed=False)
        for stored in stored_objects
    )


def decode_changes(
    source: models.Vm, kind_changes: peers.KindChanges
) -> result.Result[messages.PeerChanges, exceptions.UndecodableMessage]:
    """Returns the changes of a kind that another gateway sent.

    Args:
        source: The gateway that sent the changes.
        kind_changes: The changes with their revision.
    """
    return _decode(kind_changes.changes).map(
        lambda changes: messages.PeerChanges(
            source,
            kind_changes.revision,
            kind_changes.is_whole,
            kind_changes.returned_s,
            changes,
        )
    )


def decode_objects(
    compressed: peers.CompressedChanges,
) -> list[store.StoredObject]:
    """Returns the decoded objects; logs and returns none if undecodable."""
    match _decode(compressed):
        case result.Ok(changes):
            return [change.object for change in changes]
        case result.Err(failure):
            _LOGGER.warning("undecodable message", extra={"failure": failure})
            return []


def _decode(
    compressed: peers.CompressedChanges,
) -> result.Result[
    tuple[store.ObjectChange, ...], exceptions.UndecodableMessage
]:
    try:
        entries = _DECODER.decode(zlib.decompress(compressed))
    except (zlib.error, msgspec.MsgspecError) as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))
    return result.Ok(
        tuple(
            store.ObjectChange(
                store.build_stored_object(
                    entry.name,
                    entry.revision,
                    msgspec.Raw(entry.spec),
                    msgspec.Raw(entry.status),
                ),
                entry.is_removed,
            )
            for entry in entries
        )
    )
