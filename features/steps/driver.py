"""Steps for the agent's driver, which batches calls to an engine."""

import threading
import time

import behave
import result

from dunlintide_adapters import engine as engines
from dunlintide_daemon.agent import driver as drivers
from dunlintide_trials import processes

WAIT_SECONDS = 30.0


class Engine:
    """An engine that answers its calls only when ``answer`` is called."""

    def __init__(self):
        self.lock = threading.Lock()
        self.held = []
        self.ran = []
        self.most_long = 0
        self.begun = []

    def run_steps(self, steps, seconds, *, new_connection=False):
        answered = threading.Event()
        self.begun += [(step.session, time.monotonic()) for step in steps]
        with self.lock:
            self.held.append((steps, answered))
            self.most_long = max(self.most_long, self.count('long'))
        answered.wait(seconds)
        return result.Ok(
            [engines.StepResult(step.session, 1, 0, 1) for step in steps]
        )

    def count(self, kind):
        return sum(
            step.session.startswith(kind)
            for steps, _ in self.held
            for step in steps
        )

    def answer(self):
        with self.lock:
            for steps, answered in self.held:
                self.ran += [step.session for step in steps]
                answered.set()
            self.held.clear()
            return len(self.ran)


def _wait(condition, what):
    if not processes.wait_for(condition, WAIT_SECONDS):
        raise AssertionError(f'not in time: {what}')


@behave.given('a driver whose engine holds its calls')
def start_driver(context):
    context.engine = Engine()
    handlers = drivers.Handlers(
        lambda pairs: None,
        lambda jobs, error: None,
        find_team=lambda job: job.owner,
    )
    # Longer than the scenario, so that no call times out.
    context.driver = drivers.Driver(context.engine, handlers, 600.0)
    context.driver.start()
    context.stack.callback(context.driver.stop)
    context.stack.callback(context.engine.answer)


@behave.when(
    '{long:d} spans of {size:d} positions and {short:d} of 1 position '
    'become ready'
)
def submit_spans(context, long, size, short):
    kinds = [('long', size)] * long + [('short', 1)] * short
    context.sessions = []
    for number, (kind, positions) in enumerate(kinds):
        session = f'{kind}-{number}'
        context.sessions.append(session)
        step = engines.Step(session, 1, 'diner', 0)
        context.driver.submit(drivers.Job(step, None, positions))


@behave.then('the engine has one long span and all short ones')
def check_held(context):
    engine = context.engine
    _wait(lambda: engine.count('short') == 4, 'short spans')
    assert engine.count('long') == 1, engine.held


@behave.when(
    'the engine answers all its calls until the driver has nothing left'
)
def answer_all(context):
    total = len(context.sessions)
    _wait(lambda: context.engine.answer() >= total, 'all spans')


@behave.then('each span has run once and no two long ones together')
def check_ran(context):
    assert sorted(context.engine.ran) == sorted(context.sessions)
    assert context.engine.most_long == 1, context.engine.most_long


def _submit(context, session, team, positions):
    step = engines.Step(session, 1, 'diner', 0)
    context.driver.submit(drivers.Job(step, team, positions))


@behave.when(
    'team "{team}" has 2 long spans and team "{other}" has a short step'
)
def submit_two(context, team, other):
    _submit(context, 'short', other, 1)
    _wait(lambda: context.engine.count('short'), 'short step')
    _submit(context, 'long-0', team, 1500)
    _submit(context, 'long-1', team, 1500)
    _wait(lambda: context.engine.count('long'), 'long span')


@behave.when('the engine answers its calls after {seconds:f} s')
def answer_late(context, seconds):
    time.sleep(seconds)
    context.ended = time.monotonic()
    context.engine.answer()
    _wait(lambda: context.engine.count('long'), 'second long span')
    names = dict(context.engine.begun)
    context.pause = names['long-1'] - context.ended


@behave.then('the second long span begins {seconds:f} s after the first')
def check_pause(context, seconds):
    assert context.pause >= seconds, context.pause


@behave.then('the second long span begins as soon as it can')
def check_no_pause(context):
    # A delay would be at least three times the 0.1 s of the first span.
    assert context.driver._spans.find_delay('flood', context.ended) == 0.0
