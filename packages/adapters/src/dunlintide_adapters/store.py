"""Client of the platform's key-value store (etcd v3 JSON gateway).

The client never retries a call: a write whose answer is lost may have taken
effect, and only its author can determine that by a read. Each call is bounded
in time, and a circuit breaker makes calls fail fast while the store is down.
"""

import threading
import time
from typing import Callable, Iterable

import attrs
import msgspec
import result
import urllib3

from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp
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
# Largest answer, in bytes, and its longest time in timeouts of one read.
MAX_ANSWER_BYTES = 16 << 20
BODY_READS = 4
MAX_WATCHES = 4
# Keys in one read; values are at most 1 MB, an answer stays near 4 MB.
READ_BATCH = 16

_OK = 'ok'
_CONFLICT = 'lost'
_HEADERS = {'Content-Type': 'application/json'}


@attrs.frozen
class CasConflict:
    """A transaction that wrote nothing because a key had changed.

    :ivar revision: revision of the store at the time of the compare
    :ivar ranges: results of the reads requested for this case
    """

    revision: int
    ranges: tuple[tuple['Value', ...], ...] = ()


@attrs.frozen
class Value:
    """A key and its value.

    :ivar mod_revision: store revision of its last change
    :ivar lease: id of its lease, 0 for none
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@attrs.frozen
class StoreTiming:
    """Time constants of the client, in seconds.

    :ivar connect: connect timeout
    :ivar read: longest time without data while an answer is awaited
    :ivar breaker: timing of the circuit breaker
    :ivar watch: timing of watches
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
    """Client of the store; threads may share it."""

    def __init__(
        self,
        url: str,
        metrics: process_metrics.Metrics | None,
        timing: StoreTiming,
    ) -> None:
        """Create a client; use ``from_url`` instead."""
        self.timing = timing
        self._url = url
        self._metrics = metrics
        self._lock = threading.Lock()
        self._circuit = circuit.CircuitBreaker(timing.breaker)
        self._pool = self._build_pool(MAX_CONNECTIONS)
        self._watch_pool = self._build_pool(MAX_WATCHES, is_stream=True)
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
        """Create a client; nothing is sent yet.

        :param url: base URL of the gateway
        :param metrics: counts each call, if given
        """
        return cls(url, metrics, timing)

    def close(self) -> None:
        """Interrupt open watches and close idle connections."""
        self.interrupt()
        self._pool.close()
        self._watch_pool.close()

    def is_down(self) -> bool:
        """Return whether the circuit breaker is open."""
        with self._lock:
            return self._circuit.is_open

    def get(
        self, key: str
    ) -> result.Result[Value | None, storefailures.StoreFailure]:
        """Read a key; None if it is absent."""
        body = gateway.build_range(key)
        return self._call_range(body).map(
            lambda found: next(iter(found), None)
        )

    def get_revision(
        self, key: str
    ) -> result.Result[int, storefailures.StoreFailure]:
        """Read the revision of a key's last change, 0 if it is absent."""
        body = gateway.build_range(key, keys_only=True)
        return self._call_range(body).map(
            lambda found: found[0].mod_revision if found else 0
        )

    def get_range(
        self, prefix: str, keys_only: bool = False
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read all keys that begin with a prefix, in key order.

        :param keys_only: omit the values
        """
        end = gateway.get_prefix_end(prefix)
        return self._call_range(gateway.build_range(prefix, end, keys_only))

    def get_page(
        self, key_range: gateway.Range
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read the keys of a range up to its limit, in key order."""
        return self._call_range(
            msgspec.json.encode(gateway.build_limited_range(key_range))
        )

    def get_many(
        self, keys: Iterable[str]
    ) -> result.Result[tuple[Value, ...], storefailures.StoreFailure]:
        """Read keys in batches; absent keys are omitted."""
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

        :param expected_mod_revision: revision of its last change, 0 for
            an absent key
        :param lease: id of the lease whose end removes the key
        :returns: revision of this write
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
        """Write and delete keys atomically if all conditions hold.

        :param failure_reads: ranges to read if a condition fails
        :returns: revision of the store and of the written keys
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
        """Create a lease.

        :param ttl: lifetime without renewal, in seconds
        :returns: id of the lease
        """
        return self._call_lease('grant', gateway.build_lease(ttl=ttl)).map(
            lambda grant: grant.ID
        )

    def keep_alive(
        self, lease: int
    ) -> result.Result[int, storefailures.StoreFailure]:
        """Renew a lease.

        :returns: remaining lifetime in seconds, 0 if the lease has expired
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
        """Report changes below a prefix until ``stop`` is set.

        Blocks. A watch that is silent for too long is reopened. To end a
        watch early, set ``stop`` and call ``interrupt``.

        :param start_revision: first revision to report on the first
            connection, 0 for changes from now on; a reopened watch reports
            changes from the time of reopening
        """
        self._watcher.watch(prefix, start_revision, on_event, stop)

    def interrupt(self) -> None:
        """Close open watches; each is reopened unless it was stopped."""
        self._watcher.interrupt()

    def _build_pool(
        self, size: int, is_stream: bool = False
    ) -> urllib3.HTTPConnectionPool:
        timeout = urllib3.Timeout(
            connect=self.timing.connect, read=self.timing.read
        )
        return boundedhttp.build_pool(
            self._url,
            is_stream,
            timeout=timeout,
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
                'circuit breaker of the store is open',
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
                'POST',
                path,
                body=body,
                pool_timeout=self.timing.read,
                preload_content=False,
            )
            content = bodies.read(
                answer,
                MAX_ANSWER_BYTES,
                self.timing.read * BODY_READS,
            )
        except urllib3.exceptions.HTTPError as error:
            return result.Err(storefailures.classify_error(error, writes))
        if answer.status != 200:
            return result.Err(
                storefailures.classify_status(answer.status, writes)
            )
        try:
            return result.Ok(gateway.decode(content, answer_type))
        except (msgspec.MsgspecError, RecursionError) as error:
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
        # A network element that lost the state of one connection may have
        # lost that of all idle connections; new connections still work.
        with self._lock:
            old_pool, self._pool = self._pool, self._build_pool(
                MAX_CONNECTIONS
            )
        old_pool.close()
