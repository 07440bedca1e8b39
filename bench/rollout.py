"""Measures how long an accepted change takes to be in force on every VM.

Two operators change the same objects through two administration APIs.
Meanwhile the platform loses the responses of some accepted writes, and one
entry VM is restarted. All of this runs in one process. The time of a change
starts when its request is sent and ends when a poll has shown its version or a
newer one on every entry VM.
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

ACCEPTED_CHANGES = 200
VM_COUNT = 9
TARGET_S = 6.0
_RESULT_FILE = pathlib.Path(__file__).parent / "results" / "rollout.json"
_POLL_INTERVAL_S = 0.05
_PAUSE_BETWEEN_CHANGES_S = 0.1
# Each operator lets one response be lost in this many changes.
_LOST_ANSWER_INTERVAL = 10
_RESTART_AFTER_CHANGES = ACCEPTED_CHANGES // 2
_VM_DOWN_S = 1.0
_RUN_TIMEOUT_S = 120.0
_TOKEN = "bench"


@dataclasses.dataclass(slots=True)
class AcceptedChange:
    """A change that the API accepted.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version of the object that the change created.
        sent_s: Time at which its request was sent, in seconds on the
            monotonic clock.
        first_seen_s: For each VM, the time of the first poll that showed this
            or a newer version, on the same clock.
    """

    kind: str
    name: str
    version: int
    sent_s: float
    first_seen_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Report:
    """Outcomes of all changes and polls.

    Attributes:
        accepted: Accepted changes.
        conflicts: Number of changes rejected because of a newer version.
        unknown: Number of changes with an unknown outcome.
        refused: Response texts of all other changes.
        reverts: Descriptions of VMs that went back to an older version.
        polls: Number of polls that got a response.
    """

    accepted: list[AcceptedChange] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    unknown: int = 0
    refused: list[str] = dataclasses.field(default_factory=list)
    reverts: list[str] = dataclasses.field(default_factory=list)
    polls: int = 0


class Monitor:
    """Polls the keeper of each VM for the versions that are in force."""

    def __init__(self, report: Report, ports: dict[str, int]) -> None:
        """Creates a monitor.

        Args:
            report: Receives the results.
            ports: Status port of the keeper of each VM, by VM name.
        """
        self._report = report
        self._ports = ports
        self._highest_versions: dict[tuple[str, str, str], int] = {}

    async def run(self) -> None:
        """Polls all VMs until cancelled."""
        async with (
            httpx.AsyncClient(timeout=1.0) as client,
            asyncio.TaskGroup() as group,
        ):
            for vm in self._ports:
                group.create_task(self._poll_vm(client, vm))

    async def _poll_vm(self, client: httpx.AsyncClient, vm: str) -> None:
        while True:
            with contextlib.suppress(httpx.HTTPError, msgspec.MsgspecError):
                response = await client.get(
                    f"http://127.0.0.1:{self._ports[vm]}/in-force"
                )
                self._record(
                    vm,
                    msgspec.json.decode(
                        response.content, type=status.ObjectsInForce
                    ),
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _record(self, vm: str, in_force: status.ObjectsInForce) -> None:
        self._report.polls += 1
        now = time.monotonic()
        versions = {(o.kind, o.name): o.version for o in in_force.objects}
        for (kind, name), version in versions.items():
            key = (vm, kind, name)
            if version < self._highest_versions.get(key, 0):
                self._report.reverts.append(
                    f"{vm} {kind}/{name}: "
                    f"{self._highest_versions[key]} -> {version}"
                )
            self._highest_versions[key] = max(
                version, self._highest_versions.get(key, 0)
            )
        for change in self._report.accepted:
            if vm not in change.first_seen_s and (
                versions.get((change.kind, change.name), 0) >= change.version
            ):
                change.first_seen_s[vm] = now


async def make_changes(
    number: int,
    client: httpx.AsyncClient,
    cluster: deployment.Deployment,
    report: Report,
) -> None:
    """Makes changes until both operators have 200 accepted in total.

    Every second change is conditional on the current version (`If-Match`).
    """
    objects = [
        ("server_group", "stock"),
        ("availability_zone", "a"),
        ("availability_zone", "b"),
    ]
    attempt = 0
    while len(report.accepted) < ACCEPTED_CHANGES:
        kind, name = objects[attempt % len(objects)]
        attempt += 1
        if attempt % _LOST_ANSWER_INTERVAL == 0:
            cluster.platform.faults.lose_answers += 1
        headers = {"Berylweir-Change-Id": uuid.uuid4().hex}
        path = f"/v1/objects/{kind}/{name}"
        if attempt % 2:
            current = await client.get(path)
            headers["If-Match"] = current.headers.get("ETag", "")
        sent_s = time.monotonic()
        response = await client.patch(
            f"{path}/labels",
            json={"set": {f"operator-{number}": str(attempt)}},
            headers=headers,
        )
        match response.status_code:
            case 200:
                report.accepted.append(
                    AcceptedChange(
                        kind, name, response.json()["version"], sent_s
                    )
                )
            case 412:
                report.conflicts += 1
            case 504:
                report.unknown += 1
            case _:
                report.refused.append(response.text)
        await asyncio.sleep(_PAUSE_BETWEEN_CHANGES_S)


async def restart_last_vm(
    cluster: deployment.Deployment, report: Report
) -> None:
    """Restarts the last entry VM once half of the changes are accepted."""
    while len(report.accepted) < _RESTART_AFTER_CHANGES:  # noqa: ASYNC110
        await asyncio.sleep(_POLL_INTERVAL_S)
    settings = await cluster.kill_vm(f"vm-{VM_COUNT - 1}")
    await asyncio.sleep(_VM_DOWN_S)
    await cluster.start_vm(settings)


async def _run() -> tuple[Report, dict[str, Any]]:
    stock = deployment.GroupSpec(
        schemas.ServerGroup("stock", schemas.Keyed(slices=64)), "/stock/", 6
    )
    report = Report()
    async with (
        deployment.Deployment((stock,), vms=VM_COUNT) as cluster,
        contextlib.AsyncExitStack() as stack,
    ):
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        tokens = pathlib.Path(directory) / "tokens.ini"
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        tokens.write_text(
            f"[bench]\ntoken_sha256 = {digest}\nrole = administrator\n"
        )
        clients = []
        for vm in list(cluster.vms.values())[:2]:
            port = vm.settings.api.port
            tree = supervisor.build(
                msgspec.structs.replace(
                    vm.settings, api=conf.ApiSection(port, str(tokens))
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
            n: vm.settings.keeper.status_port for n, vm in cluster.vms.items()
        }
        monitor_task = asyncio.create_task(Monitor(report, ports).run())
        stack.callback(monitor_task.cancel)
        start_s = time.monotonic()
        async with (
            asyncio.timeout(_RUN_TIMEOUT_S),
            asyncio.TaskGroup() as group,
        ):
            for number, client in enumerate(clients):
                group.create_task(make_changes(number, client, cluster, report))
            group.create_task(restart_last_vm(cluster, report))
        duration_s = time.monotonic() - start_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2 * TARGET_S):
                while any(  # noqa: ASYNC110
                    len(c.first_seen_s) < VM_COUNT for c in report.accepted
                ):
                    await asyncio.sleep(_POLL_INTERVAL_S)
        summary = _summarize(report, duration_s)
    return report, summary


def _summarize(report: Report, duration_s: float) -> dict[str, Any]:
    in_force = [c for c in report.accepted if len(c.first_seen_s) == VM_COUNT]
    times = sorted(max(c.first_seen_s.values()) - c.sent_s for c in in_force)
    distinct_versions = {(c.kind, c.name, c.version) for c in report.accepted}

    def quantile(share: float) -> float:
        return round(times[min(len(times) - 1, int(share * len(times)))], 3)

    return {
        "vms": VM_COUNT,
        "accepted": len(report.accepted),
        "distinct_versions": len(distinct_versions),
        "in_force_everywhere": len(in_force),
        "conflicts": report.conflicts,
        "unknown_outcomes": report.unknown,
        "refused": len(report.refused),
        "reverts": len(report.reverts),
        "p50_s": quantile(0.50),
        "p99_s": quantile(0.99),
        "max_s": round(times[-1], 3),
        "target_s": TARGET_S,
        "poll_s": _POLL_INTERVAL_S,
        "polls": report.polls,
        "took_s": round(duration_s, 1),
        "load_average_1min": round(os.getloadavg()[0], 1),
    }


def main() -> int:
    """Runs the measurement; returns exit code 0 if it meets the target."""
    logs.configure("ERROR")
    report, summary = uvloop.run(_run())
    _RESULT_FILE.write_text(json.dumps(summary, indent=2) + "\n")
    print(json.dumps(summary, indent=2))
    for line in (report.reverts + report.refused)[:10]:
        print(line, file=sys.stderr)
    is_target_met = (
        summary["in_force_everywhere"] == summary["accepted"]
        and summary["distinct_versions"] == summary["accepted"]
        and not report.reverts
        and not report.refused
        and summary["max_s"] <= TARGET_S
    )
    return 0 if is_target_met else 1


if __name__ == "__main__":
    sys.exit(main())
