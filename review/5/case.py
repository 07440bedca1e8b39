"""A planned stop, while clients send further requests behind a download."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import time

import backend
import cases
import clients
import deployment
import gateways
import link
import record

_FOLDER = pathlib.Path(__file__).resolve().parent
_CLIENTS = 20
# Way of the clients of the site, one way, and a window without TCP's window
# scaling.
_DELAY_S = 0.008
_WINDOW_BYTES = 65_535
# Response of a download, as long as the site's are on average.
_DOWNLOAD_BYTES = 90_000
_DOWNLOAD_S = 0.1
_LOOKUP_S = 0.04
# Pause between the requests that a client sends behind a download.
_PAUSE_S = 0.025
_MAX_BEHIND = 5
_STOP_AT_S = 3.0
_GRACE_S = 6.0
# The balancer opens no new connections after two failed checks, one a second.
_BALANCED_S = 2.0


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request of a client.

    Attributes:
        request_id: Its id.
        answer: The answer; None if there is none yet.
        ended_s: When it was answered, or its connection ended.
    """

    request_id: str
    answer: clients.Answer | None = None
    ended_s: float = 0.0


class Client:
    """A client that sends lookups behind a download on one connection."""

    def __init__(self, name: str, port: int) -> None:
        """Creates a client.

        Args:
            name: Prefix of the ids of its requests.
            port: TCP port of its link on 127.0.0.1.
        """
        self.exchanges: list[Exchange] = []
        self.connects_until_s = float("inf")
        self._name = name
        self._port = port

    async def run(self, log: record.Record) -> None:
        """Opens connections as long as the balancer lets it."""
        with contextlib.suppress(OSError):
            while time.monotonic() < self.connects_until_s:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port
                )
                try:
                    is_kept = True
                    while is_kept:
                        is_kept = await self._exchange_batch(
                            reader, writer, log
                        )
                        await asyncio.sleep(random.uniform(0.0, 0.1))
                finally:
                    writer.close()

    async def _exchange_batch(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        log: record.Record,
    ) -> bool:
        """Sends a download and lookups behind it, and reads all answers.

        Returns:
            Whether the connection may be kept.
        """
        batch = [self._send(writer, "/d/x", log)]
        download = asyncio.create_task(self._read_head(reader))
        while len(batch) <= _MAX_BEHIND:
            await asyncio.wait((download,), timeout=_PAUSE_S)
            if download.done():
                break
            batch.append(self._send(writer, "/l/x", log))
        head = await download
        is_kept = True
        for exchange in batch:
            answer = await _read_answer(reader, head)
            head = None
            exchange.answer = answer
            exchange.ended_s = time.monotonic()
            log.write(
                "answered",
                id=exchange.request_id,
                status=answer.status,
                whole=answer.is_whole,
                body=len(answer.body),
                connection=answer.headers.get("connection"),
            )
            if not answer.is_whole or (
                answer.headers.get("connection") == "close"
            ):
                is_kept = False
                break
        return is_kept

    def _send(
        self, writer: asyncio.StreamWriter, path: str, log: record.Record
    ) -> Exchange:
        exchange = Exchange(f"{self._name}-{len(self.exchanges)}")
        self.exchanges.append(exchange)
        log.write("sent", id=exchange.request_id, path=path)
        writer.write(clients.encode("GET", path, exchange.request_id, 2500))
        return exchange

    async def _read_head(self, reader: asyncio.StreamReader) -> bytes:
        """Returns the head of the next answer; what there is if it ends."""
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            return error.partial
        except OSError:
            return b""


async def _read_answer(
    reader: asyncio.StreamReader, head: bytes | None
) -> clients.Answer:
    """Reads an answer whose head may have been read already."""
    if head is None:
        return await clients.read_answer(reader)
    if not head.endswith(b"\r\n\r\n"):
        return clients.Answer(0, {}, b"", is_whole=False)
    return await clients.read_answer(_Prefixed(head, reader))


class _Prefixed(asyncio.StreamReader):
    """A reader that returns a head first."""

    def __init__(self, head: bytes, reader: asyncio.StreamReader) -> None:
        super().__init__()
        self._head = head
        self._reader = reader

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        return self._head

    async def readexactly(self, n: int) -> bytes:
        return await self._reader.readexactly(n)


async def _run(log: record.Record, directory: pathlib.Path) -> bool:
    """Returns whether the rule held."""
    async with contextlib.AsyncExitStack() as stack:
        place = deployment.Platform()
        servers = [
            backend.Backend(
                f"d-{n}",
                "d",
                log,
                slots=12,
                service_s=_DOWNLOAD_S,
                body_bytes=_DOWNLOAD_BYTES,
            )
            for n in range(3)
        ] + [
            backend.Backend(f"l-{n}", "l", log, slots=12, service_s=_LOOKUP_S)
            for n in range(6)
        ]
        routes = [
            deployment.route("d", "d", "download", 2500),
            deployment.route("l", "l", "safe", 2500),
        ]
        await place.start(stack, {"d": False, "l": False}, routes, servers)
        started = await gateways.start_all(stack, 3, place.port, directory)
        await asyncio.sleep(2.0)
        stopped = started[0]
        way = link.Link(stopped.address, stopped.port, _DELAY_S, _WINDOW_BYTES)
        await way.listen(stack)
        senders = [Client(f"c{n}", way.port) for n in range(_CLIENTS)]
        tasks = [asyncio.create_task(sender.run(log)) for sender in senders]
        await asyncio.sleep(_STOP_AT_S)
        signalled_s = time.monotonic()
        if record.has_trouble():
            log.write("SIGTERM", node=stopped.node)
            stopped.send_signal(signal.SIGTERM)
            for sender in senders:
                sender.connects_until_s = signalled_s + _BALANCED_S
        await asyncio.wait(tasks, timeout=_GRACE_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    run_ids = {run.request_id for server in servers for run in server.runs}
    exchanges = [
        e
        for sender in senders
        for e in sender.exchanges
        if e.answer is not None
    ]
    if not any(e.answer.status == 200 for e in exchanges if e.answer):
        raise gateways.CannotRunError("nothing was served")
    lost = [
        e
        for e in exchanges
        if e.request_id in run_ids
        and e.answer is not None
        and not e.answer.is_whole
        and e.ended_s < signalled_s + _GRACE_S - _GRACE_S / 6.0
    ]
    for exchange in lost:
        log.write(
            "VIOLATION",
            id=exchange.request_id,
            status=exchange.answer.status if exchange.answer else None,
            received=len(exchange.answer.body) if exchange.answer else 0,
            after_signal_s=round(exchange.ended_s - signalled_s, 3),
        )
    log.write("totals", answered=len(exchanges), lost=len(lost))
    return not lost


if __name__ == "__main__":
    sys.exit(cases.main(_FOLDER, _run))
