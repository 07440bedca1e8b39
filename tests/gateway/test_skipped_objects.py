"""Tests of the log of objects that can't be decoded."""

import logging

import msgspec

from berylweir.gateway import skipped_objects
from berylweir.observability import counters
from berylweir.standin.gateway_platform import server as server_standin
from tests.gateway import rig as rigs


def logged(caplog) -> list[str]:
    """Returns the objects of all log lines."""
    return [r.object for r in caplog.records if r.message == "object skipped"]


class TestSkippedObjects:
    """What is counted, and what is logged."""

    def test_each_object_is_logged_once_a_minute(self, caplog):
        """Guards against a writer that fills the disk with its beats."""
        now_s = 0.0
        metrics = counters.Counters()
        skipped = skipped_objects.SkippedObjects(metrics, lambda: now_s)
        with caplog.at_level(logging.WARNING):
            for _ in range(120):
                skipped.report("k", ("a", "b"), 3, "x")
                now_s += 1.0
        assert logged(caplog) == ["k/a", "k/b", "k/a", "k/b"]
        assert metrics.counts["store.undecodable"] == 360

    def test_many_objects_are_logged_in_part(self, caplog):
        """Guards against a line for each of thousands of entries."""
        skipped = skipped_objects.SkippedObjects(counters.Counters())
        with caplog.at_level(logging.WARNING):
            skipped.report("k", map(str, range(5000)), 5000, "x")
        assert len(logged(caplog)) == 100

    async def test_gateway_names_unreadable_entries(self, caplog):
        """Guards against entries that are counted, but can't be found."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            entry = server_standin.server_spec("odd", "g", 1)
            with caplog.at_level(logging.WARNING):
                await rig.store.put("servers", "a", msgspec.Raw(b'"\\udcff"'))
                await rig.store.put("servers", "b", {**entry, "addr": 1})
                gateway = await rig.add_gateway()
                for beat in range(5):
                    for spec in (b'["\\udcff", %d]', b'{"addr": %d}'):
                        name = "c" if b"addr" in spec else "d"
                        await rig.store.put(
                            "servers", name, msgspec.Raw(spec % beat)
                        )
                await rigs.until(
                    lambda: (
                        gateway.metrics.counts.get("store.undecodable", 0) >= 8
                    )
                )
        assert sorted(logged(caplog)) == [
            f"servers/{name}" for name in ("a", "b", "c", "d")
        ]
