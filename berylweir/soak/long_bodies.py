"""Long and endless bodies at a gateway, and the check of its memory."""

import asyncio
from collections.abc import Sequence
import contextlib
import pathlib
import socket
import typing

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.standin.gateway_platform import caller

# Path of requests whose responses don't end.
ENDLESS_PATH = "/safe/endless"
# Memory limit of each gateway, in MiB, and longest request body.
MEMORY_LIMIT_MB = 300
MAX_BODY_BYTES = 64 * 2**20
_CHECK_INTERVAL_S = 0.1
_DEADLINE_MS = 8000
_UPLOAD_PATH = "/unsafe/long"
_PART = bytes(65_536)
# A slow caller reads this much at a time, and then waits.
_READ_BYTES = 4000
_READ_PAUSE_S = 0.25
_RECEIVE_BUFFER_BYTES = 8192


async def send(gateway: gateways.Gateway, fault: models.LongBodies) -> None:
    """Sends requests with long bodies or responses for a time."""
    with contextlib.suppress(TimeoutError):
        async with (
            asyncio.timeout(fault.duration_s),
            asyncio.TaskGroup() as group,
        ):
            for number in range(fault.count):
                request_id = f"long{gateway.vm}-{gateway.instance}-{number}"
                match fault.direction:
                    case models.BodyDirection.UPLOAD:
                        group.create_task(
                            _upload(gateway.port, request_id, number)
                        )
                    case models.BodyDirection.DOWNLOAD:
                        group.create_task(_download(gateway.port, request_id))
                    case _:
                        typing.assert_never(fault.direction)


async def _upload(port: int, request_id: str, number: int) -> None:
    """Sends a body without end, or one of the greatest length."""
    is_endless = number % 2 == 0
    head = caller.encode_request(
        _UPLOAD_PATH, request_id, _DEADLINE_MS, is_repeatable=False
    )
    framing = (
        b"Transfer-Encoding: chunked\r\n\r\n"
        if is_endless
        else b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    )
    part = b"%x\r\n%b\r\n" % (len(_PART), _PART) if is_endless else _PART
    with contextlib.suppress(OSError, EOFError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        response = asyncio.create_task(reader.read(1))
        try:
            writer.write(head.removesuffix(b"\r\n") + framing)
            for _ in range(MAX_BODY_BYTES // len(_PART)):
                if response.done():
                    return
                writer.write(part)
                await writer.drain()
            await response
        finally:
            response.cancel()
            writer.transport.abort()


async def _download(port: int, request_id: str) -> None:
    """Reads an endless response slowly."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError), socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(
            connection,
            caller.encode_request(ENDLESS_PATH, request_id, _DEADLINE_MS),
        )
        while True:
            await asyncio.sleep(_READ_PAUSE_S)
            if not await loop.sock_recv(connection, _READ_BYTES):
                break


class MemoryCheck:
    """Records instances of gateways that use more memory than their limit."""

    def __init__(self, watched: Sequence[gateways.Gateway]) -> None:
        """Creates a check that has read nothing.

        Args:
            watched: The gateways.
        """
        self._gateways = watched
        self._peaks_bytes: dict[tuple[int, int], int] = {}

    @property
    def violations(self) -> list[str]:
        """A line for each instance above its limit."""
        return [
            f"vm-{vm}, instance {instance}, used {peak_bytes / 2**20:.0f} MiB"
            for (vm, instance), peak_bytes in self._peaks_bytes.items()
            if peak_bytes > MEMORY_LIMIT_MB * 2**20
        ]

    async def run(self) -> typing.NoReturn:
        """Reads the memory of the processes until it is cancelled."""
        while True:
            for gateway in self._gateways:
                instance = gateway.vm, gateway.instance
                self._peaks_bytes[instance] = max(
                    self._peaks_bytes.get(instance, 0),
                    read_memory_bytes(gateway.pid),
                )
            await asyncio.sleep(_CHECK_INTERVAL_S)


def read_memory_bytes(process_id: int) -> int:
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/status").read_text("utf-8")
    except OSError:
        return 0
    lines = [x for x in text.splitlines() if x.startswith("VmRSS:")]
    return int(lines[0].split()[1]) * 1024 if lines else 0
