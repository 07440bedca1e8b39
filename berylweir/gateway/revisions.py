"""Revisions, epochs and tokens that stay in order when the store is restored.

A store that is restored from a copy counts its revisions from an earlier one
again. Each restoration begins a new generation of the store. Revisions in the
gateway consist of the generation and the store's number, so that any revision
of a later generation is higher than all earlier ones. The same holds for the
epochs of the lease and for fencing tokens, since the copy may not contain the
last ones that were given out.
"""

# Numbers of one generation.
_REVISIONS_PER_GENERATION = 1 << 40
# Highest number of a revision in the store.
MAX_NUMBER = _REVISIONS_PER_GENERATION - 1
_EPOCHS_PER_GENERATION = 1 << 20
_TOKENS_PER_GENERATION = 1 << 32


def compose(generation: int, number: int) -> int:
    """Returns the revision with the store's number in a generation."""
    return generation * _REVISIONS_PER_GENERATION + number


def generation(revision: int) -> int:
    """Returns the generation of the store to which a revision belongs."""
    return revision // _REVISIONS_PER_GENERATION


def number(revision: int) -> int:
    """Returns the number of a revision in the store."""
    return revision % _REVISIONS_PER_GENERATION


def next_epoch(epoch: int, store_generation: int) -> int:
    """Returns an epoch above a known one and above all earlier generations'.

    Args:
        epoch: Highest known epoch.
        store_generation: Generation of the store to which it is written.
    """
    return max(epoch, store_generation * _EPOCHS_PER_GENERATION) + 1


def epoch_generation(epoch: int) -> int:
    """Returns the generation of the store in which an epoch began."""
    return epoch // _EPOCHS_PER_GENERATION


def next_token(token: int, epoch: int) -> int:
    """Returns the lowest token that is unused in the generation of an epoch.

    Args:
        token: Lowest token that is unused according to the key table.
        epoch: Epoch of the lease.
    """
    return max(token, epoch_generation(epoch) * _TOKENS_PER_GENERATION + 1)
