"""Steps for an entry whose callers hold what they may."""

import asyncio
import contextlib
import itertools
import random
import re

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import memoryload
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials.edge import stopload
from dunlintide_trials import ports

GRACE_SECONDS = 3.0
CALL_SECONDS = 0.3
CALLERS_PER_WAY = 6


@behave.given('an entry with {memory:d} MB')
def start_entry(context, memory):
    scene = scenes.Scene(ports.pick_ports, context.make_folder())
    context.stack.callback(scene.close)
    limits = {'max_body_bytes': memoryload.BODY_BYTES}
    scene.configure(
        operators.set_limits(operators.make_configuration(), **limits)
    )
    for _ in range(2):
        scene.run(scene.fleet.add('web', 'a'))
    context.scene = scene
    context.entry = scene.add_entry('e0', memory=memory, grace=GRACE_SECONDS)
    scene.wait_for_ready(context.entry)


@behave.when(
    'callers of two teams fill it with small requests that do not end'
)
def fill_entry(context):
    # Larger ones first; the smallest take what these leave.
    for size in (60000, 3000, 100, 1):
        _fill(context, size)


def _fill(context, size):
    """Send bodies of a size but for their last byte until one is refused."""
    for number in itertools.count():
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        key = (operators.KEY, operators.OTHER_KEY)[number % 2]
        head = 'POST / HTTP/1.1\r\nContent-Length: %d\r\n' % size
        if size > 1:
            head += f'Authorization: Bearer {key}\r\n'
        caller.send(head.encode() + b'\r\n' + bytes(size - 1))
        caller.socket.settimeout(0.001)
        with contextlib.suppress(TimeoutError):
            context.status, context.headers = caller.read_head()
            return


@behave.then('a further small request is refused with a Retry-After')
def check_refused(context):
    assert context.status == 503, context.status
    assert float(context.headers['retry-after']) > 0, context.headers


@behave.then('it is ready and tells its state')
def check_operators(context):
    assert context.entry.is_ready()
    assert context.entry.read_state()['name'] == 'e0'


@behave.given('an entry with {memory:d} MB and engines')
def start_with_engines(context, memory):
    start_entry(context, memory)
    context.scene.add_runners()
    context.scene.wait_for_entries()


@behave.when('{count:d} streams stop within their first event of {size:d} KB')
def stop_within_events(context, count, size):
    for engine in context.scene.list_engines():
        engine.faults.stall_after = 0
        engine.faults.stall_within = True
    context.kept = []
    for number in range(count):
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        context.kept.append(caller)
        caller.send(
            callers.build_stream(
                f's-{number}', 100, Event_Bytes=str(size << 10)
            )
        )


def _read_held(context):
    """Return the bytes that the entry counts, by its metrics."""
    text = context.entry.ask(context.entry.metrics, '/metrics').body.decode()
    return float(re.search(r'_held_bytes{size="all"} (\S+)', text)[1])


@behave.then('the entry counts at least {size:d} KB for them')
def check_counted(context, size):
    context.scene.wait_until(
        lambda: _read_held(context) >= size << 10, f'{size} KB are counted'
    )


@behave.then('it counts nothing once their callers are gone')
def check_gone(context):
    for caller in context.kept:
        caller.close()
    context.scene.wait_until(
        lambda: _read_held(context) == 0, 'nothing is counted'
    )


@behave.when(
    'it is stopped after {delay:g} s while callers come with large bodies in'
    ' all ways'
)
def stop_under_bodies(context, delay):
    entry = context.entry
    context.sent, stops = [], []
    crowd = memoryload.Crowd(
        entry.name,
        entry.listen,
        operators.KEY,
        1,
        CALL_SECONDS,
        context.sent,
    )
    ways = (
        memoryload.ask_once,
        memoryload.ask_repeatable,
        memoryload.send_chunks,
        memoryload.send_ahead,
        memoryload.stop_halfway,
    )

    async def run():
        loop = asyncio.get_running_loop()
        comings = [
            asyncio.create_task(way(crowd, random.Random(number)))
            for number in range(CALLERS_PER_WAY)
            for way in ways
        ]
        await asyncio.sleep(delay)
        await loop.run_in_executor(
            None, stopload.stop_entry, entry, GRACE_SECONDS, stops
        )
        ends = await asyncio.gather(*comings, return_exceptions=True)
        # A connection may end that was not read, and none begins later.
        expected = (OSError, EOFError, TimeoutError, type(None))
        assert all(isinstance(end, expected) for end in ends), ends

    asyncio.run(run())
    assert not stops[0].was_killed


@behave.then('each request that was read whole is answered')
def check_read(context):
    assert context.sent
    lost = [
        each
        for each in context.sent
        if not each.is_whole and context.scene.fleet.list_runs(each.name)
    ]
    assert not lost, lost
    statuses = {each.status for each in context.sent}
    assert {200, 503} <= statuses, statuses


@behave.then('none that was refused has run')
def check_not_run(context):
    for each in context.sent:
        if each.status == 503:
            assert each.retry_after is not None, each
            assert not context.scene.fleet.list_runs(each.name), each
