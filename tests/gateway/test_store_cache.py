"""Tests of the cache of decoded objects."""

import msgspec

from berylweir.gateway import messages
from berylweir.gateway import store_cache
from berylweir.observability import counters
from berylweir.platform import store
from berylweir.standin.gateway_platform import server as server_standin


def stored(name: str, revision: int, spec: object) -> store.StoredObject:
    """Returns an object as the store has it."""
    return store.build_stored_object(
        name,
        revision,
        msgspec.Raw(msgspec.json.encode(spec)),
        msgspec.Raw(b"null"),
    )


def configuration(version: int, revision: int) -> store.StoredObject:
    """Returns a configuration without routes."""
    spec = server_standin.configuration_spec({}, [], version)
    return stored("main", revision, spec)


class CacheHarness:
    """A cache whose messages are recorded."""

    def __init__(self) -> None:
        self.messages: list[messages.StoreUpdate] = []
        self.cache = store_cache.StoreCache(
            [self.messages.append], counters.Counters()
        )

    @property
    def versions(self) -> list[str]:
        """Versions of the announced configurations."""
        return [
            m.configuration.version
            for m in self.messages
            if isinstance(m, messages.ConfigurationChanged)
        ]


class TestConfiguration:
    """The configuration in force."""

    def test_configuration_never_goes_back_to_an_older_version(self):
        """Guards against a restored store that takes back a configuration."""
        harness = CacheHarness()
        for version, revision in ((5, 10), (9, 20), (5, 30), (9, 40), (12, 50)):
            harness.cache.update_configuration(
                [configuration(version, revision)]
            )
        assert harness.versions[0] == "00000005"
        assert "00000005" not in harness.versions[1:]
        assert harness.versions[-1] == "0000000c"

    def test_configuration_without_a_version_number_is_ignored(self):
        """Guards against an invalid configuration that comes into force."""
        harness = CacheHarness()
        spec = server_standin.configuration_spec({}, [], 1)
        for number, version in enumerate(("", "x", "1.5")):
            harness.cache.update_configuration(
                [stored("main", number + 1, {**spec, "cfgVer": version})]
            )
        assert harness.versions == []


class TestServers:
    """Backend servers by the entries in the store."""

    def announced(self, harness: CacheHarness) -> dict[str, bool]:
        """Returns whether each server of the last message is draining."""
        (*_, message) = harness.messages
        return {n: s.is_draining for n, s in message.servers.items()}

    def test_draining_server_is_not_used_again(self):
        """Guards against a leaving server whose older entry is restored."""
        harness = CacheHarness()
        for revision, state in enumerate(("ready", "draining", "ready"), 1):
            spec = server_standin.server_spec("s", "g", 80, state=state)
            harness.cache.update_servers([stored("s", revision, spec)])
        assert self.announced(harness) == {"s": True}
        restarted = server_standin.server_spec("s", "g", 80, born_ms=2)
        harness.cache.update_servers([stored("s", 4, restarted)])
        assert self.announced(harness) == {"s": False}
