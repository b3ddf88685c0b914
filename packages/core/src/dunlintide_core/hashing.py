"""Hash function for names that gives equal results in all processes."""

import xxhash

__all__ = ['HASH_BITS', 'hash_text']

HASH_BITS = 64


def hash_text(text: str, seed: int = 0) -> int:
    """Hash a text to 64 bits.

    The hash is not cryptographic: collisions can be constructed.

    :param seed: selects one of a family of independent hash functions
    """
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
