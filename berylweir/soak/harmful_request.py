"""A request that crashes servers, and the check of what gateways do with it."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import itertools
import random

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.soak import statement_checks
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import server as server_standin

PATH = "/safe/harmful"
_ID_PREFIX = "harmful-"
_DEADLINE_MS = 1000
_TIMEOUT_S = 2.0
# Time between two attempts of the caller, in seconds.
_REPEAT_INTERVAL_S = 0.15
# Servers that may end under the request, and attempts that may reach servers
# later than the time in seconds after that.
_MAX_ENDED = 3
_MAX_LATE = 3
_CONTACT_S = 3.0


class HarmfulCaller:
    """Sends one request again and again, each time to any gateway."""

    def __init__(
        self, request_gateways: Sequence[gateways.Gateway], seed: str
    ) -> None:
        """Creates a caller that has sent nothing.

        Args:
            request_gateways: Gateways that it sends the request to.
            seed: Seed of the choice of the gateways.
        """
        self._gateways = request_gateways
        self._rng = random.Random(seed)
        self._ids = itertools.count()
        # Number of the VM that each attempt was sent to, by its id.
        self._vms: dict[str, int] = {}

    @property
    def vms(self) -> dict[str, int]:
        """Number of the VM that each attempt was sent to, by its id."""
        return self._vms

    async def run(self) -> None:
        """Sends the request until the task is cancelled."""
        async with asyncio.TaskGroup() as attempts:
            while True:
                gateway = self._rng.choice(self._gateways)
                request_id = f"{_ID_PREFIX}{next(self._ids)}"
                self._vms[request_id] = gateway.vm
                attempts.create_task(_send(gateway.port, request_id))
                await asyncio.sleep(_REPEAT_INTERVAL_S)


async def _send(port: int, request_id: str) -> None:
    request = caller.encode_request(
        PATH, request_id, _DEADLINE_MS, closes_connection=True
    )
    # The servers record whether the attempt reached them.
    with contextlib.suppress(OSError, TimeoutError, EOFError):
        async with asyncio.timeout(_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(request)
                await caller.read_response(reader)
            finally:
                writer.close()


def count_ended(servers: Iterable[server_standin.Server]) -> int:
    """Returns the number of servers that ended under the request."""
    return len(_ended_s(servers))


def _ended_s(servers: Iterable[server_standin.Server]) -> list[float]:
    return sorted(
        run.started_s
        for server in servers
        for run in server.executions
        if run.path == PATH
    )


def find_violations(
    servers: Iterable[server_standin.Server],
    vms: dict[str, int],
    interruptions: Sequence[models.Disruption],
    store_faults: Sequence[models.Disruption],
) -> list[str]:
    """Returns a line if the request reached servers for too long.

    Attempts at gateways that were restarted or frozen shortly before don't
    count, nor those at gateways that were restarted after the third end if the
    store was disturbed since then: neither it nor any other gateway may know of
    the request. Other faults don't excuse a gateway.

    Args:
        servers: The backend servers.
        vms: Number of the VM that each attempt was sent to, by its id.
        interruptions: Times in which processes of gateways didn't run.
        store_faults: Times in which the store or the links to it were
            disturbed.
    """
    known_servers = list(servers)
    ended_s = _ended_s(known_servers)
    if len(ended_s) < _MAX_ENDED:
        return []
    limit_s = ended_s[_MAX_ENDED - 1] + _CONTACT_S
    late = {
        arrival.request_id
        for server in known_servers
        for arrival in server.arrivals
        if arrival.request_id in vms
        and arrival.arrived_s > limit_s
        and not _is_excused(
            [d for d in interruptions if d.vm == vms[arrival.request_id]],
            store_faults,
            ended_s[_MAX_ENDED - 1],
            arrival.arrived_s,
        )
    }
    if len(late) <= _MAX_LATE:
        return []
    return [
        f"a request that had ended {_MAX_ENDED} servers reached servers in"
        f" {len(late)} attempts more; {len(ended_s)} ended in all"
    ]


def _is_excused(
    interruptions: Sequence[models.Disruption],
    store_faults: Sequence[models.Disruption],
    third_end_s: float,
    arrived_s: float,
) -> bool:
    """Returns whether a gateway may not know of the request."""
    return statement_checks.is_disrupted(
        interruptions, arrived_s - _CONTACT_S, arrived_s
    ) or (
        statement_checks.is_disrupted(interruptions, third_end_s, arrived_s)
        and statement_checks.is_disrupted(store_faults, third_end_s, arrived_s)
    )
