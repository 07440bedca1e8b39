"""Maps keys to slices, and slices to partitions, without any state."""

import xxhash

_HASH_BITS = 64


def slice_of(key: bytes, slices: int) -> int:
    """Returns the slice of `key`: the highest bits of its hash.

    Doubling the number of slices splits each slice in two, because the new
    slice number has one more bit of the same hash.

    Args:
        key: The key as the caller sent it.
        slices: Number of slices of the server group, a power of two.
    """
    slice_bits = slices.bit_length() - 1
    return xxhash.xxh3_64_intdigest(key) >> (_HASH_BITS - slice_bits)


def partition_of(slice_index: int, slices: int, partitions: int) -> int:
    """Returns the partition of a slice.

    Each partition covers consecutive slices, and the sizes of two partitions
    differ by at most one slice.

    Args:
        slice_index: Slice number, from 0.
        slices: Number of slices of the server group.
        partitions: Number of partitions of the server group.
    """
    return slice_index * partitions // slices
