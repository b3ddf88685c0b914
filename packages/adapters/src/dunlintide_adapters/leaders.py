"""Leadership of models in the store: one key a model, on a lease.

A key is written once in its life, so the revision of that write is the
fencing number of the term. It rises from term to term.
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
    """Who leads a model.

    :ivar attempt: names the write, so that its author can settle it
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
    except msgspec.MsgspecError:
        # Not ours to read, but somebody's: nobody else leads.
        record = _Record('', '')
    return Leader(record.name, record.attempt, value.mod_revision)


class Leaders:
    """Keys and leases of the leaders."""

    def __init__(
        self,
        store: stores.Store,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Remember the store; nothing is sent yet."""
        self._store = store
        self._clock = clock

    def read(
        self, model: str
    ) -> result.Result[Leader | None, storefailures.StoreFailure]:
        """Read who leads a model, None for nobody."""
        return self._store.get(PREFIX + model).map(_read_leader)

    def acquire(
        self, model: str, name: str, ttl: int
    ) -> result.Result[leadership.Term | None, storefailures.StoreFailure]:
        """Try to become the leader of a model.

        :param name: of this process
        :param seconds: time that the lease lives without renewal
        :returns: the term, None when another process leads
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
        # Without its lease a write that is still under way has no effect.
        self._store.revoke(lease)
        return resolved

    def _resolve_write(
        self,
        model: str,
        attempt: str,
        error: stores.CasConflict | storefailures.StoreFailure,
    ) -> result.Result[Leader | None, storefailures.StoreFailure]:
        """Find out whether a write whose answer was lost took effect."""
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

        :returns: monotonic time just before the renewal was sent, None
            when the lease has ended and the term with it
        """
        sent_at = self._clock()
        renewed = self._store.keep_alive(term.lease)
        return renewed.map(
            lambda remaining: sent_at if remaining > 0 else None
        )

    def resign(self, term: leadership.Term) -> None:
        """End a term, so that another process need not wait for it."""
        self._store.revoke(term.lease)
