"""Leadership of models: one key for each model in the store, on a lease.

A key is written only once before it is removed, so the revision of that
write serves as the fencing token of the term. It rises from term to term.
"""

import time
from typing import Callable
import uuid

import attrs
import msgspec
import result

from dunlintide_adapters import gateway
from dunlintide_adapters import store as stores
from dunlintide_adapters import storefailures
from dunlintide_core import leadership

__all__ = ['Leader', 'Leaders']

PREFIX = '/dunlintide/leaders/'


@attrs.frozen
class Leader:
    """The leader of a model.

    :ivar name: name of the leading process
    :ivar attempt: unique id of the write, by which its author recognises
        it after a lost answer
    :ivar fence: fencing token of the term
    """

    name: str
    attempt: str
    fence: int


class _Record(msgspec.Struct):
    name: str
    attempt: str


def _read_leader(value: stores.Value | None) -> Leader | None:
    if value is None:
        return None
    try:
        record = msgspec.json.decode(value.value, type=_Record)
    except (msgspec.MsgspecError, RecursionError):
        # An unreadable record still holds the key, so no other process
        # can lead.
        record = _Record('', '')
    return Leader(record.name, record.attempt, value.mod_revision)


class Leaders:
    """Reads, acquires and renews leadership."""

    def __init__(
        self,
        store: stores.Store,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an instance; nothing is sent yet.

        :param clock: returns monotonic time in seconds
        """
        self._store = store
        self._clock = clock

    def read(
        self, model: str
    ) -> result.Result[Leader | None, storefailures.StoreFailure]:
        """Read the leader of a model; None if it has none."""
        return self._store.get(PREFIX + model).map(_read_leader)

    def acquire(
        self, model: str, name: str, ttl: int
    ) -> result.Result[leadership.Term | None, storefailures.StoreFailure]:
        """Try to become the leader of a model.

        :param name: name of this process
        :param ttl: lifetime of the lease without renewal, in seconds
        :returns: the term, None if another process leads
        """
        sent_at = self._clock()
        granted = self._store.grant_lease(ttl)
        if granted.is_err():
            return granted
        lease, attempt = granted.ok_value, uuid.uuid4().hex
        body = msgspec.json.encode(_Record(name, attempt))
        expect = gateway.Expect(PREFIX + model, 0)
        put = gateway.Put(PREFIX + model, body, lease)
        written = self._store.transact((expect,), (put,))
        if written.is_ok():
            return result.Ok(leadership.Term(written.ok_value, lease, sent_at))
        resolved = self._resolve_write(model, attempt, written.err_value)
        if resolved.is_ok() and resolved.ok_value is not None:
            fence = resolved.ok_value.fence
            return result.Ok(leadership.Term(fence, lease, sent_at))
        # Without the lease, a write that arrives late has no effect.
        self._store.revoke(lease)
        return resolved

    def _resolve_write(
        self,
        model: str,
        attempt: str,
        error: stores.CasConflict | storefailures.StoreFailure,
    ) -> result.Result[Leader | None, storefailures.StoreFailure]:
        """Determine whether a write whose answer was lost took effect."""
        if isinstance(error, stores.CasConflict):
            return result.Ok(None)
        if not error.maybe_applied:
            return result.Err(error)
        return self.read(model).map(
            lambda leader: (
                leader if leader and leader.attempt == attempt else None
            )
        )

    def renew(
        self, term: leadership.Term
    ) -> result.Result[float | None, storefailures.StoreFailure]:
        """Renew the lease of a term.

        :returns: monotonic time just before the renewal was sent, None if
            the lease and so the term have ended
        """
        sent_at = self._clock()
        renewed = self._store.keep_alive(term.lease)
        return renewed.map(
            lambda remaining: sent_at if remaining > 0 else None
        )

    def resign(self, term: leadership.Term) -> None:
        """End a term, so that another process can lead before it expires."""
        self._store.revoke(term.lease)
