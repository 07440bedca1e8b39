"""A server that begins to drain while a gateway lists the servers.

The gateway is killed and starts again while its link loses packets. The second
page of its listing of the servers is asked for late, because a packet had to be
sent again. Meanwhile a server of the first page reports that it is draining.
It goes on serving for some seconds, and then exits.
"""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent))

import rig_caller  # noqa: E402
import rig_gateway  # noqa: E402
import rig_http  # noqa: E402
import rig_link  # noqa: E402
import rig_server  # noqa: E402
import rig_store  # noqa: E402

_SERVERS = 520
# Time until a lost packet is sent again, and from the loss to the report of
# the server, in seconds.
_RESEND_S = 0.4
_REPORT_S = 0.15
# The machine is in touch again after this time without disruption, in seconds.
_CONTACT_S = 3.0
_DRAIN_S = 2.0
_LOSSY_S = 5.5
# The server exits so long after the machine is in touch again, in seconds, and
# requests are sent for a second longer.
_EXIT_S = 5.0
_JUDGED_S = _EXIT_S + 1.0
# Time that an order takes at its server, in seconds.
_WORK_S = 0.15
_CALLERS = 24
_DEADLINE_MS = 2500


class _Trouble:
    """Delays one request, and has a server drain meanwhile."""

    def __init__(
        self, store: rig_store.Store, server: rig_server.Server
    ) -> None:
        """Creates the trouble; it begins once `is_active` is set."""
        self._store = store
        self._server = server
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_active = False
        self.drained_s: float | None = None

    def choose_delay_s(self, data: bytes) -> float:
        """Delays the request for the second page of the servers, once."""
        is_page = data.startswith(b"GET /berylweir/objects/servers?after=")
        if not self.is_active or not is_page:
            return 0.0
        self.is_active = False
        task = asyncio.create_task(self._report_later())
        self._tasks.add(task)
        return _RESEND_S

    async def _report_later(self) -> None:
        await asyncio.sleep(_REPORT_S)
        await self.report()

    async def report(self) -> None:
        """Has the server report that it is draining."""
        await self._store.put(
            "servers",
            self._server.name,
            self._server.spec(),
            rig_server.status("draining"),
        )
        self.drained_s = time.monotonic()


async def _play(folder: pathlib.Path, *, has_trouble: bool) -> int:
    # All servers but three belong to other services.
    servers = [
        rig_server.Server(
            f"server-{n:03}",
            "orders" if n < 3 else f"other-{n % 40}",
            work_s=_WORK_S,
        )
        for n in range(_SERVERS)
    ]
    leaving = servers[0]
    store = rig_store.Store(answer_s=0.004)
    trouble = _Trouble(store, leaving)
    async with contextlib.AsyncExitStack() as stack:
        store_listener = rig_http.Listener(store.handle)
        stack.callback(store_listener.stop)
        link = rig_link.Link(
            await store_listener.start(), trouble.choose_delay_s
        )
        stack.callback(link.stop)
        link_port = await link.start()
        for server in servers:
            await server.listener.start()
            stack.callback(server.listener.stop)
            await store.put(
                "servers", server.name, server.spec(), rig_server.status()
            )
        await store.put(
            "config",
            "main",
            rig_gateway.configuration(
                sorted({server.service for server in servers}),
                [("order", "orders", "unsafe")],
            ),
        )
        gateway = rig_gateway.Gateway("edge-1", link_port, folder)
        stack.push_async_callback(gateway.kill)
        await gateway.start()
        await gateway.wait_until_ready()
        await asyncio.sleep(_CONTACT_S)
        disturbed_s = time.monotonic()
        if has_trouble:
            await gateway.kill()
            trouble.is_active = True
            await gateway.start()
            await gateway.wait_until_ready()
            await asyncio.sleep(
                max(0.0, disturbed_s + _LOSSY_S - time.monotonic())
            )
        else:
            await trouble.report()
        if trouble.drained_s is None:
            raise TimeoutError("the gateway didn't ask for a second page")
        in_touch_s = max(
            time.monotonic() + _CONTACT_S, trouble.drained_s + _DRAIN_S
        )
        end_s = in_touch_s + _JUDGED_S
        callers = [
            rig_caller.Caller(gateway.host, gateway.front, _DEADLINE_MS)
            for _ in range(_CALLERS)
        ]
        exits = asyncio.get_running_loop().call_later(
            in_touch_s + _EXIT_S - time.monotonic(), leaving.listener.stop
        )
        stack.callback(exits.cancel)
        await asyncio.gather(*(_call(caller, end_s) for caller in callers))
        for caller in callers:
            caller.close()
    return _judge(servers[:3], leaving, callers, trouble.drained_s, in_touch_s)


async def _call(caller: rig_caller.Caller, end_s: float) -> None:
    number = 0
    while time.monotonic() < end_s:
        number += 1
        await caller.read(await caller.send("POST", f"/order/{number}"))
        await asyncio.sleep(0.03)


def _judge(
    servers: list[rig_server.Server],
    leaving: rig_server.Server,
    callers: list[rig_caller.Caller],
    drained_s: float,
    in_touch_s: float,
) -> int:
    """Writes the record, and returns the exit status."""
    sent = [s for caller in callers for s in caller.sent]
    served = sum(s.is_complete and s.status == 200 for s in sent)
    late = [run for run in leaving.runs if run.began_s > in_touch_s]
    late_ids = {run.request_id for run in late}
    cut = [s for s in sent if s.request_id in late_ids and s.status != 200]
    summary = (
        f"{len(sent)} requests sent, {served} answered with 200; {leaving.name}"
        f" ran {len(late)} requests from {in_touch_s - drained_s:.1f} s after"
        f" it was draining on (the rule allows none from {_DRAIN_S} s on);"
        f" {len(cut)} of these orders were cut off when it exited"
    )
    lines = ["server request began_s_after_draining"]
    lines += [
        f"{server.name} {run.request_id} {run.began_s - drained_s:.3f}"
        for server in servers
        for run in server.runs
    ]
    (_FOLDER / "record.txt").write_text(
        "\n".join((summary, *lines, "")), encoding="utf-8"
    )
    print(summary)
    if served < len(sent) / 2:
        print("the requests weren't served", file=sys.stderr)
        return 2
    return 1 if late else 0


def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(
                _play(pathlib.Path(folder), has_trouble=has_trouble)
            )
        except (OSError, TimeoutError) as error:
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return 2
    print(f"{time.monotonic() - started_s:.1f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
