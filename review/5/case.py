"""Clients that send bodies as long as the configuration allows."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

import backend
import cases
import clients
import deployment
import gateways
import record

_FOLDER = pathlib.Path(__file__).resolve().parent
# `maxBodyBytes` of the configuration, and the longest body of the site's
# bookings.
_MAX_BODY_BYTES = 67_108_864
_LONGEST_USUAL_BYTES = 7200
_UPLOAD_BYTES = 64_000_000
_UPLOADERS = 5
_BOOKERS = 12
_WORK_S = 0.4
_DEADLINE_MS = 3000
_UPLOAD_AT_S = 3.0
_LENGTH_S = 9.0
# `ramMb` of the settings, and the delay of a restart.
_MEMORY_LIMIT_BYTES = 300 * 2**20
_RESTART_S = 0.5
# Requests that may be lost so, by the rule.
_ALLOWED = 3


class Booker:
    """A client that sends one booking after the other on its connection."""

    def __init__(self, name: str, address: str, port: int) -> None:
        """Creates a client.

        Args:
            name: Prefix of the ids of its requests.
            address: Address of the machine.
            port: TCP port for clients.
        """
        self.served = 0
        # Requests whose connection ended without an answer.
        self.cut: list[str] = []
        self._name = name
        self._address = address
        self._port = port
        self._number = 0

    async def run(self, log: record.Record) -> None:
        """Sends bookings until it is cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self._address, self._port
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while await self._book(reader, writer, log):
                    pass
            finally:
                writer.close()
            await asyncio.sleep(0.2)

    async def _book(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        log: record.Record,
    ) -> bool:
        """Sends a booking; returns whether the connection may be kept."""
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        log.write("sent", id=request_id)
        writer.write(clients.encode("POST", "/r/x", request_id, _DEADLINE_MS))
        answer = await clients.read_answer(reader)
        log.write(
            "answered",
            id=request_id,
            status=answer.status,
            whole=answer.is_whole,
        )
        if not answer.is_whole:
            self.cut.append(request_id)
            return False
        self.served += answer.status == 200
        return answer.headers.get("connection") != "close"


async def _upload(
    number: int, size: int, gateway: gateways.Gateway, log: record.Record
) -> None:
    """Sends one booking with a body."""
    request_id = f"u-{number}"
    head = clients.encode("POST", "/r/x", request_id, _DEADLINE_MS).replace(
        b"Content-Length: 0", b"Content-Length: %d" % size
    )
    log.write("sent", id=request_id, body=size)
    status = 0
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(
            gateway.address, gateway.port
        )
        try:
            writer.write(head + bytes(size))
            status = (await clients.read_answer(reader)).status
        finally:
            writer.close()
    log.write("answered", id=request_id, status=status)


async def _limit_memory(
    gateway: gateways.Gateway, ends: list[float], log: record.Record
) -> None:
    """Kills the process over its limit, as the platform does."""
    highest = 0
    try:
        while True:
            used = gateway.memory_bytes()
            highest = max(highest, used)
            if used > _MEMORY_LIMIT_BYTES:
                gateway.send_signal(signal.SIGKILL)
                ends.append(time.monotonic())
                log.write("over-memory-limit", used_mb=used // 2**20)
                await gateway.wait()
                await asyncio.sleep(_RESTART_S)
                await gateway.start()
            await asyncio.sleep(0.005)
    finally:
        log.write("memory", highest_mb=highest // 2**20)


async def _run(log: record.Record, directory: pathlib.Path) -> bool:
    """Returns whether the rule held."""
    ends: list[float] = []
    async with contextlib.AsyncExitStack() as stack:
        place = deployment.Platform()
        servers = [
            backend.Backend(f"i-{n}", "g", log, service_s=_WORK_S)
            for n in range(6)
        ]
        routes = [deployment.route("r", "g", "unsafe", _DEADLINE_MS)]
        await place.start(
            stack, {"g": False}, routes, servers, max_body_bytes=_MAX_BODY_BYTES
        )
        started = await gateways.start_all(stack, 3, place.port, directory)
        await asyncio.sleep(2.0)
        machine = started[0]
        bookers = [
            Booker(f"b{n}", machine.address, machine.port)
            for n in range(_BOOKERS)
        ]
        tasks = [asyncio.create_task(booker.run(log)) for booker in bookers]
        tasks.append(asyncio.create_task(_limit_memory(machine, ends, log)))
        await asyncio.sleep(_UPLOAD_AT_S)
        size = _UPLOAD_BYTES if record.has_trouble() else _LONGEST_USUAL_BYTES
        async with asyncio.TaskGroup() as group:
            for number in range(_UPLOADERS):
                group.create_task(_upload(number, size, machine, log))
        await asyncio.sleep(_LENGTH_S - _UPLOAD_AT_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    run_ids = {run.request_id for server in servers for run in server.runs}
    lost = [r for booker in bookers for r in booker.cut if r in run_ids]
    for request_id in lost:
        log.write("VIOLATION", id=request_id)
    served = sum(booker.served for booker in bookers)
    log.write("totals", served=served, lost=len(lost), ends=len(ends))
    if not served:
        raise gateways.CannotRunError("nothing was served")
    return len(lost) <= _ALLOWED


if __name__ == "__main__":
    sys.exit(cases.main(_FOLDER, _run))
