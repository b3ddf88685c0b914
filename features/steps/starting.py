"""Steps for the start and stop of entries and of a platform."""

import time

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import scene as edge_scene
import stoppedentries

KINDS = ('large', 'small', 'small') * 2


@behave.when('the entry is killed and started again')
def restart(context):
    context.entry.stop()
    context.starts = len(context.entry.list_events('started'))
    context.entry.start()


@behave.when('a caller calls "{path}" as "{name}" as soon as it can connect')
def call_soon(context, path, name):
    entry = context.entry

    def connect():
        try:
            context.caller = callers.Caller(entry.listen)
        except OSError:
            return False
        return True

    context.scene.wait_until(connect, 'a connection')
    context.loaded = len(entry.list_events('started')) > context.starts
    context.stack.callback(context.caller.close)
    context.caller.send(callers.build_request(name, path))
    context.answers[name] = context.caller.read_answer()


@behave.then("it was connected before the entry's role was loaded")
def check_unloaded(context):
    assert not context.loaded


@behave.given('an entry "{name}" in "{domain}" before any engine')
def make_single_entry(context, name, domain):
    scene = edge_scene.Scene(context.pick_ports, context.make_folder())
    context.scene = scene
    context.stack.callback(scene.close)
    scene.configure(operators.make_configuration())
    entry = scene.add_entry(name, domain)
    scene.wait_until(entry.is_ready, 'it is ready')


@behave.when('six engines are listed, one each {pause:f} s')
def list_in_turn(context, pause):
    scene = context.scene
    context.early = []
    for kind in KINDS:
        context.early += [each.layers for each in scene.list_engines()]
        scene.run(scene.fleet.add('llm', 'a', kind))
        if len(scene.list_engines()) < len(KINDS):
            time.sleep(pause)


@behave.then('none of them had layers before all were listed')
def check_early(context):
    assert not any(context.early), context.early


@behave.then('all of them get layers')
def check_layers(context):
    context.scene.wait_for_layers()


@behave.given('{count:d} other entries that are ready')
def add_others(context, count):
    scene = context.scene
    for number in range(count):
        entry = scene.add_entry(f'other-{number}', 'b')
        scene.wait_until(entry.is_ready, f'{entry.name} is ready')

    def check():
        return len(context.entry.read_state()['entries']) == count + 1

    scene.wait_until(check, 'the entry knows them')


@behave.when(
    'the entry is stopped, and {seconds:f} s later asked for a stream "{name}"'
)
def stop_and_ask(context, seconds, name):
    caller = stoppedentries.stop_and_connect(context, seconds)
    caller.send(callers.build_stream(name, 5))
    context.answers[name] = caller.read_answer()


@behave.then(
    '"{name}" is told to return after {least:f} s at least and {most:f} s at'
    ' most'
)
def check_return(context, name, least, most):
    answer = context.answers[name]
    assert answer.status == 503, answer.status
    pause = float(answer.headers['retry-after'])
    assert least <= pause <= most, pause


@behave.then('the store does not list the entry')
def check_unlisted(context):
    assert (
        context.entry.process.poll() is None
    ), 'the entry process has already exited'
    keys = context.scene.store.list_keys('dunlintide/entries/')
    assert not [key for key in keys if key.endswith('/one')], keys
