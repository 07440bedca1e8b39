"""Tests of the platform's settings file."""

import pathlib

import result

from berylweir.gateway import models
from berylweir.platform import settings

_TEXT = """
node = "edge-a-1"
ip = "10.1.0.15"
zone = "a"
portRange = [7620, 7635]
bounds = ["retryRatio=0.25", "graceS=6", "unknown=1"]
future = "field"
[listen]
front = "10.1.0.15:8641"
ready = "10.1.0.15:8640"
[limits]
cpuShare = 0.4
cores = 2
linkMbps = 100.0
diskMb = 0
[infra]
addr = "10.200.1.7:8642"
"""


class TestParse:
    """Parsing of the settings file."""

    def test_known_fields_are_read_and_unknown_ones_ignored(self):
        """Guards against a startup failure caused by a new field."""
        environment = settings.parse(_TEXT, "boot.toml").unwrap()
        assert environment.caller_address == ("10.1.0.15", 8641)
        assert environment.store_address == ("10.200.1.7", 8642)
        assert environment.bounds.retry_ratio == 0.25
        assert environment.bounds.grace_s == 6.0
        assert environment.bounds.retry_slack == 60.0
        assert environment.size == models.VmSize(link_mbps=100.0, cores=0.8)

    def test_second_port_takes_forwarded_requests(self):
        """Guards against a port outside the range that the platform gave."""
        environment = settings.parse(_TEXT, "boot.toml").unwrap()
        assert (environment.peer_port, environment.forward_port) == (7620, 7621)
        text = _TEXT.replace("7635", "7620")
        assert settings.parse(text, "boot.toml").unwrap().forward_port == 0

    def test_failure_names_the_file(self):
        """Guards against a failure without the path of the file."""
        for text in ("", "node = 1", _TEXT.replace("8641", "port")):
            failure = settings.parse(text, "boot.toml").err()
            assert failure.path == "boot.toml"
            assert failure.reason


class TestStoreAddress:
    """Reloading of the store address."""

    def test_reload_reads_a_new_address(
        self, tmp_path: pathlib.Path, monkeypatch
    ):
        """Guards against calls to the old address after the store moved."""
        path = tmp_path / "boot.toml"
        path.write_text(_TEXT)
        monkeypatch.setenv(settings.SETTINGS_PATH_VARIABLE, str(path))
        address = settings.StoreAddress(settings.load().unwrap().store_address)
        path.write_text(_TEXT.replace("10.200.1.7", "10.200.1.9"))
        address.reload()
        assert address.current == ("10.200.1.9", 8642)
        path.write_text("broken")
        address.reload()
        assert address.current == ("10.200.1.9", 8642)
        assert isinstance(settings.load(), result.Err)
