"""Store calls that claims cost, against one write a claim."""

from concurrent import futures
import contextlib
import time
from typing import Iterator

from dunlintide_adapters import claims as writers
from dunlintide_adapters import store as stores
from dunlintide_core import claims
from dunlintide_standins import faults
from dunlintide_standins.store import server as standin
from dunlintide_trials import figures

__all__ = ['CASES']

CLAIMS = 2000
CALLERS = 64
WRITERS = 3
STORE_SECONDS = 0.005
MAX_CALLS_PER_THOUSAND = 300.0
_TIMEOUT = 30.0
_RETENTION = 3600


def _build(number: int) -> claims.Binding:
    return claims.Binding(
        key_digest=claims.digest_key('diner', f'key-{number}'),
        fingerprint=claims.fingerprint_request(b'body'),
        executor='agent-1',
        incarnation=1,
        attempt=f'attempt-{number}',
        generation=1,
        bound_at=int(time.time()),
        retention=_RETENTION,
    )


@contextlib.contextmanager
def _serve_store() -> Iterator[standin.Store]:
    store = standin.Store.from_config(standin.Config('127.0.0.1:0'))
    store.start()
    try:
        store.gate.change(faults.Fault(slow_seconds=STORE_SECONDS))
        yield store
    finally:
        store.stop()


def _count_calls(store: standin.Store) -> int:
    counts = store.report()['counts']
    return sum(counts[kind] for kind in ('txn', 'range', 'put', 'lease'))


def _run(bind) -> float:
    """Bind all claims and give the seconds that it took."""
    started = time.monotonic()
    with futures.ThreadPoolExecutor(CALLERS) as pool:
        for answer in pool.map(bind, range(CLAIMS)):
            answer.unwrap()
    return time.monotonic() - started


def _measure_grouped(count: int) -> tuple[float, float]:
    """Give store calls per 1,000 claims and claims a second."""
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(_serve_store())
        group = []
        for _ in range(count):
            client = stores.Store.from_url(f'http://127.0.0.1:{store.port}')
            stack.callback(client.close)
            writer = writers.ClaimWriter(client)
            writer.start()
            stack.callback(writer.stop)
            group.append(writer)
        spent = _run(
            lambda number: group[number % count].bind(_build(number), _TIMEOUT)
        )
        return _count_calls(store) * 1000 / CLAIMS, CLAIMS / spent


def _measure_single() -> tuple[float, float]:
    """Give the same for one compare-and-swap a claim."""
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(_serve_store())
        client = stores.Store.from_url(f'http://127.0.0.1:{store.port}')
        stack.callback(client.close)

        def bind(number: int):
            binding = _build(number)
            data = claims.encode_segment(claims.Segment((binding,)))
            key = f'/dunlintide/single/{binding.key_digest.hex()}'
            return client.compare_and_swap(key, 0, data)

        spent = _run(bind)
        return _count_calls(store) * 1000 / CLAIMS, CLAIMS / spent


def measure_writes() -> Iterator[figures.Figure]:
    """Count store calls per 1,000 claims, for one and three writers."""
    single_calls, single_rate = _measure_single()
    note = (
        f'{CLAIMS} claims, {CALLERS} callers, '
        f'store answering in {STORE_SECONDS * 1000:.0f} ms'
    )
    for count in (1, WRITERS):
        calls, rate = _measure_grouped(count)
        suffix = f'claims.writes.{count}_writers'
        yield figures.at_most(
            suffix,
            calls,
            'calls/1000',
            MAX_CALLS_PER_THOUSAND,
            single_calls,
            note,
        )
        yield figures.plain(
            f'{suffix}.rate', rate, 'claims/s', single_rate, note
        )


CASES = [measure_writes]
