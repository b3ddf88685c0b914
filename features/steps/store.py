"""Steps for the store client."""

import threading

import behave
from dunlintide_adapters import circuit
from dunlintide_adapters import metrics
from dunlintide_adapters import store
from dunlintide_adapters import storefailures
from dunlintide_adapters import storewatch
from dunlintide_standins import faults
from dunlintide_standins.store import server
import prometheus_client
import urllib3
import waiting

KEY = '/test/key'
WAIT_SECONDS = 20.0
wait_until = waiting.make_wait(WAIT_SECONDS)
TIMING = store.StoreTiming(
    connect=1.0,
    read=0.5,
    breaker=circuit.CircuitTiming(initial_pause=0.05, max_pause=0.1),
    watch=storewatch.WatchTiming(silence=0.3, reconnect=0.1),
)


def start_standin(context, port=0):
    context.standin = server.Store(f'127.0.0.1:{port}')
    context.standin.start()
    context.add_cleanup(context.standin.stop)


@behave.given('a store and a client with short timeouts')
def start_store(context):
    start_standin(context)
    registry = prometheus_client.CollectorRegistry()
    context.metrics = metrics.Metrics.from_registry(registry, 'entry')
    context.store = store.Store.from_url(
        f'http://127.0.0.1:{context.standin.port}', context.metrics, TIMING
    )
    context.add_cleanup(context.store.close)


@behave.when('the client writes "{text}" over revision {revision:d}')
def write(context, text, revision):
    context.written = context.store.compare_and_swap(
        KEY, revision, text.encode()
    )


@behave.then('the write succeeds with the revision that a read shows')
def check_written(context):
    value = context.store.get(KEY).unwrap()
    assert context.written.unwrap() == value.mod_revision


@behave.then('the write is lost')
def check_lost(context):
    assert isinstance(context.written.unwrap_err(), store.CasConflict)


@behave.then('the store holds "{text}"')
def check_held(context, text):
    assert context.store.get(KEY).unwrap().value == text.encode()


@behave.when('the store drops the next answer')
def drop_answer(context):
    context.standin.fault_injector.change(faults.Fault(drop_answers=1))


@behave.then('the write fails and may have been applied')
def check_may_be_applied(context):
    failure = context.written.unwrap_err()
    assert isinstance(failure, storefailures.StoreFailure), failure
    assert failure.maybe_applied, failure


@behave.when("the store stops and the client's calls fail")
def fail_calls(context):
    context.standin.stop()
    wait_until(
        lambda: context.store.get(KEY).is_err() and context.store.is_down()
    )


@behave.then('the next calls fail fast and were not applied')
def check_fast(context):
    kinds = set()
    for _ in range(20):
        failure = context.store.compare_and_swap(KEY, 0, b'x').unwrap_err()
        assert not failure.maybe_applied, failure
        kinds.add(failure.kind)
    assert storefailures.FailureKind.CIRCUIT_OPEN in kinds, kinds


@behave.when('the store starts again at the same port')
def start_again(context):
    start_standin(context, context.standin.port)


@behave.then('the client reaches it again')
def check_reached(context):
    wait_until(lambda: context.store.get(KEY).is_ok())
    assert not context.store.is_down()


@behave.when('the store hangs')
def hang(context):
    context.store.get(KEY).unwrap()
    context.standin.fault_injector.change(faults.Fault(hang=True))


@behave.then('the next call after the hang succeeds')
def check_next_call(context):
    context.standin.fault_injector.change(faults.Fault(hang=False))
    assert context.store.get(KEY).is_ok()


@behave.when('the client writes a key with a lease and revokes the lease')
def use_lease(context):
    context.lease = context.store.grant_lease(60).unwrap()
    context.store.compare_and_swap(KEY, 0, b'x', context.lease).unwrap()
    assert context.store.keep_alive(context.lease).unwrap() == 60
    assert context.store.get(KEY).unwrap().lease == context.lease
    context.store.revoke(context.lease).unwrap()


@behave.then('the store holds nothing')
def check_empty(context):
    assert context.store.get(KEY).unwrap() is None


@behave.then('renewing the lease says that it lapsed')
def check_lapsed(context):
    assert context.store.keep_alive(context.lease).unwrap() == 0


@behave.given('a watch with a short silence bound')
def start_watch(context):
    context.events = []
    context.stop = threading.Event()
    context.watch = threading.Thread(
        target=context.store.watch,
        args=('/test/', 0, context.events.append, context.stop),
    )
    context.watch.start()
    context.add_cleanup(context.stop.set)
    wait_until(lambda: context.events)


@behave.when('the store silences its watches')
def silence(context):
    url = f'http://127.0.0.1:{context.standin.port}/control'
    urllib3.request('POST', url, json={'silence_watches': True})


def count_openings(context):
    kinds = [event.kind for event in context.events]
    return kinds.count(storewatch.WatchKind.OPENED)


@behave.when('the watch has been replaced {count:d} times')
def wait_replaced(context, count):
    wait_until(lambda: count_openings(context) > count)


@behave.then('the watch tells of "{text}" or of a new connection after it')
def check_watch_event(context, text):
    revision = context.written.unwrap()
    wait_until(lambda: context.events[-1].revision >= revision)


@behave.then('the watch ends soon after it is told to')
def check_watch_ends(context):
    context.stop.set()
    context.store.interrupt()
    context.watch.join(WAIT_SECONDS)
    assert not context.watch.is_alive()


@behave.given('{count:d} keys in the store')
def write_keys(context, count):
    context.keys = [f'/test/{number:03d}' for number in range(count)]
    for key in context.keys:
        context.store.compare_and_swap(key, 0, key.encode()).unwrap()


def count_reads(context):
    child = context.metrics.store_calls.labels('range', 'ok')
    return child._value.get()


@behave.then('the client reads all {count:d} in {calls:d} calls')
def check_read_many(context, count, calls):
    before = count_reads(context)
    values = context.store.get_many(context.keys).unwrap()
    assert [value.key for value in values] == context.keys
    assert count_reads(context) - before == calls
    prefix = context.store.get_range('/test/', keys_only=True).unwrap()
    assert [value.key for value in prefix] == context.keys
