"""Hashes of the records of a view, by bucket, kept up to date."""

from dunlintide_core import hashing
from dunlintide_core import records

__all__ = ['BUCKETS', 'Buckets', 'bucket_of']

BUCKETS = 64


def bucket_of(name: str) -> int:
    """Return the bucket that holds a name."""
    return hashing.hash_text(name) % BUCKETS


def _fingerprint(record: records.Record) -> int:
    # Tombstones expire at different times, so they stay out of the hash.
    if record.dead:
        return 0
    peer = record.peer
    text = f'{peer.name}/{peer.incarnation}/{record.version}/{record.state}'
    return hashing.hash_text(text)


class Buckets:
    """Names of processes and hashes of their records, by bucket."""

    def __init__(self) -> None:
        self._hashes = [0] * BUCKETS
        self._names: list[dict[str, None]] = [{} for _ in range(BUCKETS)]

    @property
    def hashes(self) -> tuple[int, ...]:
        """Hash of each bucket's records."""
        return tuple(self._hashes)

    @property
    def hash(self) -> int:
        """Hash of all records; equal views have equal hashes."""
        total = 0
        for value in self._hashes:
            total ^= value
        return total

    def names(self, index: int) -> list[str]:
        """Return the names in one bucket."""
        return list(self._names[index])

    def replace(self, old: records.Record | None, new: records.Record) -> None:
        """Put a record in the place of an older one of its process."""
        index = bucket_of(new.peer.name)
        if old is not None:
            self._hashes[index] ^= _fingerprint(old)
        self._hashes[index] ^= _fingerprint(new)
        self._names[index][new.peer.name] = None

    def remove(self, name: str) -> None:
        """Remove a process whose record is a tombstone."""
        self._names[bucket_of(name)].pop(name)
