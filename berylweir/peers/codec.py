"""Encodes messages between processes as MessagePack, with msgspec."""

import msgspec
import result

from berylweir.peers import exceptions
from berylweir.peers import messages

_ENVELOPE_DECODER = msgspec.msgpack.Decoder(messages.Envelope)
_KEEPER_MESSAGE_DECODER = msgspec.msgpack.Decoder(messages.KeeperMessage)
_TO_ROUTER_DECODER = msgspec.msgpack.Decoder(messages.ToRouterMessage)
_FROM_ROUTER_DECODER = msgspec.msgpack.Decoder(messages.RouterMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Returns the encoded message."""
    return _ENCODER.encode(message)


def decode_envelope(
    data: bytes,
) -> result.Result[messages.Envelope, exceptions.PeerFailure]:
    """Returns an envelope, whose body is a message that is still encoded."""
    try:
        return result.Ok(_ENVELOPE_DECODER.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def decode_keeper_message(
    body: bytes,
) -> result.Result[messages.KeeperMessage, exceptions.PeerFailure]:
    """Returns the message in the body of an envelope."""
    try:
        return result.Ok(_KEEPER_MESSAGE_DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def decode_to_router(
    data: bytes,
) -> result.Result[messages.ToRouterMessage, exceptions.PeerFailure]:
    """Returns a message from a keeper to its router."""
    try:
        return result.Ok(_TO_ROUTER_DECODER.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def decode_from_router(
    data: bytes,
) -> result.Result[messages.RouterMessage, exceptions.PeerFailure]:
    """Returns a message from a router to its keeper."""
    try:
        return result.Ok(_FROM_ROUTER_DECODER.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))
