"""The operators' configuration in the platform's store.

Chunks are written under their digests, then one transaction replaces the
head and so puts the change in force. A second key, the guard, changes
whenever chunks are removed or a write of unknown outcome has to be fenced
off: each write of the head also compares the guard that its author read.
"""

import threading
import time
from typing import Callable, Iterable

from absl import logging
import attrs
from dunlintide_core import revisions
import result

from dunlintide_adapters import configkeys
from dunlintide_adapters import configtypes
from dunlintide_adapters import configwatch
from dunlintide_adapters import gateway
from dunlintide_adapters import store as stores
from dunlintide_adapters import storefailures

__all__ = [
    'ConfigStore',
    'Conflict',
    'Failure',
    'Snapshot',
]

# Revisions between two collections of unreferenced heads and chunks.
COLLECT_INTERVAL_REVISIONS = 16

_MAX_ATTEMPTS = 5
_FENCE_TIMEOUT_SECONDS = 10.0
_FENCE_RETRY_SECONDS = 0.1
# etcd allows 128 operations in a transaction by default.
_DELETE_BATCH = 100


Conflict = configtypes.Conflict
Failure = configtypes.Failure
Snapshot = configtypes.Snapshot


@attrs.frozen
class _State:
    head: revisions.Head | None
    head_mod_revision: int
    guard_mod_revision: int

    @property
    def revision(self) -> int:
        return self.head.revision if self.head else 0

    @property
    def expects(self) -> tuple[gateway.Expect, ...]:
        return (
            gateway.Expect(configkeys.HEAD, self.head_mod_revision),
            gateway.Expect(configkeys.GUARD, self.guard_mod_revision),
        )


def _convert_failure(failure: storefailures.StoreFailure) -> Failure:
    text = f'store: {failure.kind} ({failure.message})'
    return Failure(text, failure.maybe_applied)


def _decode_heads(
    values: Iterable[stores.Value],
) -> result.Result[tuple[revisions.Head, ...], Failure]:
    heads = []
    for value in values:
        decoded = revisions.decode_head(value.value)
        if decoded.is_err():
            return decoded.map_err(
                lambda corruption: Failure(corruption.message)
            )
        heads.append(decoded.ok_value)
    return result.Ok(tuple(heads))


class ConfigStore:
    """Reads and changes the configuration in the store.

    The chunks of the last document read are cached, so that the next read
    fetches only changed chunks. Threads may share an instance.
    """

    def __init__(
        self, store: stores.Store, wall_clock: Callable[[], float]
    ) -> None:
        """Create an instance; use ``from_store`` instead."""
        self._store = store
        self._wall_clock = wall_clock
        self._chunks: dict[str, bytes] = {}

    @classmethod
    def from_store(
        cls, store: stores.Store, wall_clock: Callable[[], float] = time.time
    ) -> 'ConfigStore':
        """Create an instance that uses an existing store client.

        :param wall_clock: returns seconds since the epoch
        """
        return cls(store, wall_clock)

    @classmethod
    def from_url(cls, url: str) -> 'ConfigStore':
        """Create an instance with a store client of its own.

        :param url: base URL of the store's gateway
        """
        return cls(stores.Store.from_url(url), time.time)

    @property
    def store(self) -> stores.Store:
        """Client of the store."""
        return self._store

    def read(self) -> result.Result[Snapshot | None, Failure]:
        """Read the configuration in force; None if none was ever applied."""
        read: result.Result = result.Err(Failure('configuration was not read'))
        for _ in range(_MAX_ATTEMPTS):
            state = self._read_state()
            if state.is_err():
                return state
            if state.ok_value.head is None:
                return result.Ok(None)
            # Chunks of a replaced head may have been collected meanwhile.
            read = self._load(state.ok_value.head)
            if read.is_ok():
                break
        return read

    def read_mod_revision(self) -> result.Result[int, Failure]:
        """Read the store revision of the last change of the head.

        This transfers fewer bytes than a read of the head.
        """
        found = self._store.get_revision(configkeys.HEAD)
        return found.map_err(_convert_failure)

    def list_history(
        self,
    ) -> result.Result[tuple[revisions.Head, ...], Failure]:
        """List the kept heads, newest first."""
        found = self._store.get_range(configkeys.HISTORY)
        if found.is_err():
            return found.map_err(_convert_failure)
        return _decode_heads(reversed(found.ok_value))

    def read_revision(
        self, revision: int
    ) -> result.Result[Snapshot | None, Failure]:
        """Read an earlier revision; None if it is no longer kept."""
        found = self._store.get(configkeys.build_history_key(revision))
        if found.is_err():
            return found.map_err(_convert_failure)
        if found.ok_value is None:
            return result.Ok(None)
        heads = _decode_heads([found.ok_value])
        return heads.and_then(
            lambda heads: self._load(heads[0], update_cache=False)
        )

    def apply(
        self,
        document: bytes,
        base_revision: int,
        change_id: str,
        author: str,
        comment: str,
        floor: int = 0,
    ) -> result.Result[revisions.Head, Conflict | Failure]:
        """Replace the configuration if ``base_revision`` is in force.

        After a lost answer, the write is fenced off or found to be in
        force before it is tried again.

        :param document: canonical document
        :param base_revision: revision that the change is based on, 0 for
            none
        :param change_id: unique id of this change; repeating an applied
            id returns the current head without another write
        :param floor: highest revision known to any process; the new
            revision is higher, even if the store was restored
        :returns: the head that contains the change
        """
        split = revisions.split(document)
        if split.is_err():
            return split.map_err(
                lambda corruption: Failure(corruption.message)
            )
        chunks = split.ok_value

        def build(parent: revisions.Head | None) -> revisions.Head:
            head = revisions.make_head(
                parent, chunks, change_id, author, comment, self._wall_clock()
            )
            return attrs.evolve(head, revision=max(head.revision, floor + 1))

        for _ in range(_MAX_ATTEMPTS):
            outcome = self._try_apply(base_revision, change_id, chunks, build)
            if outcome is not None:
                return outcome
        return result.Err(
            Failure('the configuration changed during every attempt')
        )

    def watch(
        self,
        on_snapshot: Callable[[Snapshot], None],
        stop: threading.Event,
        current: Snapshot | None = None,
        poll_seconds: float = configwatch.POLL_SECONDS,
        on_read: Callable[[int], None] = lambda revision: None,
    ) -> None:
        """Deliver each new revision until ``stop`` is set.

        Blocks. ``on_snapshot`` is called on this thread and never with a
        lower revision than before; intermediate revisions may be skipped.
        A store that was restored to an older state is repaired.

        :param current: snapshot that the process uses already, if any
        :param poll_seconds: longest time between two reads, in seconds
        :param on_read: called with each revision that was read, 0 for
            none
        """
        configwatch.watch(
            self, on_snapshot, stop, current, poll_seconds, on_read
        )

    def republish(
        self, snapshot: Snapshot, replaced_change_id: str | None
    ) -> result.Result[revisions.Head, Failure]:
        """Write a snapshot to a store that was restored to an older one.

        :param snapshot: snapshot to put in force
        :param replaced_change_id: change id of the head that it replaces,
            None for none
        :returns: the head that was written
        """
        state = self._read_state()
        if state.is_err():
            return state
        head = state.ok_value.head
        if (head.change_id if head else None) != replaced_change_id:
            return result.Err(
                Failure('another process changed the head first')
            )
        split = revisions.split(snapshot.document)
        if split.is_err():
            return split.map_err(
                lambda corruption: Failure(corruption.message)
            )
        written = self._write(state.ok_value, split.ok_value, snapshot.head)
        if written.is_ok():
            return result.Ok(snapshot.head)
        if isinstance(written.err_value, stores.CasConflict):
            return result.Err(
                Failure('another process changed the head first')
            )
        return written.map_err(_convert_failure)

    def collect_garbage(self, kept: int = configkeys.KEPT_REVISIONS) -> None:
        """Remove old heads, and chunks that no kept head refers to.

        Keys whose removal fails remain until the next collection.

        :param kept: number of heads to keep
        """
        state = self._read_state()
        history = self._store.get_range(configkeys.HISTORY)
        chunks = self._store.get_range(configkeys.CHUNKS, keys_only=True)
        if any(found.is_err() for found in (state, history, chunks)):
            return
        heads = _decode_heads(history.ok_value[-kept:])
        if heads.is_err():
            logging.error('history: %s', heads.err_value.message)
            return
        current = state.ok_value.head
        used_keys = {
            configkeys.build_chunk_key(digest)
            for head in (*heads.ok_value, *([current] if current else []))
            for digest in head.chunks
        }
        stale_keys = [value.key for value in history.ok_value[:-kept]]
        stale_keys += [
            value.key
            for value in chunks.ok_value
            if value.key not in used_keys
        ]
        self._delete_keys(state.ok_value, stale_keys)

    def _read_state(self) -> result.Result[_State, Failure]:
        found = self._store.get_many((configkeys.HEAD, configkeys.GUARD))
        if found.is_err():
            return found.map_err(_convert_failure)
        values = {value.key: value for value in found.ok_value}
        guard = values.get(configkeys.GUARD)
        guard_mod_revision = guard.mod_revision if guard else 0
        value = values.get(configkeys.HEAD)
        if value is None:
            return result.Ok(_State(None, 0, guard_mod_revision))
        return _decode_heads([value]).map(
            lambda heads: _State(
                heads[0], value.mod_revision, guard_mod_revision
            )
        )

    def _load(
        self, head: revisions.Head, update_cache: bool = True
    ) -> result.Result[Snapshot, Failure]:
        known = self._chunks
        missing = revisions.find_missing(head, known)
        found = self._store.get_many(map(configkeys.build_chunk_key, missing))
        if found.is_err():
            return found.map_err(_convert_failure)
        bodies = {
            value.key.removeprefix(configkeys.CHUNKS): value.value
            for value in found.ok_value
        }
        bodies |= {
            digest: known[digest] for digest in head.chunks if digest in known
        }
        joined = revisions.join(head, bodies)
        if joined.is_err():
            return joined.map_err(
                lambda corruption: Failure(corruption.message)
            )
        if update_cache:
            self._chunks = bodies
        return result.Ok(Snapshot(head, joined.ok_value))

    def _try_apply(
        self,
        base_revision: int,
        change_id: str,
        chunks: tuple[revisions.Chunk, ...],
        build: Callable[[revisions.Head | None], revisions.Head],
    ) -> result.Result[revisions.Head, Conflict | Failure] | None:
        """Try a change once; None if it was not applied and can be retried."""
        read = self._read_state()
        if read.is_err():
            return read
        state = read.ok_value
        if state.head and revisions.has_change(state.head, change_id):
            return result.Ok(state.head)
        if state.revision != base_revision:
            current = self.read()
            if current.is_err():
                return current
            return result.Err(Conflict(current.ok_value))
        head = build(state.head)
        written = self._write(state, chunks, head)
        if written.is_ok():
            if head.revision % COLLECT_INTERVAL_REVISIONS == 0:
                self.collect_garbage()
            return result.Ok(head)
        failure = written.err_value
        if isinstance(failure, stores.CasConflict):
            return None
        if not failure.maybe_applied:
            return result.Err(_convert_failure(failure))
        return self._fence_write(state)

    def _write(
        self,
        state: _State,
        chunks: Iterable[revisions.Chunk],
        head: revisions.Head,
    ) -> result.Result[int, stores.CasConflict | storefailures.StoreFailure]:
        written = self._write_chunks(chunks)
        if written.is_err():
            return written
        body = revisions.encode_head(head)
        history_key = configkeys.build_history_key(head.revision)
        puts = (
            gateway.Put(configkeys.HEAD, body),
            gateway.Put(history_key, body),
        )
        return self._store.transact(state.expects, puts)

    def _write_chunks(
        self, chunks: Iterable[revisions.Chunk]
    ) -> result.Result[None, storefailures.StoreFailure]:
        listing = self._store.get_range(configkeys.CHUNKS, keys_only=True)
        if listing.is_err():
            return listing
        existing_keys = {value.key for value in listing.ok_value}
        for chunk in chunks:
            key = configkeys.build_chunk_key(chunk.digest)
            if key in existing_keys:
                continue
            written = self._store.compare_and_swap(key, 0, chunk.body)
            failure = written.err()
            if isinstance(failure, storefailures.StoreFailure):
                # Without a head that refers to it, a chunk has no effect.
                failure = attrs.evolve(failure, maybe_applied=False)
                return result.Err(failure)
        return result.Ok(None)

    def _fence_write(self, state: _State) -> result.Err[Failure] | None:
        """Change the guard so that a delayed write cannot take effect.

        Once the guard has changed, the store refuses a delayed write of
        the head. Whether it was applied before can be read from the head.

        :returns: None if the outcome is decided, else the failure
        """
        deadline = time.monotonic() + _FENCE_TIMEOUT_SECONDS
        pause = threading.Event()
        while time.monotonic() < deadline:
            fenced = self._store.compare_and_swap(
                configkeys.GUARD, state.guard_mod_revision, b'settled'
            )
            if fenced.is_ok() or isinstance(
                fenced.err_value, stores.CasConflict
            ):
                return None
            pause.wait(_FENCE_RETRY_SECONDS)
        text = 'the store did not answer; apply again with the same change id'
        return result.Err(Failure(text, maybe_applied=True))

    def _delete_keys(self, state: _State, keys: list[str]) -> None:
        for start in range(0, len(keys), _DELETE_BATCH):
            removed = self._store.transact(
                state.expects,
                (gateway.Put(configkeys.GUARD, b'collected'),),
                keys[start : start + _DELETE_BATCH],
            )
            if removed.is_err():
                logging.info(
                    'removal of unreferenced configuration keys failed'
                )
                return
            state = attrs.evolve(state, guard_mod_revision=removed.ok_value)
