"""Incremental hashes of membership records, grouped into buckets.

Two processes compare the hashes of their buckets to find the few records
in which their views differ.
"""

from dunlintide_core import hashing
from dunlintide_core import records

__all__ = ['BUCKETS', 'Buckets', 'bucket_of']

BUCKETS = 64


def bucket_of(name: str) -> int:
    """Return the index of the bucket that holds a process's record."""
    return hashing.hash_text(name) % BUCKETS


def _fingerprint(record: records.Record) -> int:
    # Each process drops a tombstone at a time of its own, so tombstones
    # must not change the hash.
    if record.dead:
        return 0
    peer = record.peer
    text = f'{peer.name}/{peer.incarnation}/{record.version}/{record.state}'
    return hashing.hash_text(text)


class Buckets:
    """Process names and XOR-combined record hashes of each bucket."""

    def __init__(self) -> None:
        self._hashes = [0] * BUCKETS
        self._names: list[dict[str, None]] = [{} for _ in range(BUCKETS)]

    @property
    def hashes(self) -> tuple[int, ...]:
        """Hash of the records in each bucket, by bucket index."""
        return tuple(self._hashes)

    @property
    def hash(self) -> int:
        """Hash of all records; equal views have equal hashes."""
        total = 0
        for value in self._hashes:
            total ^= value
        return total

    def names(self, index: int) -> list[str]:
        """Return the names of the processes in one bucket."""
        return list(self._names[index])

    def replace(self, old: records.Record | None, new: records.Record) -> None:
        """Replace the record of a process.

        :param old: the process's current record, None for a new process
        """
        index = bucket_of(new.peer.name)
        if old is not None:
            self._hashes[index] ^= _fingerprint(old)
        self._hashes[index] ^= _fingerprint(new)
        self._names[index][new.peer.name] = None

    def remove(self, name: str) -> None:
        """Remove a process whose record is a tombstone.

        Tombstones do not contribute to the hash, so it stays unchanged.
        """
        self._names[bucket_of(name)].pop(name)
