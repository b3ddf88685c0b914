"""Claims that bind a non-idempotent request to a single executor.

The hash of its key assigns a claim to a bucket. A bucket consists of a
small head, which counts commits, and one segment of new claims per commit.
A writer must have read every earlier segment before it commits: the
compare-and-swap on the head fences concurrent writers. A commit writes
only its new claims, whatever the size of the bucket.
"""

import hashlib
from typing import Iterable

import attrs
import msgspec

from dunlintide_core import hashing

__all__ = [
    'BUCKETS',
    'Binding',
    'Bucket',
    'Conflict',
    'ReusedKey',
    'Segment',
    'build_release',
    'choose_bucket',
    'choose_owner',
    'decode_binding',
    'decode_head',
    'decode_segment',
    'digest_key',
    'encode_binding',
    'encode_head',
    'encode_segment',
    'fingerprint_request',
]

# Must be the same on all nodes and never change: with another number a claim
# would be looked up in the wrong bucket. docs/design/claims.md explains the
# choice of the number.
BUCKETS = 64
KEY_DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8
_SEPARATOR = b'\x00'
_SECONDS_PER_MINUTE = 60


class Binding(msgspec.Struct, array_like=True, frozen=True):
    """Stored form of a claim: the executor that may run the request.

    :ivar key_digest: digest of team and idempotency key
    :ivar fingerprint: digest of the content of the request
    :ivar executor: name of the only agent that may run the request
    :ivar incarnation: incarnation of the executor that the claim binds to
    :ivar attempt: unique id of the attempt that made the claim
    :ivar generation: generation of the executor at the time of the claim
    :ivar bound_at: wall-clock time of the writer in seconds
    :ivar retention: time for which the claim is stored, in seconds
    """

    key_digest: bytes
    fingerprint: bytes
    executor: str
    incarnation: int
    attempt: str
    generation: int
    bound_at: int
    retention: int


# Executor name of a record that releases a claim; agent names are not empty.
_RELEASED = ''


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """The claims of one commit.

    A writer that got no response to a commit finds its own attempts in
    the segment if the commit succeeded.
    """

    bindings: tuple[Binding, ...]


class _Head(msgspec.Struct, array_like=True, frozen=True):
    sequence: int


@attrs.frozen
class Conflict:
    """The key is already bound by an earlier claim of the same request.

    :ivar binding: the earlier claim, which stays valid
    """

    binding: Binding


@attrs.frozen
class ReusedKey:
    """The key is already bound to a request with different content.

    :ivar binding: the earlier claim, which stays valid
    """

    binding: Binding


def encode_binding(binding: Binding) -> bytes:
    """Encode one claim."""
    return msgspec.msgpack.encode(binding)


def decode_binding(data: bytes) -> Binding:
    """Decode one claim.

    :raises msgspec.DecodeError: if the data are not a claim
    """
    return msgspec.msgpack.decode(data, type=Binding)


def _find_expiry_minute(binding: Binding) -> int:
    return (binding.bound_at + binding.retention) // _SECONDS_PER_MINUTE + 1


def build_release(binding: Binding) -> Binding:
    """Build the record that releases a claim, so that its key is free.

    Use it only if the executor has confirmed that the attempt never ran
    and never will. The record contains the attempt, so that it cannot
    release a later claim of the same key.

    :param binding: the claim to release
    """
    return msgspec.structs.replace(binding, executor=_RELEASED)


def digest_key(team: str, key: str) -> bytes:
    """Digest an idempotency key together with the name of its team.

    :param team: name of the team
    :param key: the key that the caller sent
    """
    state = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    state.update(team.encode())
    state.update(_SEPARATOR)
    state.update(key.encode())
    return state.digest()


def fingerprint_request(*parts: bytes) -> bytes:
    """Digest a request, to detect a key reused for another request.

    :param parts: method, path and body, in this order
    """
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.digest()


def choose_bucket(key_digest: bytes) -> int:
    """Return the bucket of a key.

    :param key_digest: result of ``digest_key``
    """
    return int.from_bytes(key_digest[:4], 'big') % BUCKETS


def choose_owner(bucket: int, names: Iterable[str]) -> str:
    """Choose the process that commits the claims of a bucket.

    All processes make the same choice by rendezvous hashing: a name that
    is added or removed moves only the buckets that it owns.

    :param names: the processes to choose from, at least one
    """
    return max(names, key=lambda name: hashing.hash_text(name, bucket))


def encode_head(sequence: int) -> bytes:
    """Encode a bucket's head.

    :param sequence: number of commits so far
    """
    return msgspec.msgpack.encode(_Head(sequence))


def decode_head(data: bytes) -> int:
    """Return the number of commits in an encoded head.

    :raises msgspec.DecodeError: if the data are not a head
    """
    return msgspec.msgpack.decode(data, type=_Head).sequence


def encode_segment(segment: Segment) -> bytes:
    """Encode the claims of one commit."""
    return msgspec.msgpack.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Decode the claims of one commit.

    :raises msgspec.DecodeError: if the data are not a segment
    """
    return msgspec.msgpack.decode(data, type=Segment)


class Bucket:
    """Copy of one bucket at a writer.

    :ivar sequence: number of commits that have been applied
    :ivar head_revision: store revision of the head, 0 if there is none
    """

    __slots__ = ('_expiries', '_held', 'head_revision', 'sequence')

    def __init__(self) -> None:
        self.sequence = 0
        self.head_revision = 0
        # Encoded, since a decoded binding takes twice the memory.
        self._held: dict[bytes, bytes] = {}
        # Key digests by the first minute after the end of their retention.
        self._expiries: dict[int, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def apply_segments(self, segments: Iterable[Segment]) -> None:
        """Apply segments, oldest first; the first claim of a key wins.

        :param segments: segments committed since the last call
        """
        for segment in segments:
            for binding in segment.bindings:
                self._apply(binding)

    def _get_binding(self, digest: bytes) -> Binding | None:
        data = self._held.get(digest)
        return None if data is None else decode_binding(data)

    def _apply(self, binding: Binding) -> None:
        digest = binding.key_digest
        if binding.executor == _RELEASED:
            held = self._get_binding(digest)
            if held is not None and held.attempt == binding.attempt:
                del self._held[digest]
        elif digest not in self._held:
            self._held[digest] = encode_binding(binding)
            minute = _find_expiry_minute(binding)
            self._expiries.setdefault(minute, []).append(digest)

    def find_conflict(self, wanted: Binding) -> Conflict | ReusedKey | None:
        """Look up an earlier claim of the same key.

        :param wanted: the claim to be made
        :returns: None if the key is free
        """
        held = self._get_binding(wanted.key_digest)
        if held is None or wanted.executor == _RELEASED:
            return None
        if held.fingerprint != wanted.fingerprint:
            return ReusedKey(held)
        return Conflict(held)

    def expire(self, now: float) -> int:
        """Remove claims whose retention has ended.

        :param now: wall-clock time in seconds
        :returns: the number of removed claims
        """
        current = int(now) // _SECONDS_PER_MINUTE
        ended = [minute for minute in self._expiries if minute <= current]
        return sum(self._expire(minute) for minute in ended)

    def _expire(self, minute: int) -> int:
        removed = 0
        for digest in self._expiries.pop(minute):
            held = self._get_binding(digest)
            # The key may have been released and claimed again.
            if held is not None and _find_expiry_minute(held) <= minute:
                del self._held[digest]
                removed += 1
        return removed
