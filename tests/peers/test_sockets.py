"""Tests of cancellable operations on pynng sockets."""

import asyncio
import logging

import pynng
import pytest
import uvloop

from berylweir.peers import sockets


async def _close_while_receiving() -> None:
    with pynng.Pair0() as socket:
        receiving = asyncio.create_task(sockets.receive(socket))
        await asyncio.sleep(0.01)
        receiving.cancel()
        await asyncio.wait((receiving,))
        assert receiving.cancelled()


class TestCancellation:
    """Operations that are cancelled before the socket is closed."""

    def test_end_of_the_loop_is_logged_without_errors(
        self, caplog: pytest.LogCaptureFixture
    ):
        """Guards against error lines at a planned stop."""
        with caplog.at_level(logging.ERROR):
            uvloop.run(_close_while_receiving())
        assert not caplog.records
