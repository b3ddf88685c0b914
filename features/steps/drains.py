"""Steps for endpoints that leave while answers of the store are lost."""

import asyncio
import itertools
import threading
import time

import behave
from dunlintide_standins.fleet import operators
from dunlintide_standins import relay as relays
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import scene as scenes
import edge_settings

WORK = {'service': '/lists/x', 'engine': None}
# Answers that are lost, by the words of the step.
LOST = {
    'no answer is': 0,
    'one answer is': 1,
    'two answers in a row are': 2,
    'one answer and the history are': 1,
    'all answers are': 10_000,
}
# An answer of a watch that holds changes.
NEWS = b'"events": [{'
# Load before the endpoint leaves, and after its drain time, in seconds.
BEFORE_SECONDS = 0.7
AFTER_SECONDS = 2.5
HEARTBEAT_SECONDS = 0.1
# Time until calls are counted, and for how long, in seconds.
SETTLE_SECONDS = 6.0
COUNT_SECONDS = 12.0
KNOWN_EVENTS = (
    'endpoint leaves',
    'endpoint listed',
    'endpoint gone',
    'removal told',
)


@behave.given(
    'one entry whose endpoints may be used for {drain:g} s while they leave'
)
def make_one(context, drain):
    _make_entries(context, ['one'], drain)


@behave.given(
    'two entries whose endpoints may be used for {drain:g} s while they leave'
)
def make_two(context, drain):
    _make_entries(context, ['one', 'two'], drain)


@behave.given(
    'three real entries of one failure domain with a drain time of {drain:g} s'
)
def choose_three(context, drain):
    context.drain = drain


@behave.given('their readings are shared')
def share_readings(context):
    _make_three(context, True)


def _make_three(context, shared):
    demand = {'shared_reading': shared}
    names = ['one', 'three', 'two']
    _make_entries(context, names, context.drain, demand=demand)
    work = _write_heartbeats(context.scene.store)
    asyncio.run_coroutine_threadsafe(work, context.scene.loop.loop)


async def _write_heartbeats(store):
    """Write the item of an endpoint that is still cold, until cancelled."""
    for number in itertools.count():
        row = edge_settings.make_row(seq=number)
        row['cold_left_ms'] = 10**6 - number
        await store.put('servers/i-cold', row)
        await asyncio.sleep(HEARTBEAT_SECONDS)


@behave.when(
    'endpoints write heartbeats only, with and without shared reading'
)
def count_calls(context):
    context.watches = {}
    for shared in (False, True):
        _make_three(context, shared)
        # Longer pauses begin some time after the start.
        time.sleep(SETTLE_SECONDS)
        calls = context.scene.store.calls
        before = calls.copy()
        time.sleep(COUNT_SECONDS)
        made = calls - before
        context.watches[shared] = made['GET /kv-watch']
        print(f'shared: {shared}, calls: {dict(made)}')
        for entry in context.scene.entries:
            entry.stop()


@behave.then(
    'with it they watch the store at most {fraction:g} times as often'
)
def check_calls(context, fraction):
    watches = context.watches
    assert watches[True] <= fraction * watches[False], watches


def _make_entries(context, names, drain, **more):
    scene = scenes.Scene(context.pick_ports, context.make_folder())
    context.stack.callback(scene.close)
    context.scene, context.drain = scene, drain
    scene.configure(operators.make_configuration())
    scene.add_runners()
    context.relays = {}
    for name in names:
        relay = relays.Relay('127.0.0.1:0', scene.store_address)
        context.stack.callback(relay.stop)
        context.relays[name] = relay
        entry = scene.add_entry(
            name, 'a', f'127.0.0.1:{relay.port}', drain=drain, **more
        )
        scene.wait_for_ready(entry)
    scene.wait_for_layers()
    for entry in scene.entries:
        scene.wait_for_listing(entry)
        scene.wait_until(
            lambda entry=entry: entry.read_state()['entries'] == sorted(names),
            'the entries know each other',
        )


def _find_endpoint(scene, kind):
    if kind == 'service':
        return scene.list_services()[0]
    # Engines with the first layer are sent to; the others by them only.
    firsts = [each for each in scene.list_engines() if each.layers[0] == 0]
    return min(firsts, key=lambda each: each.domain)


@behave.when('{loss} lost at entry "{name}" while one {kind} {leaves}')
def leave(context, loss, name, kind, leaves):
    scene = context.scene
    context.leaving = _find_endpoint(scene, kind)
    calls = []

    def run():
        seconds = BEFORE_SECONDS + context.drain + AFTER_SECONDS
        calls.extend(loads.run_callers(scene.entries, WORK[kind], seconds))

    callers = threading.Thread(target=run)
    callers.start()
    time.sleep(BEFORE_SECONDS)
    context.relays[name].lose(LOST[loss], NEWS)
    context.left_at = time.monotonic()
    if leaves == 'drains':
        scene.run(context.leaving.write_entry('draining'))
    else:
        scene.run(context.leaving.remove_entry())
    if 'history' in loss:
        # The watches that wait were woken by the change already.
        time.sleep(0.1)
        scene.loop.loop.call_soon_threadsafe(scene.store.compact)
    callers.join()
    context.calls = calls


@behave.then('nothing reached the {kind} later than the drain time')
def check_received(context, kind):
    last = context.left_at + context.drain
    address = context.leaving.address
    late = sorted(
        f'{run.request}: {run.began - context.left_at:.3f} s'
        for runner in context.scene.fleet.runners
        for run in runner.runs
        if run.began > last
        and (
            runner is context.leaving
            or any(address == hop[0] for hop in run.hops)
        )
    )
    before = [
        run for run in context.leaving.runs if run.began < context.left_at
    ]
    assert before, 'the endpoint was not in use'
    assert any(call.sent > last for call in context.calls)
    assert not late, (len(late), late[:5])


@behave.then('all entries told that it leaves within the drain time')
@behave.then('both entries told that it leaves within the drain time')
def check_told(context):
    for entry in context.scene.entries:
        told = [
            row
            for event in KNOWN_EVENTS
            for row in entry.list_events(event)
            if row['endpoint'] == context.leaving.name
            and row.get('draining') is not False
        ]
        # Processes on one host share the steady clock.
        took = min(row['at'] for row in told) - context.left_at
        assert took <= context.drain, f'{entry.name}: {took:.3f} s'
