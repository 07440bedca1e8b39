"""The task that owns the sockets between keepers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import pynng
import result

from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import authentication
from berylweir.peers import codec
from berylweir.peers import messages
from berylweir.peers import sockets
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_SEND_BUFFER_MESSAGES = 64
_RECEIVE_BUFFER_MESSAGES = 1024
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Time for the sockets to send the last messages at a shutdown.
_FLUSH_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message from a keeper.

    Attributes:
        sender: Incarnation of the keeper.
        availability_zone: Availability zone of the keeper.
        message: The decoded message.
    """

    sender: schemas.Incarnation
    availability_zone: str
    message: messages.KeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ToVm:
    """Sends a message to the keeper of a VM, which may be this one."""

    vm: str
    message: messages.KeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ToAddress:
    """Sends a message to the keeper at an address.

    Attributes:
        address: IP address and port, such as `127.0.0.1:7101`.
        message: The message.
    """

    address: str
    message: messages.KeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ToAll:
    """Sends a message to the keepers of all other VMs."""

    message: messages.KeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperAddresses:
    """Replaces the known keeper addresses.

    Attributes:
        addresses: IP address and port of each VM's keeper, by VM name.
    """

    addresses: Mapping[str, str]


Outgoing = ToVm | ToAddress | ToAll | KeeperAddresses


class PeerTask:
    """Owns one socket for messages from all keepers and one to each keeper.

    Messages are not sent reliably. If the send buffer of a keeper is full, a
    message to it is dropped and counted, since senders repeat each message or
    send a newer one.
    """

    def __init__(
        self,
        listen_address: str,
        incarnation: schemas.Incarnation,
        availability_zone: str,
        deliver: Callable[[ReceivedMessage], None],
        outbox: mailbox.Mailbox[Outgoing],
        metrics: counters.Counters,
        keys: authentication.Keyring = authentication.Keyring(),  # noqa: B008
    ) -> None:
        """Creates the task.

        Args:
            listen_address: IP address and port to listen on.
            incarnation: Own incarnation.
            availability_zone: Own availability zone.
            deliver: Called with each received message; must not block.
            outbox: Messages to send and new keeper addresses.
            metrics: Counters.
            keys: Keys that authenticate messages.
        """
        self._listen_address = listen_address
        self._incarnation = incarnation
        self._availability_zone = availability_zone
        self._deliver = deliver
        self._outbox = outbox
        self._metrics = metrics
        self._keys = keys
        self._verifier = authentication.Verifier(keys, listen_address)
        self._sequence = 0
        self._sockets: dict[str, pynng.Push0] = {}
        self._addresses: Mapping[str, str] = {}

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop, then sends the rest of the outbox."""
        receiving_socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=_MAX_MESSAGE_BYTES,
        )
        context.stack.callback(receiving_socket.close)
        receiving_socket.listen(f"tcp://{self._listen_address}")
        context.stack.callback(self._close_sockets)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run_receiver(receiving_socket)),
                group.create_task(self._run_sender()),
            ]
            await context.stop_event.wait()
            for task in tasks:
                task.cancel()
        # A keeper that stops resigns as holder and standby with its last
        # messages.
        while (outgoing := self._outbox.get_nowait()) is not None:
            self._dispatch(outgoing)
        await asyncio.sleep(_FLUSH_S)

    async def _run_receiver(self, receiving_socket: pynng.Pull0) -> None:
        while True:
            data = await sockets.receive(receiving_socket)
            self._metrics.count("keeper.peer.received")
            self._metrics.count("keeper.peer.received_bytes", len(data))
            match codec.decode_envelope(data):
                case result.Ok(envelope):
                    self._handle_envelope(envelope)
                case result.Err(_):
                    self._metrics.count("keeper.peer.undecodable")

    def _handle_envelope(self, envelope: messages.Envelope) -> None:
        """Delivers the message of an envelope, or counts why it is dropped."""
        match self._verifier.verify(envelope):
            case result.Err(rejection):
                self._metrics.count(authentication.counter_of(rejection))
                return
            case result.Ok(_):
                pass
        match codec.decode_keeper_message(envelope.body):
            case result.Ok(message):
                self._deliver(
                    ReceivedMessage(
                        envelope.sender, envelope.availability_zone, message
                    )
                )
            case result.Err(_):
                self._metrics.count("keeper.peer.undecodable")

    async def _run_sender(self) -> None:
        while True:
            self._dispatch(await self._outbox.get())

    def _dispatch(self, outgoing: Outgoing) -> None:
        """Sends a message, or replaces the addresses."""
        match outgoing:
            case KeeperAddresses(addresses=addresses):
                self._set_addresses(addresses)
            case ToVm(vm=vm, message=message) if vm == self._incarnation.vm:
                self._deliver(
                    ReceivedMessage(
                        self._incarnation, self._availability_zone, message
                    )
                )
            case ToVm(vm=vm, message=message) if vm in self._addresses:
                self._send_to_address(
                    self._addresses[vm], codec.encode(message)
                )
            case ToVm():
                self._metrics.count("keeper.peer.unknown")
            case ToAddress(address=address, message=message):
                self._send_to_address(address, codec.encode(message))
            case ToAll(message=message):
                body = codec.encode(message)
                for vm, address in self._addresses.items():
                    if vm != self._incarnation.vm:
                        self._send_to_address(address, body)

    def _encode_envelope(self, address: str, body: bytes) -> bytes:
        """Returns a signed envelope with the next sequence number."""
        self._sequence += 1
        envelope = messages.Envelope(
            self._incarnation, self._availability_zone, body, self._sequence
        )
        return codec.encode(authentication.sign(envelope, address, self._keys))

    def _set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replaces the addresses, and closes the sockets of removed ones."""
        self._addresses = addresses
        for unused_address in self._sockets.keys() - set(addresses.values()):
            self._sockets.pop(unused_address).close()

    def _send_to_address(self, address: str, body: bytes) -> None:
        data = self._encode_envelope(address, body)
        try:
            self._get_socket(address).send(data, block=False)
        except pynng.TryAgain:
            self._metrics.count("keeper.peer.dropped")
        else:
            self._metrics.count("keeper.peer.sent")
            self._metrics.count("keeper.peer.sent_bytes", len(data))

    def _get_socket(self, address: str) -> pynng.Push0:
        """Returns the socket for an address, which is opened on first use.

        It reconnects by itself, after 50 to 500 ms.
        """
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_MESSAGES)
            socket.reconnect_time_min = 50
            socket.reconnect_time_max = 500
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        return socket

    def _close_sockets(self) -> None:
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()
