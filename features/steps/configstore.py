"""Steps for the configuration that is kept in the store."""

import threading
from unittest import mock
import uuid

import behave
from dunlintide_adapters import circuit
from dunlintide_adapters import configkeys
from dunlintide_adapters import configstore
from dunlintide_adapters import configwatch
from dunlintide_adapters import store
from dunlintide_adapters import storefailures
from dunlintide_adapters import storewatch
from dunlintide_standins.store import server
import msgspec
import result
import urllib3
import waiting

WAIT_SECONDS = 20.0
wait_until = waiting.make_wait(WAIT_SECONDS)
POLL_SECONDS = 0.1
TIMING = store.StoreTiming(
    connect=1.0,
    read=1.0,
    breaker=circuit.CircuitTiming(initial_pause=0.05, max_pause=0.1),
    watch=storewatch.WatchTiming(silence=1.0, reconnect=0.1),
)


def encode(names):
    teams = [{'name': name} for name in sorted(names)]
    return msgspec.json.encode({'members': teams})


def list_names(snapshot):
    teams = msgspec.json.decode(snapshot.document)['members']
    return {team['name'] for team in teams}


def add(context, name, base=None, change_id=None):
    """Add a team to ``base``, by default the configuration in force."""
    base = base or context.configs.read().unwrap()
    return context.configs.apply(
        encode(list_names(base) | {name}),
        base.head.revision,
        change_id or uuid.uuid4().hex,
        'operator',
        f'add {name}',
    )


def control(context, path='', **fault):
    url = f'http://127.0.0.1:{context.standin.port}/control{path}'
    urllib3.request('POST', url, json=fault)


def list_chunks(context):
    found = context.client.get_range(configkeys.CHUNKS, keys_only=True)
    return {value.key for value in found.unwrap()}


@behave.given('a configuration store with {count:d} teams in force')
def start(context, count):
    context.standin = server.Store('127.0.0.1:0')
    context.standin.start()
    context.add_cleanup(context.standin.stop)
    url = f'http://127.0.0.1:{context.standin.port}'
    context.client = store.Store.from_url(url, timing=TIMING)
    context.add_cleanup(context.client.close)
    context.configs = configstore.ConfigStore.from_store(context.client)
    assert context.configs.read().unwrap() is None
    document = encode(f'team-{number}' for number in range(count))
    context.configs.apply(document, 0, 'base', 'operator', '').unwrap()
    context.base = context.configs.read().unwrap()
    context.chunks = list_chunks(context)


@behave.when('an operator adds the team "{name}" to the stored configuration')
def add_team(context, name):
    context.change_id = uuid.uuid4().hex
    context.applied = add(context, name, context.base, context.change_id)


@behave.when('another adds the team "{name}" from the same revision')
def add_racing(context, name):
    context.second = add(context, name, context.base)


@behave.then('the stored revision is {revision:d} and has the team "{name}"')
def check_stored(context, revision, name):
    snapshot = context.configs.read().unwrap()
    assert snapshot.head.revision == revision, snapshot.head
    assert name in list_names(snapshot)


@behave.then('at most {count:d} chunks were written for it')
def check_cost(context, count):
    written = list_chunks(context) - context.chunks
    assert len(context.chunks) > count >= len(written), written


@behave.then('the second gets a conflict that shows the team "{name}"')
def check_conflict(context, name):
    conflict = context.second.unwrap_err()
    assert isinstance(conflict, configstore.Conflict), conflict
    assert name in list_names(conflict.current)


def intercept(context, act):
    """Run ``act`` in place of the first write of the head."""
    transact = context.client.transact

    def replace(expects, puts=(), deletes=()):
        if any(put.key == configkeys.HEAD for put in puts):
            context.client.transact = transact
            return act(transact, expects, puts)
        return transact(expects, puts, deletes)

    context.client.transact = replace


@behave.when('the store loses {count:d} answers after the chunks are written')
def lose_answers(context, count):
    def act(transact, expects, puts):
        control(context, drop_answers=count)
        return transact(expects, puts)

    intercept(context, act)


@behave.then('the change is accepted')
def check_accepted(context):
    assert context.applied.is_ok(), context.applied


@behave.then('sending the same change again gives revision {revision:d}')
def check_repeat(context, revision):
    again = add(context, 'new', context.base, context.change_id)
    assert again.unwrap().revision == revision


@behave.when('a write of the head times out and the store comes back')
def delay_write(context):
    def act(transact, expects, puts):
        context.delayed = (expects, puts)
        kind = storefailures.FailureKind.TIMEOUT
        failure = storefailures.StoreFailure(kind, 'delayed', True)
        return result.Err(failure)

    intercept(context, act)
    fence_write = context.configs._fence_write

    def send_late(state):
        settled = fence_write(state)
        # The delayed write arrives after it was fenced, before the retry.
        context.late = context.client.transact(*context.delayed)
        return settled

    context.configs._fence_write = send_late
    context.applied = add(context, 'new')


@behave.then('the delayed write is refused after the change was settled')
def check_late(context):
    assert isinstance(context.late.unwrap_err(), store.CasConflict)
    assert context.applied.is_ok(), context.applied


@behave.when(
    '{count:d} changes are made and all but {kept:d} revisions are collected'
)
def change_and_collect(context, count, kept):
    for number in range(count):
        add(context, f'extra-{number}').unwrap()
    context.configs.collect_garbage(kept)


@behave.then('{count:d} revisions can be read and no chunk is left over')
def check_collected(context, count):
    heads = context.configs.list_history().unwrap()
    assert len(heads) == count, heads
    used = set()
    for head in heads:
        read = context.configs.read_revision(head.revision).unwrap()
        assert read.head == head
        used |= {configkeys.build_chunk_key(digest) for digest in head.chunks}
    assert list_chunks(context) == used
    oldest = heads[-1].revision
    assert context.configs.read_revision(oldest - 1).unwrap() is None


@behave.when('chunks are collected after an operator has written a chunk')
def collect_between(context):
    def act(transact, expects, puts):
        before = list_chunks(context)
        context.configs.collect_garbage()
        assert list_chunks(context) < before, 'nothing was collected'
        return transact(expects, puts)

    intercept(context, act)
    add(context, 'new').unwrap()


@behave.given('a process that follows the configuration from the store')
def follow(context):
    context.seen = []
    context.stop = threading.Event()
    thread = threading.Thread(
        target=context.configs.watch,
        args=(context.seen.append, context.stop, None, POLL_SECONDS),
    )
    thread.start()
    context.add_cleanup(thread.join, WAIT_SECONDS)
    context.add_cleanup(context.stop.set)
    wait_until(lambda: context.seen)


@behave.when('the store is saved, changed and restored to what was saved')
def restore(context):
    control(context, '/save')
    add(context, 'saved-after').unwrap()
    wait_until(lambda: len(context.seen) == 2)
    control(context, '/restore')


@behave.then('the process has seen revisions {numbers} in this order')
def check_seen(context, numbers):
    expected = [int(number) for number in numbers.split(',')]
    seen = [snapshot.head.revision for snapshot in context.seen]
    assert seen == expected, seen


@behave.then('the store is brought back to the team "{name}"')
def check_brought_back(context, name):
    def is_back():
        snapshot = context.configs.read().unwrap_or(None)
        return snapshot is not None and name in list_names(snapshot)

    wait_until(is_back)
    check_seen(context, '1, 2')


@behave.when('the store is restored while it was away and then changed')
def restore_and_change(context):
    control(context, '/save')
    for name in ('lost-1', 'lost-2'):
        add(context, name).unwrap()
    wait_until(lambda: context.seen[-1].head.revision == 3)
    # The watching process cannot read the store, as in an outage.
    follower_read = context.configs.read_mod_revision
    context.configs.read_mod_revision = lambda: result.Err(None)
    control(context, '/restore')
    # Like a new command-line process, it knows no earlier revision.
    operator = configstore.ConfigStore.from_store(context.client)
    base = operator.read().unwrap()
    operator.apply(
        encode(list_names(base) | {'after-restore'}),
        base.head.revision,
        'after-restore',
        'operator',
        '',
    ).unwrap()
    context.configs.read_mod_revision = follower_read


@behave.then('the process comes to the team "{name}" at revision {revision:d}')
def check_follows(context, name, revision):
    wait_until(lambda: name in list_names(context.seen[-1]))
    assert context.seen[-1].head.revision == revision
    revisions = [snapshot.head.revision for snapshot in context.seen]
    assert revisions == sorted(set(revisions)), revisions


@behave.when(
    'the configuration is followed with a pause of {pause:d} s and stopped'
)
def follow_and_stop(context, pause):
    polled, stop = threading.Event(), threading.Event()
    configs = mock.Mock()
    configs.read_mod_revision.side_effect = lambda: polled.set() or result.Err(
        'away'
    )
    context.follower = threading.Thread(
        target=configwatch.watch,
        args=(configs, lambda snapshot: None, stop),
        kwargs={'poll_seconds': pause},
        daemon=True,
    )
    context.follower.start()
    assert polled.wait(20)
    stop.set()


@behave.then('nobody follows the configuration after some seconds')
def check_followed(context):
    context.follower.join(20)
    assert not context.follower.is_alive()
