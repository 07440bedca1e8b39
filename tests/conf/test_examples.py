"""Tests of the example files and of the settings reference."""

import collections
import pathlib

import pytest

from berylweir.conf import loading
from berylweir.conf import reference
from berylweir.ctl import decisions
from berylweir.ctl import program

_ROOT = pathlib.Path(__file__).parents[2]
_MAIPO_SERVERS = {
    "availability": 18,
    "booking": 8,
    "certificates": 6,
    "draw": 6,
}
_PRAIRIE_SERVERS = {"stock": 14, "orders": 9, "patterns": 6, "sizing": 6}


class TestExamples:
    """The example files, with the sizes in the design page."""

    @pytest.mark.parametrize("name", ["maipo", "prairie"])
    def test_files_are_valid(self, name: str):
        """Guards against examples that `berylweirctl check` rejects."""
        for suffix in ("ini", "toml"):
            file = _ROOT / "examples" / f"{name}.{suffix}"
            assert program.run(["check", str(file)]) == 0

    @pytest.mark.parametrize(
        ("name", "servers", "slots", "connections"),
        [
            ("maipo", _MAIPO_SERVERS, 3, 120),
            ("prairie", _PRAIRIE_SERVERS, 6, 110),
        ],
    )
    def test_sizes_are_those_of_the_design(
        self, name: str, servers: dict[str, int], slots: int, connections: int
    ):
        """Guards against limits other than those of the backend servers."""
        text = (_ROOT / "examples" / f"{name}.toml").read_text()
        manifest = decisions.parse_manifest(
            text, toml=True, source=name
        ).unwrap()
        servers_by_group = collections.Counter(
            s.group for s in manifest.backend_server
        )
        assert servers_by_group == servers
        assert {(g.slots, g.connections) for g in manifest.server_group} == {
            (slots, connections)
        }
        assert len(manifest.vm) == 9
        assert len(manifest.availability_zone) == 3

    @pytest.mark.parametrize("name", ["maipo", "prairie"])
    def test_one_zone_may_leave(self, name: str):
        """Guards against a `spare_servers` that keeps a zone in service."""
        text = (_ROOT / "examples" / f"{name}.toml").read_text()
        manifest = decisions.parse_manifest(
            text, toml=True, source=name
        ).unwrap()
        for group in manifest.server_group:
            servers_by_zone = collections.Counter(
                s.availability_zone
                for s in manifest.backend_server
                if s.group == group.name
            )
            servers_without_largest_zone = servers_by_zone.total() - max(
                servers_by_zone.values()
            )
            assert group.spare_servers == servers_without_largest_zone


class TestReference:
    """The settings reference."""

    def test_page_is_up_to_date(self):
        """Guards against a reference that was not generated again."""
        page = _ROOT / "docs" / "reference" / "settings.md"
        assert page.read_text() == reference.render()

    def test_settings_of_two_listeners_differ(self):
        """Guards against a status port that another listener uses."""
        faults = loading.parse(
            "[vm]\nname = v\navailability_zone = a\n"
            "[platform]\nurl = http://127.0.0.1:1\n"
            "[keeper]\nstatus_port = 7102\n"
        ).unwrap_err()
        assert [f.id for f in faults] == ["conf.E104"]
