"""Waiting on pynng sockets from asyncio tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import pynng

_T = TypeVar("_T")


async def receive(socket: pynng.Socket | pynng.Context) -> bytes:
    """Waits for a message.

    The caller closes the socket after a cancellation.

    Raises:
        ConnectionAbortedError: If the socket gives the operation up.
    """
    data: bytes = await _run_detached(socket.arecv())
    return data


async def send(socket: pynng.Socket | pynng.Context, data: bytes) -> None:
    """Waits until the socket takes a message.

    The caller closes the socket after a cancellation.

    Raises:
        ConnectionAbortedError: If the socket gives the operation up.
    """
    await _run_detached(socket.asend(data))


async def _run_detached(operation: Coroutine[Any, Any, _T]) -> _T:
    # pynng waits for the end of a cancelled operation, and that end doesn't
    # always come, so a cancelled task would hang. The operation is left alone
    # instead and ends when its socket is closed.
    operation_task = asyncio.ensure_future(operation)
    try:
        return await asyncio.shield(operation_task)
    except asyncio.CancelledError:
        if operation_task.cancelled():
            # The socket gave the operation up; this task goes on.
            raise ConnectionAbortedError("operation given up") from None
        operation_task.add_done_callback(_ignore_result)
        raise


def _ignore_result(task: asyncio.Future[Any]) -> None:
    if not task.cancelled():
        task.exception()
