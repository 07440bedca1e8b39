"""Authentication of messages between keepers.

Pure functions, apart from `Verifier`. A message authentication code (MAC),
made with keyed BLAKE2b, covers all other fields of an envelope and the address
of its receiver, so a message recorded on its way to one keeper can't be
replayed to another.

A receiver that restarts forgets the sequence numbers of its senders. A
replayed message is still harmless then, since the messages carry versions,
epochs or nonces.
"""

import collections
from collections.abc import Mapping
import dataclasses
import hashlib
import hmac
import typing

import msgspec
import result

from berylweir.peers import messages

MAC_BYTES = 16
# A verifier keeps the newest sequence number of this many sender incarnations
# and forgets the least recent ones first. Each keeper restarts a few times a
# day at most.
MAX_TRACKED_SENDERS = 16_384
_BLAKE2_PERSONALIZATION = b"berylweir-peers"


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A secret key that the keepers share.

    Attributes:
        id: Name of the key, sent in envelopes.
        secret: The key, 16 to 64 bytes.
    """

    id: str
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Keyring:
    """The keys that a keeper uses.

    Attributes:
        signing: Key for outgoing messages. If None, messages are sent without
            a MAC, and all received messages are accepted.
        accepted: Keys that received messages may use, by id.
    """

    signing: Key | None = None
    accepted: Mapping[str, Key] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Unsigned:
    """The message has no MAC."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The message names a key that isn't accepted."""

    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidMac:
    """The MAC is not that of the message, the receiver and the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The sequence number isn't higher than the last one of its sender.

    Attributes:
        sequence: Sequence number of the message.
        newest_sequence: Highest sequence number of the sender so far.
    """

    sequence: int
    newest_sequence: int


Rejection = Unsigned | UnknownKey | InvalidMac | Replayed


def counter_of(rejection: Rejection) -> str:
    """Returns the name of the counter of a kind of rejection."""
    match rejection:
        case Unsigned():
            return "keeper.peer.unsigned"
        case UnknownKey():
            return "keeper.peer.unknown_key"
        case InvalidMac():
            return "keeper.peer.wrong_code"
        case Replayed():
            return "keeper.peer.replayed"
        case _:
            typing.assert_never(rejection)


def parse_keyring(*texts: str) -> Keyring:
    """Returns the keyring of keys in the form `id:secret-in-hexadecimal`.

    Args:
        *texts: The signing key, then further accepted keys. Empty texts are
            skipped; without any key the keyring is empty.

    Raises:
        ValueError: If a text isn't in this form.
    """
    keys = [parse_key(text) for text in texts if text.strip()]
    if not keys:
        return Keyring()
    return Keyring(keys[0], {k.id: k for k in keys})


def parse_key(text: str) -> Key:
    """Returns the key in the form `id:secret-in-hexadecimal`.

    Raises:
        ValueError: If the text isn't in this form.
    """
    key_id, _, secret = text.strip().partition(":")
    decoded = bytes.fromhex(secret)
    if not key_id or not 16 <= len(decoded) <= hashlib.blake2b.MAX_KEY_SIZE:
        raise ValueError("a key is an id, a colon and 16 to 64 bytes in hex")
    return Key(key_id, decoded)


def sign(
    envelope: messages.Envelope, receiver: str, keys: Keyring
) -> messages.Envelope:
    """Returns the envelope with a MAC, or unchanged without a signing key.

    Args:
        envelope: The envelope, with its sequence number.
        receiver: IP address and port of the receiver.
        keys: Keys of this keeper.
    """
    if keys.signing is None:
        return envelope
    envelope_with_key_id = msgspec.structs.replace(
        envelope, key_id=keys.signing.id
    )
    return msgspec.structs.replace(
        envelope_with_key_id,
        mac=_compute_mac(envelope_with_key_id, receiver, keys.signing),
    )


def _compute_mac(envelope: messages.Envelope, receiver: str, key: Key) -> bytes:
    authenticated_data = msgspec.msgpack.encode(
        (
            receiver,
            envelope.sender.vm,
            envelope.sender.nonce,
            envelope.availability_zone,
            envelope.sequence,
            envelope.key_id,
            envelope.body,
        )
    )
    return hashlib.blake2b(
        authenticated_data,
        digest_size=MAC_BYTES,
        key=key.secret,
        person=_BLAKE2_PERSONALIZATION,
    ).digest()


class Verifier:
    """Verifies MACs, and rejects repeated and reordered messages."""

    def __init__(self, keys: Keyring, receiver: str) -> None:
        """Creates a verifier.

        Args:
            keys: Keys of this keeper.
            receiver: IP address and port of this keeper, as senders dial it.
                They sign it too, so it must be the same text.
        """
        self._keys = keys
        self._receiver = receiver
        self._newest_sequences: collections.OrderedDict[
            tuple[str, str], int
        ] = collections.OrderedDict()

    def verify(
        self, envelope: messages.Envelope
    ) -> result.Result[None, Rejection]:
        """Accepts an envelope, or returns why it must be dropped."""
        if self._keys.signing is None:
            return result.Ok(None)
        if not envelope.mac:
            return result.Err(Unsigned())
        key = self._keys.accepted.get(envelope.key_id)
        if key is None:
            return result.Err(UnknownKey(envelope.key_id))
        expected_mac = _compute_mac(envelope, self._receiver, key)
        if not hmac.compare_digest(expected_mac, envelope.mac):
            return result.Err(InvalidMac())
        sender = (envelope.sender.vm, envelope.sender.nonce)
        newest_sequence = self._newest_sequences.get(sender, 0)
        if envelope.sequence <= newest_sequence:
            return result.Err(Replayed(envelope.sequence, newest_sequence))
        self._newest_sequences[sender] = envelope.sequence
        self._newest_sequences.move_to_end(sender)
        if len(self._newest_sequences) > MAX_TRACKED_SENDERS:
            self._newest_sequences.popitem(last=False)
        return result.Ok(None)
