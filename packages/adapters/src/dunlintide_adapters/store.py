"""Client of the platform's key-value store (etcd v3 JSON gateway).

No call is repeated here: a write whose answer is lost may have taken
effect, and only its author can tell by reading. Each call is bounded in
time, and while the store is down calls fail fast.
"""

import threading
import time
from typing import Callable, Iterable

import attrs
import msgspec
import result
import urllib3

from dunlintide_adapters import circuit
from dunlintide_adapters import gateway
from dunlintide_adapters import metrics as process_metrics
from dunlintide_adapters import storefailures
from dunlintide_adapters import storewatch

__all__ = [
    'CasConflict',
    'Store',
    'StoreTiming',
    'Value',
]

MAX_CONNECTIONS = 8
MAX_WATCHES = 4
# Values are at most 1 MB; a read of many keys stays near 4 MB.
READ_BATCH = 16

_OK = 'ok'
_CONFLICT = 'lost'
_HEADERS = {'Content-Type': 'application/json'}


@attrs.frozen
class CasConflict:
    """A write that was not made, as a key had changed.

    :ivar revision: revision of the store when it was refused
    :ivar ranges: what was asked to be read in this case
    """

    revision: int
    ranges: tuple[tuple['Value', ...], ...] = ()


@attrs.frozen
class Value:
    """A key and what it holds.

    :ivar mod_revision: revision of its last change
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@attrs.frozen
class StoreTiming:
    """Time constants of the client, in seconds.

    :ivar connect: longest time to connect
    :ivar read: longest silence while an answer is awaited
    """

    connect: float = 0.5
    read: float = 2.0
    breaker: circuit.CircuitTiming = circuit.CircuitTiming()
    watch: storewatch.WatchTiming = storewatch.WatchTiming()


def _make_value(pair: gateway.KeyValue) -> Value:
    key = pair.key.decode(errors='replace')
    return Value(key, pair.value, pair.mod_revision, pair.lease)


def _read_responses(
    answer: gateway.TxnAnswer,
) -> tuple[tuple[Value, ...], ...]:
    return tuple(
        tuple(map(_make_value, response.response_range.kvs))
        for response in answer.responses
        if response.response_range is not None
    )


class Store:
    """A client that many threads may share."""

    def __init__(
        self,
        url: str,
        metrics: process_metrics.Metrics | None,
        timing: StoreTiming,
    ) -> None:
        """Remember the address; use ``from_url`` instead."""
        self.timing = timing
        self._url = url
        self._metrics = metrics
        self._lock = threading.Lock()
        self._circuit = circuit.Circuit(timing.breaker)
        self._pool = self._build_pool(MAX_CONNECTIONS)
        self._watch_pool = self._build_pool(MAX_WATCHES)
        self._watcher = storewatch.Watcher(
            self._watch_pool,
            timing.watch,
            lambda outcome: self._count('watch', outcome),
        )

    @classmethod
    def from_url(
        cls,
        url: str,
        metrics: process_metrics.Metrics | None = None,
        timing: StoreTiming = StoreTiming(),
    ) -> 'Store':
        """Build a client; nothing is sent yet.

        :param url: base URL of the gateway
        :param metrics: counts each call when given
        """
        return cls(url, metrics, timing)

    def close(self) -> None:
        """End open watches and close idle connections."""
        self.interrupt()
        self._pool.close()
        self._watch_pool.close()

    def is_down(self) -> bool:
        """Tell whether calls are failing fast now."""
        with self._lock:
            return self._circuit.is_open

    def get(
        self, key: str
    ) -> result.Result[Value | None, storefailures.StoreFailure]:
        """Read a key; None when it is absent."""
        body = gateway.build_range(key)
        return self._call_range(body).map(
            lambda found: next(iter(found), None)
        )

    def get_revision(
        self, key: str
    ) -> result.Result[int, storefailures.StoreFailure]:
        """Read when a key last changed, 0 when it is absent."""
        body = gateway.build_range(key, keys_only=True)
        return self._call_range(body).map(
            lambda found: found[0].mod_revision if found else 0
        )

    def get_range(
        self, prefix: str, keys_only: bool = False
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read all keys that begin with a prefix, in their order.

        :param keys_only: leave the values out
        """
        end = gateway.get_prefix_end(prefix)
        return self._call_range(gateway.build_range(prefix, end, keys_only))

    def get_page(
        self, key_range: gateway.Range
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read some of the keys of a range, in their order."""
        return self._call_range(
            msgspec.json.encode(gateway.build_limited_range(key_range))
        )

    def get_many(
        self, keys: Iterable[str]
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read keys in few calls; absent ones are left out."""
        keys = list(keys)
        values: list[Value] = []
        for start in range(0, len(keys), READ_BATCH):
            body = gateway.build_txn(reads=keys[start : start + READ_BATCH])
            found = self._call('range', '/v3/kv/txn', body, gateway.TxnAnswer)
            if found.is_err():
                return found
            for response in _read_responses(found.ok_value):
                values += response
        return result.Ok(tuple(values))

    def compare_and_swap(
        self,
        key: str,
        expected_mod_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> result.Result[int, CasConflict | storefailures.StoreFailure]:
        """Write a key unless it has changed.

        :param expected_mod_revision: its last change, 0 for absent
        :param lease: lease whose end removes the key
        :returns: its new mod revision
        """
        expect = gateway.Expect(key, expected_mod_revision)
        put = gateway.Put(key, value, lease or 0)
        return self.transact((expect,), (put,))

    def transact(
        self,
        expects: Iterable[gateway.Expect],
        puts: Iterable[gateway.Put] = (),
        deletes: Iterable[str] = (),
        failure_reads: Iterable[gateway.Range] = (),
    ) -> result.Result[int, CasConflict | storefailures.StoreFailure]:
        """Write and delete keys as one, if all conditions hold.

        :param otherwise: what to read when one does not
        :returns: revision of the store, and so of the keys written
        """
        body = gateway.build_txn(expects, puts, deletes, (), failure_reads)
        answer_type = gateway.TxnAnswer
        reply = self._call('txn', '/v3/kv/txn', body, answer_type, writes=True)
        if reply.is_err():
            return reply
        answer = reply.ok_value
        revision = answer.header.revision
        if answer.succeeded:
            return result.Ok(revision)
        self._count('txn', _CONFLICT)
        return result.Err(CasConflict(revision, _read_responses(answer)))

    def grant_lease(
        self, ttl: int
    ) -> result.Result[int, storefailures.StoreFailure]:
        """Ask for a lease.

        :param ttl: seconds that it lives without renewal
        :returns: its id
        """
        return self._call_lease('grant', gateway.build_lease(ttl=ttl)).map(
            lambda grant: grant.ID
        )

    def keep_alive(
        self, lease: int
    ) -> result.Result[int, storefailures.StoreFailure]:
        """Renew a lease.

        :returns: seconds that it lives from now, 0 when it has lapsed
        """
        body = gateway.build_lease(lease)
        return self._call_lease('keepalive', body, gateway.KeepAlive).map(
            lambda answer: answer.result.TTL
        )

    def revoke(
        self, lease: int
    ) -> result.Result[None, storefailures.StoreFailure]:
        """End a lease and remove its keys."""
        body = gateway.build_lease(lease)
        return self._call_lease('revoke', body).map(lambda _: None)

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_event: Callable[[storewatch.WatchEvent], None],
        stop: threading.Event,
    ) -> None:
        """Tell of changes below a prefix until ``stop`` is set.

        Blocks. A watch that is silent for too long is replaced. Set
        ``stop`` and call ``interrupt`` to end it early.

        :param start_revision: first revision for the first connection, 0
            for changes from now on; later ones show changes from then on
        """
        self._watcher.watch(prefix, start_revision, on_event, stop)

    def interrupt(self) -> None:
        """Cut the watches that are open; each opens again unless stopped."""
        self._watcher.interrupt()

    def _build_pool(self, size: int) -> urllib3.HTTPConnectionPool:
        timeout = urllib3.Timeout(
            connect=self.timing.connect, read=self.timing.read
        )
        return urllib3.connection_from_url(
            self._url,
            timeout=timeout,
            retries=False,
            maxsize=size,
            block=True,
            headers=_HEADERS,
        )

    def _count(self, kind: str, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.labels(kind, outcome).inc()

    def _call_range(
        self, body: bytes
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        answer_type = gateway.RangeAnswer
        reply = self._call('range', '/v3/kv/range', body, answer_type)
        return reply.map(lambda found: tuple(map(_make_value, found.kvs)))

    def _call_lease(
        self, action: str, body: bytes, answer_type: type = gateway.Grant
    ) -> result.Result:
        return self._call(
            'lease', f'/v3/lease/{action}', body, answer_type, writes=True
        )

    def _call(
        self,
        label: str,
        path: str,
        body: bytes,
        answer_type: type,
        writes=False,
    ) -> result.Result:
        with self._lock:
            is_admitted = self._circuit.admit(time.monotonic())
        if not is_admitted:
            failure = storefailures.StoreFailure(
                storefailures.FailureKind.CIRCUIT_OPEN,
                'the store is down',
                False,
            )
            self._count(label, failure.kind)
            return result.Err(failure)
        started = time.monotonic()
        reply = self._send(path, body, answer_type, writes)
        self._update_circuit(reply)
        if self._metrics is not None:
            elapsed = time.monotonic() - started
            self._metrics.store_seconds.labels(label).observe(elapsed)
        outcome = reply.err_value.kind if reply.is_err() else _OK
        self._count(label, outcome)
        return reply

    def _send(
        self, path: str, body: bytes, answer_type: type, writes: bool
    ) -> result.Result:
        try:
            answer = self._pool.request(
                'POST', path, body=body, pool_timeout=self.timing.read
            )
        except urllib3.exceptions.HTTPError as error:
            return result.Err(storefailures.classify_error(error, writes))
        if answer.status != 200:
            return result.Err(
                storefailures.classify_status(answer.status, writes)
            )
        try:
            return result.Ok(gateway.decode(answer.data, answer_type))
        except msgspec.MsgspecError as error:
            return result.Err(storefailures.classify_error(error, writes))

    def _update_circuit(self, reply: result.Result) -> None:
        kind = reply.err_value.kind if reply.is_err() else None
        with self._lock:
            if kind is None or kind is storefailures.FailureKind.REFUSED:
                self._circuit.succeed()
            elif kind is storefailures.FailureKind.BUSY:
                self._circuit.release()
            else:
                self._circuit.fail(time.monotonic())
        if kind is storefailures.FailureKind.TIMEOUT:
            self._replace_pool()

    def _replace_pool(self) -> None:
        # What has lost track of one connection may have lost all that are
        # idle; new ones would work.
        with self._lock:
            old_pool, self._pool = self._pool, self._build_pool(
                MAX_CONNECTIONS
            )
        old_pool.close()
