"""Tests of the client of the platform's object API."""

from collections.abc import AsyncIterator

import httpx
import pytest

from berylweir.objects import client
from berylweir.objects import exceptions
from berylweir.standin import platform


@pytest.fixture
def state() -> platform.PlatformState:
    return platform.PlatformState()


@pytest.fixture
async def platform_client(
    state: platform.PlatformState,
) -> AsyncIterator[client.PlatformClient]:
    transport = httpx.ASGITransport(platform.create_app(state))
    async with httpx.AsyncClient(
        transport=transport, base_url="http://platform"
    ) as http:
        yield client.PlatformClient(http, 1.0)


class TestUpdate:
    """Conditional updates."""

    async def test_lost_response_is_resolved_by_the_operation_id(
        self,
        state: platform.PlatformState,
        platform_client: client.PlatformClient,
    ):
        """Guards against a second write after a response was lost."""
        state.faults.lose_answers = 1
        update = await platform_client.update("k", "n", b"1", 0, "mine")
        assert update.unwrap().version == 1
        assert state.calls.writes == 2

    async def test_update_of_an_old_version_conflicts(
        self, platform_client: client.PlatformClient
    ):
        """Guards against an update that overwrites another one."""
        await platform_client.update("k", "n", b"1", 0, "first")
        update = await platform_client.update("k", "n", b"2", 0, "second")
        assert update.unwrap_err() == exceptions.Conflict("k", "n", 0, 1)

    async def test_unanswered_update_has_unknown_outcome(
        self,
        state: platform.PlatformState,
        platform_client: client.PlatformClient,
    ):
        """Guards against an outage that is reported as a refused update."""
        state.faults.down = True
        update = await platform_client.update("k", "n", b"1", 0, "mine")
        assert isinstance(update.unwrap_err(), exceptions.OutcomeUnknown)
