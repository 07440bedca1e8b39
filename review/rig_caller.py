"""A caller that sends requests before the earlier ones are answered."""

import asyncio
import dataclasses
import itertools

import rig_http

_HOST = "site.example"
_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Sent:
    """A request of the caller.

    Attributes:
        request_id: Its id.
        path: Its path.
        status: Status of its answer; None if there was none.
        seal: The answer's `Response-Seal`.
        is_complete: Whether the whole answer was received.
    """

    request_id: str
    path: str
    status: int | None = None
    seal: str = ""
    is_complete: bool = False


class Caller:
    """One caller, with one connection at a time."""

    def __init__(self, host: str, port: int, deadline_ms: int) -> None:
        """Creates a caller without a connection.

        Args:
            host: Address of the gateway.
            port: Its TCP port.
            deadline_ms: Time that the caller waits for an answer, in ms.
        """
        self._address = host, port
        self._deadline_ms = deadline_ms
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.sent: list[Sent] = []

    async def send(self, method: str, path: str) -> Sent:
        """Sends a request, and returns what becomes of it."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address, limit=2**20
            )
        sent = Sent(f"{next(_NUMBERS):016x}", path)
        self.sent.append(sent)
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {_HOST}",
            f"Request-Id: {sent.request_id}",
            f"Deadline-Ms: {self._deadline_ms}",
            *(("Content-Length: 0",) if method == "POST" else ()),
        )
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return sent

    async def read(self, sent: Sent) -> bool:
        """Reads the answer to the oldest request without one.

        Args:
            sent: That request.

        Returns:
            Whether the connection can be used on.
        """
        if self._reader is None:
            return False
        try:
            async with asyncio.timeout(self._deadline_ms / 1000.0):
                first, headers = await rig_http.read_head(self._reader)
                sent.status = int(first.split(" ")[1])
                sent.seal = headers.get("response-seal", "")
                if headers.get("transfer-encoding") == "chunked":
                    await self._read_chunks(self._reader)
                else:
                    length = int(headers.get("content-length", 0))
                    await self._reader.readexactly(length)
                sent.is_complete = True
        except (OSError, EOFError, TimeoutError):
            self.close()
            return False
        if headers.get("connection") == "close":
            self.close()
            return False
        return True

    async def _read_chunks(self, reader: asyncio.StreamReader) -> None:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            await reader.readexactly(size + 2)
            if size == 0:
                return

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
