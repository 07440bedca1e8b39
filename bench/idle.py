"""Measures what idle gateways cost: start, processor time and wake-ups."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import statistics
import tempfile

import defopt

from berylweir.soak import gateways
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_SERVER_COUNT = 8
# Time after which all gateways have registered and chosen whom to follow, in
# seconds.
_SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used since its start.

    Attributes:
        cpu_s: Processor time, in seconds.
        wake_ups: Number of times that one of its threads stopped waiting.
    """

    cpu_s: float
    wake_ups: int


def read_usage(pid: int) -> Usage:
    """Returns what a process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user_ticks, system_ticks = (int(f) for f in fields.split()[11:13])
    wake_ups = 0
    for status in pathlib.Path(f"/proc/{pid}/task").glob("*/status"):
        for line in status.read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                wake_ups += int(line.split()[1])
    return Usage(
        (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK"), wake_ups
    )


async def _measure(gateway_count: int, seconds: float) -> None:
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        store = store_standin.Store()
        store_port = await http.listen(stack, store.handle)
        await store.put(
            "config",
            "main",
            server_standin.configuration_spec(
                {"books": False}, [server_standin.route_spec("r", "books")]
            ),
        )
        for number in range(_SERVER_COUNT):
            server = server_standin.Server(f"s{number}")
            port = await http.listen(stack, server.handle)
            await store.put(
                "servers",
                f"s{number}",
                server_standin.server_spec(f"s{number}", "books", port),
            )
        started = [
            gateways.Gateway(vm, store_port, directory)
            for vm in range(gateway_count)
        ]
        for gateway in started:
            await gateway.start(stack)
        await asyncio.sleep(_SETTLE_S)
        before = [read_usage(gateway.pid) for gateway in started]
        await asyncio.sleep(seconds)
        after = [read_usage(gateway.pid) for gateway in started]
    _report(seconds, before, after)


def _report(seconds: float, before: list[Usage], after: list[Usage]) -> None:
    """Prints the cost of a start and of being idle.

    Args:
        seconds: Time between the two readings, in seconds.
        before: Usage of each gateway at the first reading.
        after: Usage of each gateway at the second reading.
    """
    pairs = list(zip(before, after, strict=True))
    cpu_ms = [1000.0 * (b.cpu_s - a.cpu_s) / seconds for a, b in pairs]
    wake_ups = [(b.wake_ups - a.wake_ups) / seconds for a, b in pairs]
    start_s = statistics.mean(usage.cpu_s for usage in before)
    print(f"gateways: {len(pairs)}")
    print(f"processor time until settled: {start_s:.2f} s")
    for name, values in (
        ("processor time in ms per second", cpu_ms),
        ("wake-ups per second", wake_ups),
    ):
        print(
            f"{name}: median {statistics.median(values):.1f},"
            f" highest {max(values):.1f}"
        )


def idle(*, gateways: int = 8, seconds: float = 20.0) -> None:
    """Prints the cost of idle gateways that run as processes.

    Args:
        gateways: Number of gateways.
        seconds: Time over which they are observed.
    """
    asyncio.run(_measure(gateways, seconds))


if __name__ == "__main__":
    defopt.run(idle)
