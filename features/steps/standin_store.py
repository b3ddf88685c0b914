"""Steps for the stand-in of the store."""

import base64
from concurrent import futures
import json
import threading

import behave
from dunlintide_standins.store import server as store_server
import standin_calls
import urllib3


def b64(data):
    return base64.b64encode(data).decode()


def put(store, key, value, **options):
    call_ = {'key': b64(key), 'value': b64(value), **options}
    return standin_calls.call(store, 'POST', '/v3/kv/put', call_)


def get(store, key):
    kvs = standin_calls.post(store, '/v3/kv/range', {'key': b64(key)}).get(
        'kvs'
    )
    return kvs and base64.b64decode(kvs[0]['value'])


def watch(context):
    """Watch all keys; return the received events, then an end marker."""
    create = {'create_request': {'key': b64(b'\0'), 'range_end': b64(b'\0')}}
    stream = standin_calls.call(
        context.store, 'POST', '/v3/watch', create, preload_content=False
    )
    context.stack.callback(stream.close)
    context.seen = []
    context.ended = threading.Event()

    def read():
        try:
            for line in stream:
                context.seen.append(json.loads(line)['result'])
        except (urllib3.exceptions.HTTPError, OSError):
            context.seen.append('cut')
        context.ended.set()

    threading.Thread(target=read, daemon=True).start()
    standin_calls.wait_until(lambda: context.seen)


@behave.given('a stand-in store')
def given_store(context):
    store = store_server.Store.from_config(store_server.Config())
    context.store = standin_calls.start(context, store)


@behave.given('a stand-in store that loses the next answer')
def given_losing_store(context):
    given_store(context)
    standin_calls.post(context.store, '/control', {'drop_answers': 1})


@behave.when('two writers create the same key in the stand-in store')
def race(context):
    key = b64(b'k')

    def create(value):
        return standin_calls.post(
            context.store,
            '/v3/kv/txn',
            {
                'compare': [{'key': key, 'target': 'VERSION', 'version': '0'}],
                'success': [{'requestPut': {'key': key, 'value': value}}],
                'failure': [{'requestRange': {'key': key}}],
            },
        )

    with futures.ThreadPoolExecutor() as pool:
        context.values = [b64(b'one'), b64(b'two')]
        context.answers = list(pool.map(create, context.values))


@behave.then(
    "one create in the stand-in store succeeded and the other "
    "saw the first one's value"
)
def check_race(context):
    won = [answer.get('succeeded', False) for answer in context.answers]
    assert sorted(won) == [False, True], won
    loser = context.answers[won.index(False)]
    (pair,) = loser['responses'][0]['response_range']['kvs']
    assert pair['value'] == context.values[won.index(True)], pair
    assert pair['version'] == '1', pair


@behave.when('a put to the stand-in store gets no answer')
def lose_put(context):
    put_ = {'key': b64(b'k'), 'value': b64(b'v')}
    standin_calls.expect_no_answer(context.store, 'POST', '/v3/kv/put', put_)


@behave.then('the stand-in store has that value')
def check_lost_put(context):
    assert get(context.store, b'k') == b'v'


@behave.then('the next put to the stand-in store is answered')
def check_next_put(context):
    assert put(context.store, b'k', b'w').status == 200


@behave.when(
    'a key of the stand-in store hangs on a lease of 1 second, '
    'one on a kept one'
)
def hang_on_leases(context):
    watch(context)
    for key in (b'short', b'kept'):
        grant = standin_calls.post(
            context.store, '/v3/lease/grant', {'TTL': '1'}
        )
        answer = put(context.store, key, b'v', lease=grant['ID'])
        assert answer.status == 200, answer.data
    context.lease = {'ID': grant['ID']}


@behave.then('only the first key goes from the stand-in store')
def check_expiry(context):
    def is_gone():
        standin_calls.post(context.store, '/v3/lease/keepalive', context.lease)
        return get(context.store, b'short') is None

    assert not is_gone()
    standin_calls.wait_until(is_gone)
    assert get(context.store, b'kept') == b'v'


@behave.then('a watch of the stand-in store from before saw its removal')
def check_watch(context):
    def list_events():
        return [
            (event.get('type', 'PUT'), event['kv']['key'])
            for message in context.seen
            for event in message.get('events', ())
        ]

    standin_calls.wait_until(lambda: len(list_events()) >= 3)
    short, kept = b64(b'short'), b64(b'kept')
    expected = [('PUT', short), ('PUT', kept), ('DELETE', short)]
    assert list_events() == expected, context.seen


@behave.then('the stand-in store takes a value of {size:d} bytes')
def check_size_taken(context, size):
    assert put(context.store, b'k', bytes(size)).status == 200


@behave.then('the stand-in store refuses a value of {size:d} bytes')
def check_size_refused(context, size):
    answer = put(context.store, b'large', bytes(size))
    assert answer.status == 400, answer.status
    assert 'too large' in answer.json()['message']
    assert get(context.store, b'large') is None


@behave.when('the stand-in store is saved, written to and restored')
def restore(context):
    answer = put(context.store, b'k', b'old')
    context.revision = answer.json()['header']['revision']
    standin_calls.post(context.store, '/control/save', {})
    watch(context)
    put(context.store, b'k', b'new')
    standin_calls.post(context.store, '/control/restore', {})


@behave.then('the stand-in store has the saved revision and value')
def check_restored(context):
    answer = standin_calls.post(
        context.store, '/v3/kv/range', {'key': b64(b'k')}
    )
    assert answer['header']['revision'] == context.revision, answer
    assert answer['kvs'][0]['value'] == b64(b'old'), answer


@behave.then('a watch of the stand-in store that was open has ended')
def check_watch_end(context):
    assert context.ended.wait(standin_calls.WAIT_SECONDS)


@behave.when('the stand-in store goes down under an open watch')
def go_down(context):
    watch(context)
    standin_calls.post(context.store, '/control', {'down': True})


@behave.then('a read of the stand-in store gets no answer until it is up')
def check_down(context):
    key = {'key': b64(b'k')}
    standin_calls.expect_no_answer(context.store, 'POST', '/v3/kv/range', key)
    standin_calls.post(context.store, '/control', {'down': False})
    standin_calls.post(context.store, '/v3/kv/range', key)


@behave.when(
    'the open watch of the stand-in store is silenced and a key changes'
)
def silence(context):
    watch(context)
    standin_calls.post(context.store, '/control', {'silence_watches': True})
    put(context.store, b'k', b'v')


@behave.then(
    'a new watch of the stand-in store sees the change and the old one '
    'nothing'
)
def check_silence(context):
    old, ended = context.seen, context.ended
    watch(context)
    put(context.store, b'k', b'w')
    standin_calls.wait_until(lambda: 'events' in context.seen[-1])
    report = standin_calls.call(context.store, 'GET', '/control').json()
    assert report['watching'] == 2, report
    assert len(old) == 1 and not ended.is_set(), old
