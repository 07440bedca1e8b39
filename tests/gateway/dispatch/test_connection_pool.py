"""Tests of the pool of idle connections to a server."""

import asyncio
import contextlib
import socket

from berylweir.gateway import models
from berylweir.gateway.dispatch import connection_pool


@contextlib.contextmanager
def listening_server():
    """Yields a server whose connections are never accepted, but open."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        yield models.BackendServer(
            "s", 1, "g", host, port, "a", 3, False, 0.0, 1
        )


class TestConnectionPool:
    """Idle connections."""

    async def test_usable_connection_is_the_one_that_is_acquired(self):
        """Guards against a request placed for a connection it can't use."""
        with listening_server() as server:
            pool = connection_pool.ConnectionPool()
            now_s = asyncio.get_running_loop().time()
            assert not pool.has_usable(now_s, is_idempotent=True)
            connection = await connection_pool.connect(server)
            pool.release(connection, now_s, None, 2)
            for _ in range(2):
                assert pool.has_usable(now_s, is_idempotent=True)
            assert pool.acquire(now_s, is_idempotent=True) is connection
            assert not pool.has_usable(now_s, is_idempotent=True)
            connection.close()

    async def test_connection_that_carried_the_request_is_not_usable(self):
        """Guards against an earlier response taken for the present one."""
        with listening_server() as server:
            pool = connection_pool.ConnectionPool()
            now_s = asyncio.get_running_loop().time()
            connection = await connection_pool.connect(server)
            connection.begin(b"x", is_head_request=False, request_id="r")
            pool.release(connection, now_s, None, 2)
            options = {"is_idempotent": True, "request_id": "r"}
            assert not pool.has_usable(now_s, **options)
            assert pool.acquire(now_s, **options) is None
            assert pool.acquire(now_s, is_idempotent=True) is connection
            connection.close()

    async def test_expired_or_closed_connection_is_not_usable(self):
        """Guards against requests on connections that have ended."""
        with listening_server() as server:
            pool = connection_pool.ConnectionPool()
            now_s = asyncio.get_running_loop().time()
            for seconds in (0.0, 60.0):
                connection = await connection_pool.connect(server)
                pool.release(connection, now_s, None, 2)
                if not seconds:
                    connection.close()
                assert not pool.has_usable(now_s + seconds, is_idempotent=True)
                assert connection.is_closed

    async def test_new_connection_is_usable_for_any_request(self):
        """Guards against a probe's connection that hides the others.

        A connection that never received anything is as recent as its opening.
        """
        with listening_server() as server:
            pool = connection_pool.ConnectionPool()
            connection = await connection_pool.connect(server)
            opened_s = connection.opened_s
            pool.release(connection, opened_s, None, 2)
            assert pool.has_usable(opened_s + 1.0, is_idempotent=False)
            assert not pool.has_usable(opened_s + 2.0, is_idempotent=False)
            pool.close()
