"""Steps for idempotency claims in the store."""

from concurrent import futures
import unittest.mock

import behave
import grpc
import msgspec
import result

from dunlintide_adapters import claimroutes
from dunlintide_adapters import claims as writers
from dunlintide_adapters import store as stores
from dunlintide_core import claims
from dunlintide_standins import faults
from dunlintide_standins.store import server as standin

WAIT_SECONDS = 30.0


def _build_binding(key, executor, attempt='1', body=b'body'):
    return claims.Binding(
        key_digest=claims.digest_key('diner', key),
        fingerprint=claims.fingerprint_request(body),
        executor=executor,
        incarnation=1,
        attempt=attempt,
        generation=1,
        bound_at=0,
        retention=2**32,
    )


def _add_writer(context):
    store = stores.Store.from_url(f'http://127.0.0.1:{context.standin.port}')
    context.stack.callback(store.close)
    writer = writers.ClaimWriter(store)
    writer.start()
    context.stack.callback(writer.stop)
    context.writers.append(writer)


@behave.given('{count:d} claim writer on one store')
@behave.given('{count:d} claim writers on one store')
def start_writers(context, count):
    context.standin = standin.Store.from_config(standin.Config('127.0.0.1:0'))
    context.standin.start()
    context.stack.callback(context.standin.stop)
    context.writers = []
    context.bound = {}
    for _ in range(count):
        _add_writer(context)


@behave.given(
    '1 claim writer on one store that reads {count:d} segments a page'
)
def start_paged_writer(context, count):
    patch = unittest.mock.patch.object(writers, 'RANGE_PAGE', count)
    context.stack.enter_context(patch)
    start_writers(context, 1)


@behave.when('another writer joins')
def join(context):
    _add_writer(context)


@behave.given('the claim store loses the next {count:d} answers')
def lose_answers(context, count):
    context.standin.fault_injector.change(faults.Fault(drop_answers=count))


@behave.given('the claim store is down')
def go_down(context):
    context.standin.fault_injector.change(faults.Fault(down=True))


@behave.when('the claim store is back')
def come_back(context):
    context.standin.fault_injector.change(faults.Fault(down=False))


@behave.given(
    '{count:d} claim writers on one store that send claims to their owners'
)
def start_routed(context, count):
    start_writers(context, count)
    context.local_writers = context.writers
    context.servers = [
        _serve(context, writer) for writer in context.local_writers
    ]
    addresses = [address for _, address in context.servers]

    def build(writer, own):
        def find_owner(bucket):
            address = claims.choose_owner(bucket, addresses)
            return None if address == own else address

        timing = claimroutes.RouteTiming(timeout=WAIT_SECONDS)
        routed = claimroutes.RoutedWriter(writer, find_owner, timing)
        context.stack.callback(routed.close)
        return routed

    context.writers = list(map(build, context.local_writers, addresses))


def _serve(context, writer):
    server = grpc.server(futures.ThreadPoolExecutor(32))
    claimroutes.add_service(server, writer)
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    context.stack.callback(lambda: server.stop(None).wait())
    return server, f'127.0.0.1:{port}'


@behave.then('no claim writer has met a conflict')
def check_conflicts(context):
    assert [writer.conflicts for writer in context.local_writers] == [0, 0, 0]


@behave.when('every writer is told of the other owners')
def tell_owners(context):
    addresses = {address for _, address in context.servers}
    for writer, (_, own) in zip(context.writers, context.servers):
        writer.update_owners(addresses - {own})


@behave.then('the writers together start at most {count:d} commits a second')
def check_pace(context, count):
    rates = [1 / writer.dump()['interval'] for writer in context.writers]
    assert sum(rates) <= count * 1.001, rates


@behave.when('the first owner dies')
def kill_owner(context):
    server, _ = context.servers[0]
    server.stop(None).wait()
    context.writers[0].close()
    context.before = context.answers


@behave.when('each writer but the first binds the same {count:d} keys at once')
def bind_rest(context, count):
    bind_same(context, count, first=1)


@behave.then('every key has the same executor as before')
def check_unchanged(context):
    bound = {key: answer.unwrap().attempt for key, answer in context.before}
    assert context.answers
    for key, answer in context.answers:
        assert answer.unwrap().attempt == bound[key], key


@behave.when('each writer binds the same {count:d} keys at once')
def bind_same(context, count, first=0):
    def bind(number, key):
        wanted = _build_binding(
            f'k{key}', f'agent-{number}', f'{number}-{key}'
        )
        return key, context.writers[number].bind(wanted, WAIT_SECONDS)

    with futures.ThreadPoolExecutor(32) as pool:
        jobs = [
            pool.submit(bind, number, key)
            for key in range(count)
            for number in range(first, len(context.writers))
        ]
    context.answers = [job.result() for job in jobs]


@behave.then('every key has one executor in all answers')
def check_agreement(context):
    executors = {}
    for key, answer in context.answers:
        executors.setdefault(key, set()).add(answer.unwrap().attempt)
    assert len(executors) == len(context.answers) / len(context.writers)
    assert all(len(held) == 1 for held in executors.values()), executors


@behave.when('the first writer binds key "{key}" to "{executor}"')
def bind_first(context, key, executor):
    answer = context.writers[0].bind(
        _build_binding(key, executor), WAIT_SECONDS
    )
    context.bound[key] = answer.unwrap()


@behave.when('the first writer binds {count:d} keys one by one')
def bind_one_by_one(context, count):
    for number in range(count):
        # One bucket, so that its segments fill several pages.
        wanted = msgspec.structs.replace(
            _build_binding(f'k{number}', 'agent-1'),
            key_digest=bytes(4) + number.to_bytes(12, 'big'),
        )
        context.bound[number] = (
            context.writers[0].bind(wanted, WAIT_SECONDS).unwrap()
        )


@behave.then('the second writer finds all {count:d} keys')
def find_all(context, count):
    assert len(context.bound) == count
    for held in context.bound.values():
        wanted = msgspec.structs.replace(held, executor='x', attempt='2')
        found = context.writers[1].bind(wanted, WAIT_SECONDS).unwrap()
        assert found == held, found


@behave.when(
    'the writer binds {count:d} keys from 100 threads with a slow store'
)
def bind_slowly(context, count):
    context.standin.fault_injector.change(faults.Fault(slow_seconds=0.05))
    with futures.ThreadPoolExecutor(100) as pool:
        jobs = [
            pool.submit(
                context.writers[0].bind,
                _build_binding(f'k{number}', 'agent-1'),
                WAIT_SECONDS,
            )
            for number in range(count)
        ]
    for job in jobs:
        job.result().unwrap()


@behave.then('the claim transactions are at most {count:d}')
def count_transactions(context, count):
    calls = context.standin.report()['counts']['txn']
    assert 0 < calls <= count, calls


@behave.then('the {which} writer finds key "{key}" bound to "{executor}"')
def find_bound(context, which, key, executor):
    writer = context.writers[('first', 'second').index(which)]
    wanted = _build_binding(key, 'agent-9', attempt='2')
    held = writer.bind(wanted, WAIT_SECONDS).unwrap()
    assert held.executor == executor, held


@behave.then('the store holds one claim of key "{key}"')
def count_claims(context, key):
    store = stores.Store.from_url(f'http://127.0.0.1:{context.standin.port}')
    context.stack.callback(store.close)
    segments = [
        claims.decode_segment(value.value)
        for value in store.get_range(writers.PREFIX).unwrap()
        if not value.key.endswith('head')
    ]
    digest = claims.digest_key('diner', key)
    held = [
        binding
        for segment in segments
        for binding in segment.bindings
        if binding.key_digest == digest
    ]
    assert len(held) == 1, held


@behave.then('the second writer is refused key "{key}" for other content')
def refuse_other(context, key):
    wanted = _build_binding(key, 'agent-2', attempt='2', body=b'other')
    answer = context.writers[1].bind(wanted, WAIT_SECONDS)
    assert isinstance(answer.unwrap_err(), claims.ReusedKey)


@behave.when('a claim of key "{key}" by another attempt is released')
def release_other(context, key):
    other = msgspec.structs.replace(context.bound[key], attempt='other')
    context.writers[0].release(other, WAIT_SECONDS).unwrap()


@behave.when('the claim of key "{key}" is released')
def release(context, key):
    context.writers[0].release(context.bound[key], WAIT_SECONDS).unwrap()


@behave.when('the second writer releases the claim that it still knows')
def release_known(context):
    # A writer's view may still hold a claim that another writer released.
    # The executor then refuses the sealed attempt again, and the writer
    # repeats the release.
    (held,) = context.bound.values()
    context.writers[1].release(held, WAIT_SECONDS).unwrap()


@behave.then('the second writer can bind key "{key}" to "{executor}"')
def bind_second(context, key, executor):
    answer = context.writers[1].bind(
        _build_binding(key, executor, '3'), WAIT_SECONDS
    )
    assert answer.unwrap().executor == executor


@behave.then('the first writer can bind key "{key}" to "{executor}"')
def bind_again(context, key, executor):
    answer = context.writers[0].bind(
        _build_binding(key, executor, '3'), WAIT_SECONDS
    )
    assert answer.unwrap().executor == executor


@behave.then('binding key "{key}" within {seconds:f} seconds fails')
def fail_binding(context, key, seconds):
    answer = context.writers[0].bind(_build_binding(key, 'agent-1'), seconds)
    assert isinstance(answer, result.Err), answer
    assert isinstance(answer.err_value, writers.Unbound), answer


@behave.given('a bucket with claims kept for 60, 600 and 6000 seconds')
def fill_bucket(context):
    context.bucket = claims.Bucket()
    context.kept = {
        seconds: msgspec.structs.replace(
            _build_binding(str(seconds), 'agent-1'), retention=seconds
        )
        for seconds in (60, 600, 6000)
    }
    context.bucket.apply_segments(
        [claims.Segment(tuple(context.kept.values()))]
    )


@behave.when('{seconds:d} seconds have passed for the bucket')
def pass_time(context, seconds):
    context.bucket.expire(seconds)


@behave.then('the bucket knows only the claim kept for {seconds:d} seconds')
def check_kept(context, seconds):
    known = [
        kept
        for kept, binding in context.kept.items()
        if context.bucket.find_conflict(binding) is not None
    ]
    assert known == [seconds], known
    assert len(context.bucket) == 1
