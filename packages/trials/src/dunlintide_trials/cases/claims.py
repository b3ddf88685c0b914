"""Store calls per claim, compared with one write for each claim."""

from concurrent import futures
import contextlib
import time
from typing import Iterator

import grpc
import result

from dunlintide_adapters import claimroutes
from dunlintide_adapters import claims as writers
from dunlintide_adapters import store as stores
from dunlintide_adapters import storefailures
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
MAX_CALLS_ROUTED = 200.0
_TIMEOUT = 30.0
_BUSY = result.Err(
    storefailures.StoreFailure(
        storefailures.FailureKind.BUSY, 'EmptyPoolError', False
    )
)
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
        store.fault_injector.change(faults.Fault(slow_seconds=STORE_SECONDS))
        yield store
    finally:
        store.stop()


def _count_calls(store: standin.Store) -> int:
    counts = store.report()['counts']
    return sum(counts[kind] for kind in ('txn', 'range', 'put', 'lease'))


def _run(bind) -> float:
    """Bind all claims and return the elapsed seconds."""
    started = time.monotonic()
    with futures.ThreadPoolExecutor(CALLERS) as pool:
        for answer in pool.map(bind, range(CLAIMS)):
            answer.unwrap()
    return time.monotonic() - started


def _measure_grouped(count: int, routed: bool) -> tuple[float, float]:
    """Return store calls per 1,000 claims and claims per second.

    :param count: number of writers
    :param routed: whether claims are sent to the owners of their buckets
    """
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
        if routed:
            group = _build_routed(group, stack)
        spent = _run(
            lambda number: group[number % count].bind(_build(number), _TIMEOUT)
        )
        return _count_calls(store) * 1000 / CLAIMS, CLAIMS / spent


def _serve_claims(
    writer: writers.ClaimWriter, stack: contextlib.ExitStack
) -> str:
    """Serve a writer's claims and return the address of the server."""
    server = grpc.server(futures.ThreadPoolExecutor(CALLERS))
    claimroutes.add_service(server, writer)
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    stack.callback(lambda: server.stop(None).wait())
    return f'127.0.0.1:{port}'


def _build_routed(
    group: list[writers.ClaimWriter], stack: contextlib.ExitStack
) -> list[claimroutes.RoutedWriter]:
    """Make writers that send claims to the owners of their buckets."""
    addresses = [_serve_claims(writer, stack) for writer in group]

    def build(writer: writers.ClaimWriter, own: str):
        def find(bucket: int) -> str | None:
            address = claims.choose_owner(bucket, addresses)
            return None if address == own else address

        routed = claimroutes.RoutedWriter(writer, find)
        stack.callback(routed.close)
        return routed

    return [build(*pair) for pair in zip(group, addresses, strict=True)]


def _measure_single() -> tuple[float, float]:
    """Measure one compare-and-swap per claim.

    :returns: see ``_measure_grouped``
    """
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(_serve_store())
        client = stores.Store.from_url(f'http://127.0.0.1:{store.port}')
        stack.callback(client.close)

        def bind(number: int):
            binding = _build(number)
            data = claims.encode_segment(claims.Segment((binding,)))
            key = f'/dunlintide/single/{binding.key_digest.hex()}'
            answer = client.compare_and_swap(key, 0, data)
            while answer == _BUSY:
                # No connection was free, so nothing was sent.
                answer = client.compare_and_swap(key, 0, data)
            return answer

        spent = _run(bind)
        return _count_calls(store) * 1000 / CLAIMS, CLAIMS / spent


def measure_writes() -> Iterator[figures.Figure]:
    """Measure store calls per 1,000 claims for one and three writers."""
    single_calls, single_rate = _measure_single()
    note = (
        f'{CLAIMS} claims, {CALLERS} callers, '
        f'store answering in {STORE_SECONDS * 1000:.0f} ms'
    )
    for count, routed in ((1, False), (WRITERS, False), (WRITERS, True)):
        calls, rate = _measure_grouped(count, routed)
        name = f'claims.writes.{count}_writers' + '_routed' * routed
        bound = MAX_CALLS_ROUTED if routed else MAX_CALLS_PER_THOUSAND
        yield figures.at_most(
            name, calls, 'calls/1000', bound, single_calls, note
        )
        yield figures.plain(
            f'{name}.rate', rate, 'claims/s', single_rate, note
        )


CASES = [measure_writes]
