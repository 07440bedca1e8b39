"""Measures how long an accepted change takes to be in force on every VM.

Two operators change the same objects through two administration APIs, the
platform loses some answers, and one entry VM is restarted meanwhile. All parts
run in this process. The time of a change runs from the sending of its request
to the moment at which the last entry VM was seen with its version.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Any
import uuid

import httpx
import msgspec
import uvloop

from berylweir.api import supervisor
from berylweir.conf import schemas as conf
from berylweir.keeper.status import schemas as status
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.observability import logs
from berylweir.standin import deployment

CHANGES = 200
VMS = 9
TARGET_S = 6.0
_RESULT = pathlib.Path(__file__).parent / "results" / "rollout.json"
_POLL_S = 0.05
_PAUSE_S = 0.1
_LOSE_EVERY = 10
_RESTART_AT = CHANGES // 2
_RESTART_DOWN_S = 1.0
_LIMIT_S = 120.0
_TOKEN = "bench"


@dataclasses.dataclass(slots=True)
class Accepted:
    """A change that the API accepted.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version that the change made.
        sent_s: When its request was sent, on the monotonic clock.
        seen: When each VM was first seen with it or a newer version.
    """

    kind: str
    name: str
    version: int
    sent_s: float
    seen: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Report:
    """What the run has seen."""

    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    unknown: int = 0
    refused: list[str] = dataclasses.field(default_factory=list)
    reverts: list[str] = dataclasses.field(default_factory=list)
    polls: int = 0


class Monitor:
    """Polls the keeper of each VM and notes versions in force."""

    def __init__(self, report: Report, ports: dict[str, int]) -> None:
        """Creates a monitor of the status ports by VM name."""
        self._report = report
        self._ports = ports
        self._highest: dict[tuple[str, str, str], int] = {}

    async def run(self) -> None:
        """Runs until cancelled."""
        async with (
            httpx.AsyncClient(timeout=1.0) as client,
            asyncio.TaskGroup() as group,
        ):
            for vm in self._ports:
                group.create_task(self._follow(client, vm))

    async def _follow(self, client: httpx.AsyncClient, vm: str) -> None:
        while True:
            with contextlib.suppress(httpx.HTTPError, msgspec.MsgspecError):
                answer = await client.get(
                    f"http://127.0.0.1:{self._ports[vm]}/in-force"
                )
                self._note(
                    vm,
                    msgspec.json.decode(
                        answer.content, type=status.ObjectsInForce
                    ),
                )
            await asyncio.sleep(_POLL_S)

    def _note(self, vm: str, found: status.ObjectsInForce) -> None:
        self._report.polls += 1
        now = time.monotonic()
        versions = {(o.kind, o.name): o.version for o in found.objects}
        for (kind, name), version in versions.items():
            key = (vm, kind, name)
            if version < self._highest.get(key, 0):
                self._report.reverts.append(
                    f"{vm} {kind}/{name}: {self._highest[key]} -> {version}"
                )
            self._highest[key] = max(version, self._highest.get(key, 0))
        for change in self._report.accepted:
            if vm not in change.seen and (
                versions.get((change.kind, change.name), 0) >= change.version
            ):
                change.seen[vm] = now


async def operate(
    number: int,
    client: httpx.AsyncClient,
    running: deployment.Deployment,
    report: Report,
) -> None:
    """Makes changes until enough were accepted."""
    targets = [
        ("server_group", "stock"),
        ("availability_zone", "a"),
        ("availability_zone", "b"),
    ]
    turn = 0
    while len(report.accepted) < CHANGES:
        kind, name = targets[turn % len(targets)]
        turn += 1
        if turn % _LOSE_EVERY == 0:
            running.platform.faults.lose_answers += 1
        headers = {"Berylweir-Change-Id": uuid.uuid4().hex}
        path = f"/v1/objects/{kind}/{name}"
        if turn % 2:
            found = await client.get(path)
            headers["If-Match"] = found.headers.get("ETag", "")
        sent_s = time.monotonic()
        answer = await client.patch(
            f"{path}/labels",
            json={"set": {f"operator-{number}": str(turn)}},
            headers=headers,
        )
        match answer.status_code:
            case 200:
                report.accepted.append(
                    Accepted(kind, name, answer.json()["version"], sent_s)
                )
            case 412:
                report.conflicts += 1
            case 504:
                report.unknown += 1
            case _:
                report.refused.append(answer.text)
        await asyncio.sleep(_PAUSE_S)


async def restart_one(running: deployment.Deployment, report: Report) -> None:
    """Restarts the last entry VM when half of the changes are accepted."""
    while len(report.accepted) < _RESTART_AT:  # noqa: ASYNC110
        await asyncio.sleep(_POLL_S)
    settings = await running.kill_vm(f"vm-{VMS - 1}")
    await asyncio.sleep(_RESTART_DOWN_S)
    await running.start_vm(settings)


async def _run() -> tuple[Report, dict[str, Any]]:
    stock = deployment.GroupSpec(
        schemas.ServerGroup("stock", schemas.Keyed(slices=64)), "/stock/", 6
    )
    report = Report()
    async with (
        deployment.Deployment((stock,), vms=VMS) as running,
        contextlib.AsyncExitStack() as stack,
    ):
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        tokens = pathlib.Path(directory) / "tokens.ini"
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        tokens.write_text(
            f"[bench]\ntoken_sha256 = {digest}\nrole = administrator\n"
        )
        clients = []
        for entry in list(running.vms.values())[:2]:
            port = entry.settings.api.port
            tree = supervisor.build(
                msgspec.structs.replace(
                    entry.settings, api=conf.ApiSection(port, str(tokens))
                ),
                counters.Counters(),
            )
            runner = deployment.ChildRunner(tree.run)
            stack.push_async_callback(runner.kill)
            await runner.start()
            client = httpx.AsyncClient(
                base_url=f"http://127.0.0.1:{port}",
                headers={"Authorization": f"Bearer {_TOKEN}"},
                timeout=30.0,
            )
            clients.append(await stack.enter_async_context(client))
        ports = {
            n: vm.settings.keeper.status_port for n, vm in running.vms.items()
        }
        monitoring = asyncio.create_task(Monitor(report, ports).run())
        stack.callback(monitoring.cancel)
        began_s = time.monotonic()
        async with asyncio.timeout(_LIMIT_S), asyncio.TaskGroup() as group:
            for number, client in enumerate(clients):
                group.create_task(operate(number, client, running, report))
            group.create_task(restart_one(running, report))
        took_s = time.monotonic() - began_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2 * TARGET_S):
                while any(  # noqa: ASYNC110
                    len(c.seen) < VMS for c in report.accepted
                ):
                    await asyncio.sleep(_POLL_S)
        summary = _summary(report, took_s)
    return report, summary


def _summary(report: Report, took_s: float) -> dict[str, Any]:
    complete = [c for c in report.accepted if len(c.seen) == VMS]
    times = sorted(max(c.seen.values()) - c.sent_s for c in complete)
    made = {(c.kind, c.name, c.version) for c in report.accepted}

    def quantile(share: float) -> float:
        return round(times[min(len(times) - 1, int(share * len(times)))], 3)

    return {
        "vms": VMS,
        "accepted": len(report.accepted),
        "distinct_versions": len(made),
        "in_force_everywhere": len(complete),
        "conflicts": report.conflicts,
        "unknown_outcomes": report.unknown,
        "refused": len(report.refused),
        "reverts": len(report.reverts),
        "p50_s": quantile(0.50),
        "p99_s": quantile(0.99),
        "max_s": round(times[-1], 3),
        "target_s": TARGET_S,
        "poll_s": _POLL_S,
        "polls": report.polls,
        "took_s": round(took_s, 1),
        "load_average_1min": round(os.getloadavg()[0], 1),
    }


def main() -> int:
    """Runs the measurement; the exit code is 0 if it met the target."""
    logs.configure("ERROR")
    report, summary = uvloop.run(_run())
    _RESULT.write_text(json.dumps(summary, indent=2) + "\n")
    print(json.dumps(summary, indent=2))
    for line in (report.reverts + report.refused)[:10]:
        print(line, file=sys.stderr)
    good = (
        summary["in_force_everywhere"] == summary["accepted"]
        and summary["distinct_versions"] == summary["accepted"]
        and not report.reverts
        and not report.refused
        and summary["max_s"] <= TARGET_S
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
