"""Tests of the encoding of objects in messages between gateways."""

import zlib

import msgspec

from berylweir.gateway import models
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import codec
from berylweir.platform import objects
from berylweir.platform import store


class TestCodec:
    """Encoding and decoding of objects and changes."""

    def test_a_table_is_compressed_and_decoded_whole(self):
        """Guards against large messages between zones for each move of keys."""
        ranges = tuple(
            models.KeyRange(
                first,
                first + 255,
                models.ServerInstance(
                    f"i-{first % 18:010x}", 1_780_000_000_000
                ),
                first,
            )
            for first in range(0, models.KEY_COUNT, 256)
        )
        spec = objects.encode_table(models.KeyTable("g", 3, 1, 70_000, ranges))
        stored = store.build_stored_object(
            "g", 3, msgspec.Raw(spec), msgspec.Raw(b"null")
        )
        compressed = codec.encode_objects([stored])
        assert len(compressed) < len(spec) / 3
        (received,) = codec.decode_objects(compressed)
        assert objects.decode_table(received).unwrap().ranges == ranges

    def test_many_entries_are_compressed(self):
        """Guards against large messages between zones at each gateway start."""
        entries = [
            store.build_stored_object(
                f"i-{number:010x}",
                number,
                msgspec.Raw(
                    b'{"addr":"10.1.0.%d:9000","info":{"backend":"g",'
                    b'"zone":"a","maxConcurrency":6}}' % (number % 250)
                ),
                msgspec.Raw(b'{"state":"ready","warmupLeftMs":0}'),
            )
            for number in range(500)
        ]
        size = sum(len(e.spec) + len(e.status) for e in entries)
        compressed = codec.encode_objects(entries)
        assert len(compressed) < size / 6
        assert codec.decode_objects(compressed) == entries

    def test_removals_are_decoded_as_removals(self):
        """Guards against a removed server that becomes known again."""
        null = msgspec.Raw(b"null")
        change = store.ObjectChange(
            store.build_stored_object("g", 3, null, null), is_removed=True
        )
        kind_changes = peers.KindChanges(
            "k", 3, False, None, codec.encode_changes([change])
        )
        vm = models.Vm("v", "run", "127.0.0.1", 1, "a")
        assert codec.decode_changes(vm, kind_changes).unwrap().changes == (
            change,
        )

    def test_an_undecodable_message_yields_no_objects(self):
        """Guards against a message that crashes a task of the gateway."""
        vm = models.Vm("v", "run", "127.0.0.1", 1, "a")
        for broken in (b"broken", zlib.compress(b"broken")):
            assert codec.decode_objects(broken) == []
            kind_changes = peers.KindChanges("k", 3, False, None, broken)
            assert codec.decode_changes(vm, kind_changes).is_err()
