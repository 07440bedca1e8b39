"""Cancellable send and receive operations of pynng sockets for asyncio."""

import asyncio
from collections.abc import Coroutine
import typing
from typing import Any
from typing import TypeVar

import pynng

_T = TypeVar("_T")


async def receive(socket: pynng.Socket | pynng.Context) -> bytes:
    """Waits for a message and returns it.

    After a cancellation the caller must close the socket, since the operation
    continues until then.

    Raises:
        ConnectionAbortedError: If the socket cancels the operation.
    """
    data: bytes = await _run_detached(socket.arecv())
    return data


async def send(socket: pynng.Socket | pynng.Context, data: bytes) -> None:
    """Waits until the socket accepts a message for sending.

    After a cancellation the caller must close the socket, since the operation
    continues until then.

    Raises:
        ConnectionAbortedError: If the socket cancels the operation.
    """
    await _run_detached(socket.asend(data))


async def _run_detached(operation: Coroutine[Any, Any, _T]) -> _T:
    # After a cancellation, pynng waits until the operation has ended, which
    # doesn't always happen, so the cancelled task would hang. The operation
    # runs in a task of its own instead, which ends when the socket is closed.
    is_abandoned = False

    async def run() -> _T | None:
        try:
            return await operation
        except pynng.NNGException:
            if is_abandoned:
                # At its shutdown, asyncio logs an exception of any task.
                return None
            raise

    operation_task = asyncio.ensure_future(run())
    try:
        return typing.cast(_T, await asyncio.shield(operation_task))
    except asyncio.CancelledError:
        if operation_task.cancelled():
            # The operation was cancelled by the socket, not by the caller.
            raise ConnectionAbortedError(
                "operation cancelled by the socket"
            ) from None
        is_abandoned = True
        raise
