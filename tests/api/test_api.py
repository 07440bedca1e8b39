"""Tests of the administration API over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import pathlib

import httpx
import pytest

from berylweir.objects import schemas
from tests.api import api_deployment

_ZONE_A = "/v1/availability_zones/a"


@pytest.fixture
async def cluster(
    tmp_path: pathlib.Path,
) -> AsyncIterator[api_deployment.ApiDeployment]:
    async with api_deployment.run_api_deployment(tmp_path) as deployment:
        yield deployment


async def _wait_for_assigned_partition(
    cluster: api_deployment.ApiDeployment,
) -> None:
    async with asyncio.timeout(10):
        while True:
            partition = cluster.standin.partition("stock.0")
            if (
                partition is not None
                and partition.slices
                and all(isinstance(s, schemas.Owned) for s in partition.slices)
            ):
                return
            await asyncio.sleep(0.02)


class TestObjects:
    """Requests that read and change objects."""

    async def test_object_is_created_changed_and_deleted(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against an object that can't be created or removed."""
        path = "/v1/objects/availability_zone/d"
        body = {"name": "d", "labels": {"tier": "one"}}
        create_response = await cluster.api.put(
            path, json=body, headers={"If-None-Match": "*"}
        )
        assert (
            create_response.status_code,
            create_response.headers["etag"],
        ) == (200, '"1"')
        patch_response = await cluster.api.patch(
            f"{path}/labels", json={"set": {"a": "b"}, "remove": ["tier"]}
        )
        assert patch_response.json()["value"]["labels"] == {"a": "b"}
        response = await cluster.second_api.get(path)
        assert response.headers["etag"] == '"2"'
        list_response = await cluster.api.get("/v1/objects/availability_zone")
        assert [v["name"] for v in list_response.json()["items"]] == list(
            "abcd"
        )
        assert (await cluster.api.delete(path)).status_code == 200
        assert (await cluster.api.get(path)).status_code == 404

    async def test_invalid_object_is_a_typed_problem(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a stored object that keepers can't decode."""
        response = await cluster.api.put(
            "/v1/objects/availability_zone/d", json={"name": "d", "x": 1}
        )
        assert response.status_code == 422
        assert response.headers["content-type"] == "application/problem+json"
        assert response.json()["type"] == "urn:berylweir:problem:invalid"

    async def test_unknown_parameter_type_is_a_problem(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against an error that isn't problem+json."""
        response = await cluster.api.post(f"{_ZONE_A}/out?dry_run=perhaps")
        assert response.status_code == 400
        assert response.headers["content-type"] == "application/problem+json"

    async def test_schema_describes_the_paths(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against an OpenAPI document that can't be generated."""
        response = await cluster.api.get("/schema/openapi.json")
        assert "/v1/objects/{kind}/{name}" in response.json()["paths"]


class TestConflicts:
    """Concurrent changes of two operators."""

    async def test_conflict_names_the_winning_change(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a conflict without the operator who caused it."""
        path = "/v1/objects/server_group/stock/labels"
        version = await cluster.version("server_group", "stock")
        winning_response = await cluster.api.patch(
            path,
            json={"set": {"x": "1"}},
            headers={"If-Match": f'"{version}"'}
            | api_deployment.auth_header("berta")
            | {"Berylweir-Change-Id": "first"},
        )
        assert winning_response.status_code == 200
        losing_response = await cluster.second_api.patch(
            path,
            json={"set": {"x": "2"}},
            headers={"If-Match": f'"{version}"'},
        )
        assert losing_response.status_code == 412
        detail = losing_response.json()["detail"]
        assert (detail["found"], detail["lost_to"], detail["by"]) == (
            version + 1,
            "first",
            "berta",
        )

    async def test_concurrent_unconditional_changes_are_all_applied(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a label that a concurrent change overwrites."""
        path = "/v1/objects/server_group/stock/labels"
        responses = await asyncio.gather(
            *(
                api.patch(path, json={"set": {f"l{i}": "1"}})
                for i, api in enumerate([cluster.api, cluster.second_api] * 4)
            )
        )
        assert {r.status_code for r in responses} == {200}
        response = await cluster.api.get("/v1/objects/server_group/stock")
        assert len(response.json()["value"]["labels"]) == 8

    async def test_concurrent_changes_cant_both_exhaust_capacity(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a capacity check that ignores a concurrent change."""
        responses = await asyncio.gather(
            cluster.api.post(f"{_ZONE_A}/out"),
            cluster.second_api.post("/v1/availability_zones/b/out"),
        )
        assert sorted(r.status_code for r in responses) == [200, 409]


class TestRepeats:
    """Repeated requests with the same change id."""

    async def test_repeat_after_a_lost_response_is_harmless(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a repeated request that reverts a later change."""
        change = {"Berylweir-Change-Id": "c1"}
        cluster.standin.platform.faults.lose_answers = 2
        first = await cluster.api.post(f"{_ZONE_A}/out", headers=change)
        await cluster.api.post(f"{_ZONE_A}/back")
        second = await cluster.second_api.post(f"{_ZONE_A}/out", headers=change)
        assert (first.status_code, second.status_code) == (200, 200)
        assert second.json()["repeated"]
        response = await cluster.api.get("/v1/objects/availability_zone/a")
        assert response.json()["value"]["in_service"]

    async def test_reused_change_id_is_refused(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a change that is mistaken for an earlier one."""
        change = {"Berylweir-Change-Id": "c1"}
        await cluster.api.post(f"{_ZONE_A}/out", headers=change)
        response = await cluster.api.post(f"{_ZONE_A}/back", headers=change)
        assert response.status_code == 409
        assert response.json()["type"].endswith("change-id-reused")


class TestCapacity:
    """The capacity check, dry runs and forced changes."""

    async def test_drain_below_spare_servers_needs_force(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a drain that silently leaves too few servers."""
        first = await cluster.api.post("/v1/backend_servers/stock-0/drain")
        assert first.json()["capacity"] == [
            {
                "group": "stock",
                "partition": None,
                "before": 3,
                "after": 2,
                "required": 2,
            }
        ]
        path = "/v1/backend_servers/stock-1/drain"
        refusal = await cluster.api.post(path)
        assert refusal.status_code == 409
        figures = refusal.json()["detail"]["groups"][0]
        assert (figures["after"], figures["required"]) == (1, 2)
        no_reason = await cluster.api.post(f"{path}?force=true")
        assert no_reason.status_code == 422
        forced_response = await cluster.api.post(
            path, params={"force": "true", "reason": "rack replaced"}
        )
        assert forced_response.status_code == 200

    async def test_dry_run_plans_and_applies_nothing(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a dry run that changes the object."""
        await _wait_for_assigned_partition(cluster)
        before = await cluster.version("availability_zone", "a")
        response = await cluster.api.post(f"{_ZONE_A}/out?dry_run=true")
        body = response.json()
        assert not body["applied"]
        assert {m["source"] for m in body["moves"]} == {"stock-0"}
        assert body["slices_moving"] in (5, 6)
        assert await cluster.version("availability_zone", "a") == before


class TestPermission:
    """Roles and teams."""

    @pytest.mark.parametrize(
        ("operator", "path", "status"),
        [
            ("ana", f"{_ZONE_A}/out", 200),
            ("berta", f"{_ZONE_A}/out", 403),
            ("berta", "/v1/backend_servers/stock-0/drain", 200),
            ("carla", "/v1/backend_servers/stock-0/drain", 403),
            ("dora", "/v1/backend_servers/stock-0/drain", 403),
            ("nobody", f"{_ZONE_A}/out", 401),
        ],
    )
    async def test_team_changes_only_its_own_objects(
        self,
        cluster: api_deployment.ApiDeployment,
        operator: str,
        path: str,
        status: int,
    ):
        """Guards against a team that drains another team's servers."""
        response = await cluster.api.post(
            path, headers=api_deployment.auth_header(operator)
        )
        assert response.status_code == status

    async def test_team_cant_give_itself_a_group(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a team that takes over another team's group."""
        response = await cluster.api.put(
            "/v1/objects/server_group/stock",
            json={
                "name": "stock",
                "routing": {"type": "keyed", "slices": 16},
                "team": "orders",
            },
            headers=api_deployment.auth_header("carla"),
        )
        assert response.status_code == 403


class TestHistory:
    """Who changed what, when and why."""

    async def test_change_is_recorded(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a change without its operator and reason on record."""
        await cluster.api.post(f"{_ZONE_A}/out", params={"reason": "drill"})
        response = await cluster.second_api.get("/v1/changes?name=a")
        record = response.json()["items"][0]
        assert (record["operator"], record["action"], record["reason"]) == (
            "ana",
            "zone-out",
            "drill",
        )
        assert (record["state"], record["version"]) == ("applied", 2)


class TestOutage:
    """The API while the platform is down."""

    async def test_reads_return_objects_in_force(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against an API that can't read anything during an outage."""
        await _wait_for_assigned_partition(cluster)
        cluster.standin.platform.faults.down = True
        cluster.standin.platform.wake_watches()
        refusal = await cluster.api.post(f"{_ZONE_A}/out")
        assert refusal.status_code == 503
        assert refusal.json()["type"].endswith("platform-down")
        assert refusal.json()["detail"]["in_force"] == 1
        response = await cluster.api.get("/v1/objects/availability_zone/a")
        assert response.headers["berylweir-platform"] == "down"
        assert response.json()["value"]["in_service"]
        explain_response = await cluster.api.get(
            "/v1/explain", params={"path": "/stock/x", "key": "k"}
        )
        assert explain_response.json()["state"] == "owned"


class TestRollout:
    """Versions in force on all entry VMs."""

    async def test_vm_without_answer_is_listed(
        self, cluster: api_deployment.ApiDeployment
    ):
        """Guards against a rollout that omits a VM that doesn't respond."""

        async def rollout() -> httpx.Response:
            return await cluster.api.get("/rollout/availability_zone/a")

        await cluster.api.post(f"{_ZONE_A}/out")
        async with asyncio.timeout(10):
            while not (await rollout()).json()["complete"]:
                await asyncio.sleep(0.02)
        await cluster.standin.kill_vm("vm-1")
        rollout_report = (await rollout()).json()
        assert not rollout_report["complete"]
        assert [(v["vm"], v["version"]) for v in rollout_report["vms"]] == [
            ("vm-0", 2),
            ("vm-1", None),
        ]
