"""Tests of the mapping from keys to slices and partitions."""

from hypothesis import given
from hypothesis import strategies as st

from berylweir import keyspace


class TestSliceOf:
    """Mapping of keys to slices."""

    @given(st.binary(), st.integers(0, 16))
    def test_slice_is_in_range(self, key: bytes, bits: int):
        """Guards against a key with a slice number out of range."""
        assert 0 <= keyspace.slice_of(key, 1 << bits) < 1 << bits

    @given(st.binary(), st.integers(1, 16))
    def test_more_slices_split_slices(self, key: bytes, bits: int):
        """Guards against a split that moves keys to unrelated slices."""
        slice_before_split = keyspace.slice_of(key, 1 << (bits - 1))
        assert keyspace.slice_of(key, 1 << bits) >> 1 == slice_before_split


class TestPartitionOf:
    """Mapping of slices to partitions."""

    @given(st.integers(0, 8), st.integers(1, 300))
    def test_partitions_are_consecutive(self, bits: int, partitions: int):
        """Guards against a partition whose slices are not consecutive."""
        slices = 1 << bits
        partition_numbers = [
            keyspace.partition_of(s, slices, partitions) for s in range(slices)
        ]
        assert partition_numbers == sorted(partition_numbers)
        assert partition_numbers[0] >= 0 and partition_numbers[-1] < partitions
