"""Steps for failing, restarting and draining endpoints of an entry."""

import time

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import runners
import edge_lookups


class _NoFaults:
    """Replaces a runner's faults; a step overrides those it injects."""

    full = False
    stall_after = None
    rate_limit = None

    def consume(self, name):
        return False

    def __getattr__(self, name):
        return 0


def _inject_faults(runners, **faults):
    for runner in runners:
        for name, value in faults.items():
            setattr(runner.faults, name, value)


@behave.given('every service loses its next answer')
def lose_next(context):
    _inject_faults(context.scene.list_services(), lose=1)


@behave.given('one service loses all its answers')
def lose_all(context):
    _inject_faults(context.scene.list_services()[:1], lose=1000)


@behave.given('every service is full')
def fill(context):
    _inject_faults(context.scene.list_services(), full=True)


@behave.given('every service sends a second answer behind its next one')
def send_extra(context):
    _inject_faults(context.scene.list_services(), extra=1)


@behave.given('every service sends its next answer without a length')
def send_unframed(context):
    _inject_faults(context.scene.list_services(), unframed=1)


@behave.given('the entry may send 1 request a second time in {window:f} s')
def tighten_budget(context, window):
    entry = context.entry
    # Half of the slack is reserved for restarts, so 2 allows 1 retry.
    entry.settings['retries'] = {'ratio': 0.0, 'slack': 2, 'window': window}
    entry.stop()
    entry.write_settings()
    entry.start()
    context.scene.wait_until(entry.is_ready, 'the entry is ready')


@behave.given('every engine cuts its next stream within an event')
def cut_next(context):
    # Only the first stream is cut: the second run must succeed.
    state = {'cut': False}

    class Once(_NoFaults):
        def consume(self, name):
            if name == 'cut' and not state['cut']:
                state['cut'] = True
                return True
            return False

    for engine in context.scene.list_engines():
        engine.faults = Once()


@behave.given(
    'an engine with the first layer refuses its next {count:d} streams as'
    ' full'
)
def refuse_streams(context, count):
    # Engines report full only after the stream has begun, so that the
    # refusals hit its retries.
    state = {'left': count}
    engines = context.scene.list_engines()
    cut = engines[0].faults

    class Full(_NoFaults):
        def consume(self, name):
            return cut.consume(name)

        @property
        def full(self):
            began = any(engine.runs for engine in engines)
            if began and state['left'] > 0:
                state['left'] -= 1
                return True
            return False

    for engine in engines:
        engine.faults = Full()


@behave.given(
    'one engine with the first layer refuses all streams, as a dead one\'s'
    ' neighbour does'
)
def refuse_all(context):
    heads = [
        engine
        for engine in context.scene.list_engines()
        if engine.layers is not None and engine.layers[0] == 0
    ]
    context.refusing = heads[0]
    context.refusals = []

    class Refusing(_NoFaults):
        @property
        def full(self):
            context.refusals.append(time.monotonic())
            return True

    context.refusing.faults = Refusing()


@behave.when('{count:d} streams are asked, one each {pause:f} s')
def ask_in_turn(context, count, pause):
    context.answers = []
    for number in range(count):
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        caller.send(callers.build_stream(f'turn-{number}', 5))
        context.answers.append(caller.read_answer())
        time.sleep(pause)


@behave.when('it refuses a stream of entry "one"')
def meet_refusal(context):
    for number in range(8):
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        caller.send(callers.build_stream(f'meet-{number}', 5))
        caller.read_answer()
        if context.refusals:
            return
    raise AssertionError('the engine was never chosen')


@behave.then('entry "two" is told of it within {seconds:f} s')
def check_told(context, seconds):
    two = context.scene.entries[-1]
    name = context.refusing.name
    due = context.refusals[0] + seconds

    def list_heard():
        return two.read_state()['told_to_leave_out']

    heard = list_heard()
    while name not in heard and time.monotonic() < due:
        heard = list_heard()
    assert name in heard, heard


@behave.then('at most {count:d} of them were sent to that engine')
def check_refusals(context, count):
    began = context.refusals[0]
    met = [round(at - began, 2) for at in context.refusals]
    assert 0 < len(met) <= count, met


@behave.then('each of them was answered whole')
def check_whole(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.is_complete, answer.status


@behave.when('one engine of its chain stands still')
def stall_one(context):
    fleet = context.scene.fleet
    context.scene.wait_until(
        lambda: any(run.events > 3 for run in fleet.list_runs('s-1')),
        'the stream runs',
    )
    (run,) = fleet.list_runs('s-1')
    fleet.find(run.hops[-1][0]).faults.stall = True


@behave.given('engines that tell when they were born')
def report_start_times(context):
    scene = context.scene
    for engine in scene.list_engines():
        scene.run(engine.restart_with_same_id())
    scene.wait_for_layers()

    def check():
        rows = context.entry.read_state()['endpoints']
        held = [row for row in rows if row['born'] and row['end']]
        return len(held) == len(scene.list_engines())

    scene.wait_until(check, 'the entry knows all layers')


@behave.when('one engine of its chain starts again under its id')
def restart_engine(context):
    fleet = context.scene.fleet
    context.scene.wait_until(
        lambda: any(run.events > 3 for run in fleet.list_runs('s-1')),
        'the stream runs',
    )
    (run,) = fleet.list_runs('s-1')
    context.engine = fleet.find(run.hops[-1][0])
    context.scene.run(context.engine.restart_with_same_id())


@behave.then("the entry's log says that the run was abandoned")
def check_abandoned(context):
    ends = context.entry.list_events('run ended early')
    assert [row['reason'] for row in ends] == ['run broke: abandoned'], ends


@behave.then('that engine holds layers again')
def check_held_again(context):
    context.scene.wait_until(lambda: context.engine.layers, 'it has layers')


@behave.given('one service reports that it drains')
def drain_one(context):
    scene = context.scene
    context.leaving = scene.list_services()[0]
    scene.run(context.leaving.write_entry('draining'))
    edge_lookups.wait_for_leaving(context)


@behave.then('that service ran none of them')
def check_leaving(context):
    assert not context.leaving.runs


@behave.when('an engine crashes and comes back')
def crash_engine(context):
    scene = context.scene
    context.engine = scene.list_engines()[0]
    scene.run(context.engine.crash(keep_entry=False))
    scene.run(context.engine.start())


@behave.given(
    'a new engine of kind "{kind}" that carries out its first order'
    ' {seconds:d} seconds late'
)
def add_late_engine(context, kind, seconds):
    scene = context.scene
    engine = runners.Runner(scene.fleet, 'llm', 'a', kind)
    engine.faults.lose_orders = 1
    engine.faults.order_delay = float(seconds)
    scene.fleet.runners.append(engine)
    scene.run(engine.start())
    context.engine = engine


@behave.then('it holds layers again within {seconds:d} seconds')
def check_layers(context, seconds):
    context.scene.wait_until(lambda: context.engine.layers, 'it has layers')


@behave.then('it accepted {count:d} order')
def check_orders(context, count):
    # Waits until the late order has been executed.
    time.sleep(2.5)
    assert context.engine.orders == count, context.engine.orders


@behave.given('spare engines "small" and "small" in "a" that hold layers')
def add_spares(context):
    scene = context.scene
    for _ in range(2):
        scene.run(scene.fleet.add('llm', 'a', 'small'))
    scene.wait_until(
        lambda: all(engine.layers for engine in scene.list_engines()),
        'all engines hold layers',
    )
    # The entry has read which layers the spare engines hold.
    time.sleep(0.5)


def _list_layers(engine):
    return set(range(*engine.layers))


@behave.when(
    'the engine of "a" whose layers no other there holds crashes and stays'
    ' listed'
)
def crash_listed(context):
    local = [
        engine
        for engine in context.scene.list_engines()
        if engine.domain == 'a'
    ]

    def list_alone(engine):
        others = [_list_layers(each) for each in local if each is not engine]
        return _list_layers(engine) - set().union(*others)

    context.dead = max(local, key=lambda each: len(list_alone(each)))
    assert list_alone(context.dead), [each.layers for each in local]
    context.scene.run(context.dead.crash(keep_entry=True))


@behave.then(
    "the entry's log names it lost, and an engine that is moved to its layers"
)
def check_moved(context):
    entry, dead = context.entry, context.dead

    def find():
        lost = entry.list_events('engine lost')
        moved = entry.list_events('engine moved')
        return [
            row
            for row in moved
            if set(range(*row['layers'])) & _list_layers(dead)
            and any(each['endpoint'] == dead.name for each in lost)
        ]

    context.scene.wait_until(find, 'a move to the layers of the dead engine')
    assert not entry.list_events('endpoint gone')
