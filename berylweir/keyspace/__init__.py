"""Mapping of keys to slices, and of slices to partitions."""

from berylweir.keyspace.decisions import partition_of
from berylweir.keyspace.decisions import slice_of

__all__ = ["partition_of", "slice_of"]
