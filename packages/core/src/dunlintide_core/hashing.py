"""Hash of names, equal on all processes."""

import xxhash

__all__ = ['HASH_BITS', 'hash_text']

HASH_BITS = 64


def hash_text(text: str, seed: int = 0) -> int:
    """Hash a text to 64 bits; not fit against forgery.

    :param seed: gives independent hashes
    """
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
