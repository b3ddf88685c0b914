"""Steps about first steps that reach the engine late."""

import json
import urllib.request

import behave

from dunlintide_adapters import engine as engines
from dunlintide_daemon.agent import driver as drivers
from dunlintide_standins.engine import server
from dunlintide_standins import relay as relays
from dunlintide_trials import processes

WAIT_SECONDS = 30.0
# Of a call before it is looked into.
SILENCE_SECONDS = 0.3
HOLD_SECONDS = 0.5
LATE = 'late'
# The step that opens the connection that goes silent, and one that shows
# how far the frees have come: they are carried out in turn.
FIRST, BEHIND = 'first', 'behind'


class RecordingEngine(engines.Engine):
    """Keeps what became of each call over a connection of the pool."""

    def __init__(self, url):
        super().__init__(url)
        self.ended = []

    def run_steps(self, steps, seconds, *, new_connection=False):
        called = super().run_steps(
            steps, seconds, new_connection=new_connection
        )
        if not new_connection:
            self.ended += [step.session for step in steps]
        return called


def _wait(condition, what):
    if not processes.wait_for(condition, WAIT_SECONDS):
        raise AssertionError(f'not in time: {what}')


def _read(context, path):
    with urllib.request.urlopen(f'{context.engine_url}{path}') as answer:
        return json.load(answer)


def _run(context, session, epoch=1):
    before = len(context.results)
    step = engines.Step(session, epoch, 'diner', 0, prompt='Soup of the day')
    context.driver.submit(drivers.Job(step, None, 4))
    _wait(lambda: len(context.results) > before, f'result of {session}')
    assert not context.results[-1].error, context.results[-1]


def _free(context, session):
    context.driver.free(session)
    _run(context, BEHIND)
    context.driver.free(BEHIND)
    _wait(lambda: context.driver.is_free(BEHIND), 'frees')


@behave.given('an engine behind a relay and a driver that calls it')
def start_engine(context):
    engine = server.Engine.from_config(
        server.Config(layer_end=2, load_lag_seconds=0.0)
    )
    context.stack.callback(engine.stop)
    engine.start()
    context.engine_url = f'http://127.0.0.1:{engine.port}'
    context.relay = relays.Relay('127.0.0.1:0', f'127.0.0.1:{engine.port}')
    context.stack.callback(context.relay.stop)
    context.engine = RecordingEngine(f'http://127.0.0.1:{context.relay.port}')
    context.stack.callback(context.engine.close)
    context.results = []
    handlers = drivers.Handlers(
        lambda pairs: context.results.extend(found for _, found in pairs),
        lambda jobs, error: None,
    )
    context.driver = drivers.Driver(
        context.engine, handlers, SILENCE_SECONDS, HOLD_SECONDS
    )
    context.driver.start()
    context.stack.callback(context.driver.stop)
    _run(context, FIRST)
    context.driver.free(FIRST)
    _wait(lambda: context.driver.is_free(FIRST), 'free')


@behave.given('a first step that was asked for again on another connection')
def run_again(context):
    context.relay.stall(relays.Direction.FORWARD)
    _run(context, LATE)
    assert context.driver.rescued == 1, context.driver.rescued
    assert LATE not in context.engine.ended


@behave.given("its session's next epoch has run")
def run_next_epoch(context):
    _free(context, LATE)
    _run(context, LATE, epoch=2)


@behave.when('its session ends and the first connection goes on')
def end_session(context):
    _free(context, LATE)
    context.relay.resume()
    _wait(lambda: LATE in context.engine.ended, 'the late call')


@behave.when('its session ends and the first connection is cut')
def cut_connection(context):
    _free(context, LATE)
    context.relay.cut()
    _wait(lambda: LATE in context.engine.ended, 'the late call')


@behave.then('the engine began the session once in each of {count:d} epochs')
def check_runs(context, count):
    found = [run for run in _read(context, '/runs')]
    epochs = [run['epoch'] for run in found if run['request_id'] == LATE]
    assert epochs == list(range(1, count + 1)), epochs


@behave.then('it holds no session in the end')
def check_free(context):
    _wait(lambda: not _read(context, '/v1/load')['running'], 'free')
