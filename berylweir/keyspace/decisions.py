"""Pure functions from keys to slices and partitions."""

import xxhash

_HASH_BITS = 64


def slice_of(key: bytes, slices: int) -> int:
    """Returns the slice of `key`.

    Args:
        key: The key as the caller sent it.
        slices: Number of slices of the server group, a power of two.
    """
    slice_bits = slices.bit_length() - 1
    return xxhash.xxh3_64_intdigest(key) >> (_HASH_BITS - slice_bits)


def partition_of(slice_number: int, slices: int, partitions: int) -> int:
    """Returns the partition that `slice_number` belongs to.

    Args:
        slice_number: Slice number, from 0.
        slices: Number of slices of the server group.
        partitions: Number of partitions of the server group.
    """
    return slice_number * partitions // slices
