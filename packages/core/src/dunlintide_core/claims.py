"""Claims that bind a non-idempotent request to its one executor.

A claim lives in a bucket chosen by the hash of its key. A bucket is a
small head, which counts commits, and one segment of new claims for each
commit. Whoever commits must have seen every earlier segment: the
compare-and-swap on the head is the fence between two writers, and a
commit costs only its own claims, however many the bucket holds.
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

# Agreed by all nodes for ever: another number would look for a claim in
# another bucket. See docs/design/claims.md for the arithmetic.
BUCKETS = 64
KEY_DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8
_SEPARATOR = b'\x00'
_SECONDS_PER_MINUTE = 60


class Binding(msgspec.Struct, array_like=True, frozen=True):
    """A claim as it is kept: which executor may run the request.

    :ivar key_digest: digest of team and idempotency key
    :ivar fingerprint: digest of what was asked
    :ivar executor: name of the agent that alone may run it
    :ivar incarnation: the executor's life that it is bound to
    :ivar attempt: unique id of the attempt that made the claim
    :ivar generation: executor's generation when it was claimed
    :ivar bound_at: wall clock of the writer, in seconds
    :ivar retention: seconds for which the claim is kept
    """

    key_digest: bytes
    fingerprint: bytes
    executor: str
    incarnation: int
    attempt: str
    generation: int
    bound_at: int
    retention: int


# Executor of a record that releases a claim; no agent has this name.
_RELEASED = ''


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """The claims of one commit.

    A writer whose answer was lost finds out by the attempts in it.
    """

    bindings: tuple[Binding, ...]


class _Head(msgspec.Struct, array_like=True, frozen=True):
    sequence: int


@attrs.frozen
class Conflict:
    """The key is bound already, by an earlier claim of the same request.

    :ivar binding: the claim that holds
    """

    binding: Binding


@attrs.frozen
class ReusedKey:
    """The key is bound already, to a request with other content."""

    binding: Binding


def encode_binding(binding: Binding) -> bytes:
    """Encode one claim."""
    return msgspec.msgpack.encode(binding)


def decode_binding(data: bytes) -> Binding:
    """Decode one claim.

    :raises msgspec.DecodeError: when it is not a claim
    """
    return msgspec.msgpack.decode(data, type=Binding)


def _find_expiry_minute(binding: Binding) -> int:
    return (binding.bound_at + binding.retention) // _SECONDS_PER_MINUTE + 1


def build_release(binding: Binding) -> Binding:
    """Build the record that frees the key of a claim for a new one.

    Only for a claim whose executor has said that this attempt never ran
    and never will; the release names the attempt, so that it cannot free
    a later claim of the same key.
    :param binding: the claim to release
    """
    return msgspec.structs.replace(binding, executor=_RELEASED)


def digest_key(team: str, key: str) -> bytes:
    """Digest a team's idempotency key; equal keys of two teams differ.

    :param team: name of the team
    :param key: the key as the caller gave it
    """
    state = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    state.update(team.encode())
    state.update(_SEPARATOR)
    state.update(key.encode())
    return state.digest()


def fingerprint_request(*parts: bytes) -> bytes:
    """Digest what is asked, so that a key reused for another shows.

    :param parts: method, path and body, in this order
    """
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.digest()


def choose_bucket(key_digest: bytes) -> int:
    """Tell the bucket of a key.

    :param key_digest: as ``digest_key`` gives it
    """
    return int.from_bytes(key_digest[:4], 'big') % BUCKETS


def choose_owner(bucket: int, names: Iterable[str]) -> str:
    """Tell which process commits a bucket's claims, as all see it.

    A name that comes or goes moves only the buckets that it owns.
    :param names: the processes to choose from, at least one
    """
    return max(names, key=lambda name: hashing.hash_text(name, bucket))


def encode_head(sequence: int) -> bytes:
    """Encode a bucket's head.

    :param sequence: number of commits so far
    """
    return msgspec.msgpack.encode(_Head(sequence))


def decode_head(data: bytes) -> int:
    """Tell the number of commits that a head counts.

    :raises msgspec.DecodeError: when it is not a head
    """
    return msgspec.msgpack.decode(data, type=_Head).sequence


def encode_segment(segment: Segment) -> bytes:
    """Encode the claims of one commit."""
    return msgspec.msgpack.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Decode the claims of one commit.

    :raises msgspec.DecodeError: when it is not a segment
    """
    return msgspec.msgpack.decode(data, type=Segment)


class Bucket:
    """What a writer knows of one bucket.

    :ivar sequence: commits that have been taken in
    :ivar head_revision: store revision of the head, 0 when absent
    """

    __slots__ = ('_expiries', '_held', 'head_revision', 'sequence')

    def __init__(self) -> None:
        self.sequence = 0
        self.head_revision = 0
        # Encoded, as a decoded binding takes twice the memory.
        self._held: dict[bytes, bytes] = {}
        # Keys by the minute in which their retention has ended.
        self._expiries: dict[int, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def apply_segments(self, segments: Iterable[Segment]) -> None:
        """Take in segments, oldest first; the first claim of a key stays.

        :param segments: commits that are new since the last call
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
        """Look for an earlier claim of the same key.

        :param wanted: the claim that is to be made
        """
        held = self._get_binding(wanted.key_digest)
        if held is None or wanted.executor == _RELEASED:
            return None
        if held.fingerprint != wanted.fingerprint:
            return ReusedKey(held)
        return Conflict(held)

    def expire(self, now: float) -> int:
        """Forget claims past their retention and tell how many.

        :param now: wall clock in seconds
        """
        current = int(now) // _SECONDS_PER_MINUTE
        ended = [minute for minute in self._expiries if minute <= current]
        return sum(self._expire(minute) for minute in ended)

    def _expire(self, minute: int) -> int:
        removed = 0
        for digest in self._expiries.pop(minute):
            held = self._get_binding(digest)
            # A released key may have been claimed anew, for longer.
            if held is not None and _find_expiry_minute(held) <= minute:
                del self._held[digest]
                removed += 1
        return removed
