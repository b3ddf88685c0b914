"""Steps about late calls to an engine."""

import threading
from unittest import mock

import behave

from dunlintide_adapters import engine as engines
from dunlintide_daemon.agent import rescue
from dunlintide_standins.engine import server
from dunlintide_trials import processes

SECONDS = 20.0
LONGEST = 5.0


@behave.given('an engine that is well')
def start_engine(context):
    one = server.Engine.from_config(server.Config(layer_end=2))
    context.stack.callback(one.stop)
    one.start()
    context.engine = engines.Engine(f'http://127.0.0.1:{one.port}')
    context.stack.callback(context.engine.close)


@behave.when('a call to it is looked into after its time is up')
def look(context):
    now = [0.0]
    flights = rescue.Flights(1.0, lambda: now[0])
    context.flight = flights.begin(
        [engines.Step('late', 1, 'diner', 0)], 0.0, LONGEST
    )
    now[0] = LONGEST + 1
    rescuer = rescue.Rescuer(context.engine, flights, mock.Mock(), mock.Mock())
    stopped = threading.Event()
    context.errors = []
    with mock.patch.object(threading, 'excepthook', context.errors.append):
        thread = threading.Thread(target=rescuer.run, args=(stopped,))
        thread.start()
        assert processes.wait_for(lambda: context.flight.examined, SECONDS)
        stopped.set()
        thread.join(SECONDS)
        for each in threading.enumerate():
            if each.name == 'rescue':
                each.join(SECONDS)


@behave.then('the look ends without an error and leaves the call unsettled')
def check_look(context):
    assert not context.errors, context.errors
    assert context.flight.examined
    assert not context.flight.settled.is_set()
